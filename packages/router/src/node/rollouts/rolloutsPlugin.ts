/** Plugin that chooses the version of each request, observes its outcome and runs rollouts, see docs/design.md section 11. */
import { definePlugin, type Plugin, type PluginContext } from '@buckthorndrift/kernel'
import { documentsKey, leasesKey, membershipKey, objectStoreKey } from '@buckthorndrift/coordination'
import { chooseVersion, LocalObserver, type ObservedCounts, type RolloutState } from '@buckthorndrift/policy'
import { createRouterClient } from '@buckthorndrift/protocol'
import { configServiceKey, controlRegistryKey, versionServiceKey, type VersionService } from '../../shared/services.ts'
import { RolloutController, rolloutPrefix, parseRolloutState } from './rolloutController.ts'

export interface RolloutsPluginOptions {
  readonly fleetSecret: string
  readonly controlTimeoutMs: number
  /** Interval of outcome reports and rollout decisions. */
  readonly outcomeIntervalMs: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Provides `VersionService` and the control handler for outcome reports. */
export function createRolloutsPlugin (options: RolloutsPluginOptions): Plugin {
  return definePlugin({ name: 'rollouts', setup: context => setup(context, options) })
}

function setup (context: PluginContext, options: RolloutsPluginOptions) {
  const { timers, log } = context
  const documents = context.use(documentsKey)
  const membership = context.use(membershipKey)
  const config = context.use(configServiceKey)
  const observer = new LocalObserver()
  const controller = new RolloutController({
    routerId: membership.self.id,
    lease: context.use(leasesKey).campaign('rollout'),
    documents,
    store: context.use(objectStoreKey),
    timers,
    log,
    fleet: () => config.fleet()
  })
  const reporterId = `${membership.self.id}.${membership.self.incarnation}`
  let interval = 0
  let stepping: Promise<void> | undefined

  function rolloutOf (service: string): RolloutState | undefined {
    return parseRolloutState(documents.get(rolloutPrefix + service))
  }

  const service: VersionService = {
    chooseVersion (name) {
      const versions = config.fleet()?.services[name]?.versions ?? []
      const nowMs = timers.monotonicMs()
      return chooseVersion({
        versions,
        rollout: versions.length > 1 ? rolloutOf(name) : undefined,
        hasEndpoint: version => membership.endpoints(name).some(endpoint => endpoint.version === version && !endpoint.leaving),
        isStopped: version => observer.isStopped(name, version, nowMs),
        random: options.random()
      })
    },
    recordOutcome: (name, version, route, isSuccess, durationMs) => { observer.observe(name, version, route, isSuccess, durationMs) }
  }

  /** Stops this router from sending requests to versions in a rollout that already fail by its own counts, without waiting for the lease holder. */
  function stopFailingVersions (counts: readonly ObservedCounts[]): void {
    for (const { name, versions } of Object.values(config.fleet()?.services ?? {})) {
      const state = versions.length > 1 ? rolloutOf(name) : undefined
      if (state === undefined || state.phase.kind === 'rolledBack') continue
      const reason = observer.evaluateTarget(name, state.baseline, state.target, counts, timers.monotonicMs())
      if (reason !== undefined) log.event('versionStopped', { service: name, version: state.target, reason })
    }
  }

  /** Sends the counts of each service in a rollout to the holder of the rollout lease, as named in the stored rollout state of the service. */
  async function report (counts: readonly ObservedCounts[]): Promise<void> {
    const countsByHolder = new Map<string, ObservedCounts[]>()
    for (const observed of counts) {
      const state = rolloutOf(observed.service)
      if (state === undefined || state.phase.kind === 'rolledBack') continue
      countsByHolder.set(state.holder, [...countsByHolder.get(state.holder) ?? [], observed])
    }
    await Promise.all([...countsByHolder].map(([id, holderCounts]) => sendReport(id, holderCounts)))
  }

  async function sendReport (id: string, counts: readonly ObservedCounts[]): Promise<void> {
    const { self } = membership
    if (id === self.id) return controller.addReport(reporterId, interval, counts)
    const member = membership.routers().find(router => router.id === id)
    if (member === undefined) return
    const client = createRouterClient({ url: member.controlUrl, fleetSecret: options.fleetSecret, timeoutMs: options.controlTimeoutMs })
    await client.evidence.reportOutcomes.mutate({ routerId: reporterId, interval, counts: [...counts] })
      .catch(() => { membership.noteUnreachable(id) })
  }

  async function step (): Promise<void> {
    interval++
    const counts = observer.takeInterval()
    stopFailingVersions(counts)
    await report(counts)
    await controller.evaluateInterval()
  }

  context.provide(versionServiceKey, service)
  context.use(controlRegistryKey).register('evidence', {
    reportOutcomes: async input => { controller.addReport(input.routerId, input.interval, input.counts) }
  })
  const stopEvaluating = timers.every(options.outcomeIntervalMs, () => {
    stepping ??= step().finally(() => { stepping = undefined })
  })
  return {
    async close () {
      stopEvaluating()
      await stepping
    }
  }
}
