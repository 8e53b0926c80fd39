/** Puts the parts of the forwarding path together. */
import type { PluginContext, Tracing } from '@buckthorndrift/kernel'
import { documentsKey, membershipKey, objectStoreKey } from '@buckthorndrift/coordination'
import { createHasher } from '@buckthorndrift/policy'
import type { CallerSettings } from '../../shared/callerSettings.ts'
import { budgetServiceKey, controlRegistryKey, recordServiceKey, versionServiceKey } from '../../shared/services.ts'
import type { AttemptDeps } from './attempt.ts'
import { Chaser } from './deferredSettler.ts'
import { ClaimClient } from './claimClient.ts'
import { CrashSharing } from './crashSharing.ts'
import { CrashWatch } from './crashTracker.ts'
import { EndpointBook } from './endpointBook.ts'
import { EndpointPools } from './endpointPools.ts'
import { RetryLedger } from './retryLedger.ts'
import type { RunDeps } from './runDeps.ts'
import { SilenceWatch } from './silenceMonitor.ts'

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
  /** Resolves when requests that were given up are settled. */
  drain (): Promise<void>
  close (): Promise<void>
}

/** Creates the forwarding path and registers its control handlers. */
export async function createForwarding ({ context, settings, fleetSecret, tracing, random }: ForwardingOptions): Promise<Forwarding> {
  const { timers, metrics, log } = context
  const membership = context.use(membershipKey)
  const documents = context.use(documentsKey)
  const { self } = membership
  const silence = new SilenceWatch(timers, settings.silenceMs)
  const pools = new EndpointPools({ connectTimeoutMs: settings.connectTimeoutMs })
  const book = new EndpointBook({ membership, timers, hasher: await createHasher(), random, avoidFullMs: settings.avoidFullMs })
  const crashes = new CrashWatch(timers, settings.crashReportWaitMs)
  const sharing = new CrashSharing({ crashes, timers, log, random, membership, documents, store: context.use(objectStoreKey), fleetSecret, timeoutMs: settings.controlTimeoutMs })
  context.use(controlRegistryKey).register('evidence', { reportCrash: report => sharing.receive(report) })
  const stopPruning = membership.subscribe(() => { pools.retain(membership.endpoints()) })
  const attempts: AttemptDeps = {
    pools,
    timers,
    silence,
    fleetSecret,
    attachForMs: settings.reattachTimeoutMs,
    onLoad: (endpoint, header) => {
      if (membership.isSuspected(endpoint.id)) membership.noteAlive(endpoint.id)
      book.noteLoad(endpoint, header)
    },
    onUnreachable: (endpoint, isGone) => {
      membership.noteUnreachable(endpoint.id)
      if (isGone) crashes.noteDeath(endpoint)
    },
    onReattach: endpoint => {
      metrics.increment('forward.reattaches')
      log.event('answerReattached', { endpointId: endpoint.id })
    }
  }
  const chaser = new Chaser(attempts)
  let sequence = 0
  const deps: RunDeps = {
    attempts,
    book,
    budget: context.use(budgetServiceKey),
    chaser,
    claims: new ClaimClient({ documents, membership, fleetSecret, timeoutMs: settings.controlTimeoutMs }),
    crashes,
    log,
    metrics,
    nextRequestId: () => `${self.id}.${self.incarnation}.${++sequence}`,
    random,
    retries: new RetryLedger(timers),
    settings,
    settler: { budget: context.use(budgetServiceKey), records: context.use(recordServiceKey), timers, routerId: self.id },
    timers,
    tracing,
    versions: context.use(versionServiceKey),
    // With an automatic address the URL is known only when the control listener is open.
    routerUrl: () => membership.self.controlUrl
  }
  return {
    deps,
    drain: () => chaser.idle(),
    async close () {
      stopPruning()
      sharing.close()
      silence.close()
      book.close()
      await pools.close()
    }
  }
}
