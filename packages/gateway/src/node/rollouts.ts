/**
 * Rollouts of service versions. The first router that claims an order controls it: it
 * collects the outcomes that all routers report, and stores the result. Each router
 * derives the share of the target from the time since the start, and stops the target
 * at once when its own outcomes show a fault.
 */
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { addInterval, decideTimedRollout, evaluationIntervalMs, gapToleranceBuckets, isUnderSuspicion, LocalObserver, newEvidence, poolCounts, PooledIntervals, timedTargetShare, type Observation, type ObservedCounts, type RolloutEvidence } from '@buckthorndrift/policy'
import type { Dialect } from '../shared/dialect.ts'
import type { EndpointEntry, RolloutOrder } from '../shared/fleet.ts'
import type { OutcomeReportMessage, ReportReply } from '../shared/outcomes.ts'
import type { FleetStore, StoredObject } from '../shared/store.ts'
import { VersionGate } from '../shared/versionGate.ts'
import type { OutcomeClient } from './outcomeClient.ts'

export interface RolloutsOptions {
  readonly store: FleetStore
  readonly dialect: Dialect
  readonly timers: TimerService
  readonly log: Log
  /** Holder id of this process. */
  readonly holder: string
  /** Address at which this router accepts reports; `undefined` if it cannot control rollouts. */
  readonly address: string | undefined
  readonly client: OutcomeClient
  /** Share of the requests of a service that a version under trial may receive. */
  readonly trialShare: number
  readonly random: () => number
  /** Whether an endpoint of the version accepts requests. */
  hasEndpoint (service: string, version: string): boolean
}

/** Longest random delay before a router claims a new order, so that not all of them write at the same time. */
const maxClaimDelayMs = 400
/** Time for which the controller may fail to respond before another router replaces it. */
const controllerTimeoutMs = 2000
/** Version groups under which outcomes are counted: all versions other than the target are the baseline. */
const [baselineGroup, targetGroup] = ['baseline', 'target']

interface ActiveRollout {
  readonly name: string
  order: RolloutOrder
  /** Revision of the stored order. */
  revision: number
  readonly seenAtMs: number
  evidence: RolloutEvidence
  pooled: PooledIntervals
  controllerFailingSinceMs: number | undefined
  /** Share that the target keeps while it is under suspicion. */
  heldShare: number | undefined
  isWriting: boolean
  /** Era of the store in which the result became known; `undefined` while there is none. */
  resultEra: number | undefined
}

export class Rollouts {
  readonly #options: RolloutsOptions
  readonly #gate = new VersionGate()
  readonly #observer = new LocalObserver()
  readonly #active = new Map<string, ActiveRollout>()
  readonly #stopEvaluating: Unsubscribe
  #interval = 0

  constructor (options: RolloutsOptions) {
    this.#options = options
    this.#stopEvaluating = options.timers.every(evaluationIntervalMs, () => { this.#endInterval() })
  }

  stop (): void {
    this.#stopEvaluating()
  }

