/** Creates and connects the parts of the forwarding path. */
import type { PluginContext, Tracing } from '@buckthorndrift/kernel'
import { documentsKey, membershipKey, objectStoreKey } from '@buckthorndrift/coordination'
import { createHasher } from '@buckthorndrift/policy'
import type { CallerSettings } from '../../shared/callerSettings.ts'
import { budgetServiceKey, controlRegistryKey, recordServiceKey, versionServiceKey } from '../../shared/services.ts'
import type { AttemptDeps } from './attempt.ts'
import { DeferredSettler } from './deferredSettler.ts'
import { ClaimClient } from './claimClient.ts'
import { CrashEvidenceSync } from './crashEvidenceSync.ts'
import { CrashTracker } from './crashTracker.ts'
import { EndpointSelector } from './endpointSelector.ts'
import { EndpointPools } from './endpointPools.ts'
import { RetryTracker } from './retryTracker.ts'
import type { RunDeps } from './runDeps.ts'
import { SilenceMonitor } from './silenceMonitor.ts'

export interface ForwardingOptions {
  readonly context: PluginContext
  readonly settings: CallerSettings
  readonly fleetSecret: string
  readonly tracing: Tracing
  /** Uniform in [0, 1). */
  readonly random: () => number
}

export interface Forwarding {
  readonly deps: RunDeps
  /** Resolves when all aborted requests are settled. */
  drain (): Promise<void>
  close (): Promise<void>
}

/** Creates the forwarding path and registers its control handlers. */
export async function createForwarding ({ context, settings, fleetSecret, tracing, random }: ForwardingOptions): Promise<Forwarding> {
  const { timers, metrics, log } = context
  const membership = context.use(membershipKey)
  const documents = context.use(documentsKey)
  const { self } = membership
  const silenceMonitor = new SilenceMonitor(timers, settings.silenceMs)
  const pools = new EndpointPools({ connectTimeoutMs: settings.connectTimeoutMs })
  const endpointSelector = new EndpointSelector({ membership, timers, hasher: await createHasher(), random, avoidFullMs: settings.avoidFullMs })
  const crashTracker = new CrashTracker(timers, settings.crashReportWaitMs)
  const crashEvidenceSync = new CrashEvidenceSync({ crashTracker, timers, log, random, membership, documents, store: context.use(objectStoreKey), fleetSecret, timeoutMs: settings.controlTimeoutMs })
  context.use(controlRegistryKey).register('evidence', { reportCrash: report => crashEvidenceSync.handleReport(report) })
  const stopPruning = membership.subscribe(() => { pools.retain(membership.endpoints()) })
  const attemptDeps: AttemptDeps = {
    pools,
    timers,
    silenceMonitor,
    fleetSecret,
    attachForMs: settings.reattachTimeoutMs,
    onLoad: (endpoint, header) => {
      if (membership.isSuspected(endpoint.id)) membership.noteAlive(endpoint.id)
      endpointSelector.recordLoad(endpoint, header)
    },
    onUnreachable: (endpoint, isEndpointDead) => {
      membership.noteUnreachable(endpoint.id)
      if (isEndpointDead) crashTracker.recordProcessDeath(endpoint)
    },
    onReattach: endpoint => {
      metrics.increment('forward.reattaches')
      log.event('answerReattached', { endpointId: endpoint.id })
    }
  }
  const deferredSettler = new DeferredSettler(attemptDeps)
  let sequence = 0
  const deps: RunDeps = {
    attemptDeps,
    endpointSelector,
    budget: context.use(budgetServiceKey),
    deferredSettler,
    claims: new ClaimClient({ documents, membership, fleetSecret, timeoutMs: settings.controlTimeoutMs }),
    crashTracker,
    log,
    metrics,
    nextRequestId: () => `${self.id}.${self.incarnation}.${++sequence}`,
    random,
    retryTracker: new RetryTracker(timers),
    settings,
    settlerDeps: { budget: context.use(budgetServiceKey), records: context.use(recordServiceKey), timers, routerId: self.id },
    timers,
    tracing,
    versions: context.use(versionServiceKey),
    // An automatically chosen address is known only after the control listener has opened.
    routerUrl: () => membership.self.controlUrl
  }
  return {
    deps,
    drain: () => deferredSettler.onIdle(),
    async close () {
      stopPruning()
      crashEvidenceSync.close()
      silenceMonitor.close()
      endpointSelector.close()
      await pools.close()
    }
  }
}