  /** Whether an order is being carried out. */
  get isRunning (): boolean {
    return [...this.#active.values()].some(({ order }) => order.state === 'ordered' || order.state === 'running')
  }

  /** Applies a stored order. */
  applyOrder (object: StoredObject): void {
    const order = this.#options.dialect.decodeRollout(object)
    if (order === undefined) return
    const known = this.#active.get(order.service)
    const isNewOrder = known === undefined || known.order.target !== order.target || this.#isOrderedAgain(known, order)
    if (!isNewOrder) {
      this.#applyChange(known, order, object.revision)
      return
    }
    const rollout: ActiveRollout = {
      name: object.name, order, revision: object.revision, seenAtMs: this.#nowMs(), evidence: newEvidence(order.target), pooled: new PooledIntervals(), controllerFailingSinceMs: undefined, heldShare: undefined, isWriting: false, resultEra: isOpen(order) ? undefined : this.#options.store.era()
    }
    this.#active.set(order.service, rollout)
    this.#logOrder(rollout)
    if (order.state === 'ordered') {
      this.#options.timers.after(this.#options.random() * maxClaimDelayMs, () => {
        if (rollout.order.control === undefined) void this.#claim(rollout)
      })
    }
  }

  /** Endpoints that may get a request. */
  eligible (service: string, endpoints: readonly EndpointEntry[], isRepeated: boolean): readonly EndpointEntry[] {
    const nowMs = this.#nowMs()
    const rollout = this.#active.get(service)
    const gated = rollout === undefined ? undefined : { order: rollout.order, targetShare: this.#targetShare(rollout, nowMs) }
    return this.#gate.eligible({ service, endpoints, rollout: gated, isRepeated, random: this.#options.random(), nowMs })
  }

  /** Counts what a request showed about the version of an endpoint. */
  record (endpoint: EndpointEntry, route: string, observation: Observation): void {
    const rollout = this.#active.get(endpoint.service)
    if (rollout === undefined || !isOpen(rollout.order)) return
    const group = endpoint.version === rollout.order.target ? targetGroup : baselineGroup
    this.#observer.record(endpoint.service, group, route, observation)
  }

  /** Takes the report of another router. */
  receiveReport ({ service, target, routerId, interval, counts }: OutcomeReportMessage): ReportReply {
    const rollout = this.#active.get(service)
    if (rollout === undefined || rollout.order.target !== target || !this.#isController(rollout)) return 'rejected'
    rollout.pooled.receive({ routerId, interval, counts })
    return rollout.heldShare === undefined ? 'accepted' : 'suspicious'
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  /** Time since the start of the rollout. The start is that of the first controller, by the wall clock, because a router may learn of the order later. */
  #elapsedMs ({ order, seenAtMs }: ActiveRollout): number {
    const sinceSeenMs = this.#nowMs() - seenAtMs
    return order.control === undefined ? sinceSeenMs : Math.max(sinceSeenMs, this.#options.timers.nowMs() - order.control.startedAtMs)
  }

  #targetShare (rollout: ActiveRollout, nowMs: number): number {
    const { order } = rollout
    if (this.#observer.isStopped(order.service, targetGroup, nowMs)) return 0
    return timedTargetShare({ elapsedMs: this.#elapsedMs(rollout), durationMs: order.durationMs, trialShare: this.#options.trialShare, heldShare: rollout.heldShare })
  }

  #gapToleranceBuckets (rollout: ActiveRollout): number {
    return gapToleranceBuckets(this.#targetShare(rollout, this.#nowMs()))
  }

  /** Holds the share of the target while it is under suspicion. */
  #holdShare (rollout: ActiveRollout, isSuspicious: boolean): void {
    if (!isSuspicious) rollout.heldShare = undefined
    else rollout.heldShare ??= this.#targetShare(rollout, this.#nowMs())
  }

  #isController ({ order }: ActiveRollout): boolean {
    return order.control?.holder === this.#options.holder
  }

  /** Whether an order with a result is open again although the store was not restored, so that it is a new one. */
  #isOrderedAgain (known: ActiveRollout, order: RolloutOrder): boolean {
    return isOpen(order) && known.resultEra === this.#options.store.era()
  }

  /** Applies a change of a known order. A result that is known is kept, also if a restored store has an older state. */
  #applyChange (rollout: ActiveRollout, order: RolloutOrder, revision: number): void {
    const [wasOpen, before] = [isOpen(rollout.order), rollout.order]
    rollout.revision = revision
    if (!wasOpen && isOpen(order)) {
      void this.#store(rollout, before.state === 'completed' ? 'completed' : 'rolledBack')
      return
    }
    if (!isOpen(order)) rollout.resultEra = this.#options.store.era()
    const hasNewController = order.control?.holder !== before.control?.holder
    rollout.order = order
    if (hasNewController) {
      rollout.controllerFailingSinceMs = undefined
      rollout.pooled = new PooledIntervals()
    }
    if (order.state !== before.state || hasNewController) this.#logOrder(rollout)
  }

  #logOrder ({ order, evidence }: ActiveRollout): void {
    const { service, target, state, control, durationMs } = order
    this.#options.log.event('rolloutChanged', { service, target, state, durationMs, controller: control?.holder ?? null, targetRequests: Object.values(evidence.routes).reduce((sum, route) => sum + route.targetRequests, 0) })
  }

  #endInterval (): void {
    const counts = this.#observer.takeInterval()
    this.#interval++
    for (const rollout of this.#active.values()) {
      if (!isOpen(rollout.order)) continue
      this.#evaluateOwn(rollout, counts)
      if (this.#isController(rollout)) this.#control(rollout, counts)
      else void this.#report(rollout, counts.filter(each => each.service === rollout.order.service))
    }
  }

  /** Stops the target at this router, and rolls it back, if the outcomes of this router alone show a fault. */
  #evaluateOwn (rollout: ActiveRollout, counts: readonly ObservedCounts[]): void {
    const { service, target } = rollout.order
    const reason = this.#observer.evaluateTarget(service, baselineGroup!, targetGroup!, counts, this.#nowMs(), this.#gapToleranceBuckets(rollout))
    if (reason === undefined) return
    this.#options.log.event('versionStopped', { service, version: target, reason })
    void this.#store(rollout, 'rolledBack')
  }

  #control (rollout: ActiveRollout, counts: readonly ObservedCounts[]): void {
    const { service, target, durationMs } = rollout.order
    rollout.pooled.receive({ routerId: this.#options.holder, interval: this.#interval, counts })
    rollout.evidence = addInterval(rollout.evidence, poolCounts(rollout.pooled.take(), service, baselineGroup!, targetGroup!), this.#gapToleranceBuckets(rollout))
    this.#holdShare(rollout, isUnderSuspicion(rollout.evidence))
    const decision = decideTimedRollout({ evidence: rollout.evidence, elapsedMs: this.#elapsedMs(rollout), durationMs, hasTargetEndpoint: this.#options.hasEndpoint(service, target) })
    switch (decision.kind) {
      case 'continue':
        return
      case 'complete':
        void this.#store(rollout, 'completed')
        return
      case 'rollBack':
        this.#options.log.event('versionStopped', { service, version: target, reason: decision.reason })
        void this.#store(rollout, 'rolledBack')
    }
  }

  /** Reports the outcomes of this router to the controller, and replaces a controller that does not respond. */
  async #report (rollout: ActiveRollout, counts: readonly ObservedCounts[]): Promise<void> {
    const { service, target, control } = rollout.order
    if (control === undefined) {
      if (this.#nowMs() - rollout.seenAtMs > controllerTimeoutMs) await this.#claim(rollout)
      return
    }
    // Reports without requests at the target would only tell the usual state of the baseline.
    if (control.address === undefined || counts.length === 0) return
    const reply = await this.#options.client.report(control.address, { service, target, routerId: this.#options.holder, interval: this.#interval, counts: counts.map(each => ({ ...each, latencyBuckets: [...each.latencyBuckets], gapBuckets: [...each.gapBuckets ?? []] })) })
    if (reply !== 'rejected') {
      this.#holdShare(rollout, reply === 'suspicious')
      rollout.controllerFailingSinceMs = undefined
      return
    }
    rollout.controllerFailingSinceMs ??= this.#nowMs()
    if (this.#nowMs() - rollout.controllerFailingSinceMs >= controllerTimeoutMs * (0.75 + this.#options.random() / 2)) await this.#claim(rollout)
  }

  /** Makes this router the controller. The fencing token increases, and a write of the previous controller fails because the revision has changed. */
  async #claim (rollout: ActiveRollout): Promise<void> {
    const { holder, address, timers } = this.#options
    if (address === undefined || !isOpen(rollout.order) || this.#isController(rollout)) return
    const { control } = rollout.order
    const startedAtMs = control?.startedAtMs ?? timers.nowMs() - (this.#nowMs() - rollout.seenAtMs)
    await this.#store(rollout, 'running', { holder, address, fencingToken: (control?.fencingToken ?? 0) + 1, startedAtMs })
  }

  async #store (rollout: ActiveRollout, state: Exclude<RolloutOrder['state'], 'ordered'>, control = rollout.order.control): Promise<void> {
    if (rollout.isWriting) return
    rollout.isWriting = true
    const { store, dialect, log } = this.#options
    const { service, target } = rollout.order
    const result = await store.replaceStatus('rollouts', rollout.name, dialect.encodeRolloutStatus(target, state, control), rollout.revision)
    rollout.isWriting = false
    if (result.isOk()) {
      this.applyOrder(result.value)
      return
    }
    log.event('rolloutWriteFailed', { service, cause: result.error.kind })
    const current = result.error.kind === 'conflict' ? result.error.object : undefined
    if (current !== undefined) this.applyOrder(current)
    else await this.#reread(rollout)
  }

  /** Reads the order again, because its revision is unknown after a failed write. */
  async #reread (rollout: ActiveRollout): Promise<void> {
    const result = await this.#options.store.read('rollouts', rollout.name)
    if (result.isOk()) this.applyOrder(result.value)
  }
}

/** Whether the rollout has no result yet. */
function isOpen ({ state }: RolloutOrder): boolean {
  return state === 'ordered' || state === 'running'
}
