/**
 * Rollouts of service versions. The first router that claims an order controls it: it
 * collects the outcomes that all routers report, decides the stage of the rollout, and
 * stores the result. A router stops the target at once when its own outcomes show a
 * fault, and tells the controller.
 */
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { addInterval, decideTimedRollout, durationTolerance, evaluationIntervalMs, hasLoadTrialBegun, LocalObserver, poolCounts, scaleCounts, strongestEvidence, type DurationTolerance, type Observation, type ObservedCounts, type RolloutStage } from '@buckthorndrift/policy'
import type { Dialect } from '../shared/dialect.ts'
import type { EndpointEntry, RolloutOrder } from '../shared/fleet.ts'
import type { OutcomeReportMessage, ReportReply } from '../shared/outcomes.ts'
import type { FleetStore, StoredObject } from '../shared/store.ts'
import { VersionGate } from '../shared/versionGate.ts'
import { ActiveRollout, isOpen } from './activeRollout.ts'
import type { OutcomeClient } from './outcomeClient.ts'
import { chooseTrialEndpoints, type EligibleInput } from './trialPlacement.ts'

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
  /** Share of the requests of a service that a version under trial may receive from all routers, and number of requests in addition. */
  readonly trialShare: number
  readonly trialSlack: number
  readonly random: () => number
  /** Number of routers in the fleet. */
  routerCount (): number
  /** Asks for the latest number of routers. */
  refreshRouters (): void
  /** Whether an endpoint of the version accepts requests. */
  hasEndpoint (service: string, version: string): boolean
  /** Requests of this router in flight at an endpoint; `undefined` if the endpoint takes none now or is avoided. */
  runningAt (entry: EndpointEntry): number | undefined
}

/** Longest random delay before a router claims a new order, so that not all of them write at the same time. */
const maxClaimDelayMs = 400
/** Time for which the controller may fail to respond before another router replaces it. */
const controllerTimeoutMs = 2000
/** Longest time between two reports, also without outcomes, because the reply tells the stage. */
const maxReportIntervalMs = 900
/** Mean delay before a result is stored again after a failed write. */
const writeRetryMs = 1000
/** Equal parts in which the history of a router counts at a new controller. Evidence grows by a limited amount in each, and enough of it for a rollback needs as many. */
const historyParts = 4
/** Version groups under which outcomes are counted: all versions other than the target are the baseline. */
const [baselineGroup, targetGroup] = ['baseline', 'target'] as const

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
    return [...this.#active.values()].some(({ isOpen }) => isOpen)
  }

  /** Whether the version of an endpoint is under trial. */
  isInTrial (endpoint: EndpointEntry): boolean {
    const rollout = this.#active.get(endpoint.service)
    return rollout !== undefined && rollout.isOpen && rollout.stage.kind === 'trial' && endpoint.version === rollout.order.target
  }

  /** Counts a first attempt, which draws on the requests that a version under trial may receive. */
  countPlacement (endpoint: EndpointEntry): void {
    const rollout = this.#active.get(endpoint.service)
    if (rollout === undefined || !rollout.isOpen) return
    rollout.requests++
    if (endpoint.version === rollout.order.target) rollout.targetRequests++
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
    const rollout = new ActiveRollout(object.name, order, object.revision, this.#nowMs())
    if (!isOpen(order)) rollout.resultEra = this.#options.store.era()
    this.#active.set(order.service, rollout)
    this.#observer.forgetTarget(order.service, targetGroup)
    this.#logOrder(rollout)
    if (rollout.isOpen) this.#options.refreshRouters()
    if (order.state === 'ordered') {
      this.#options.timers.after(this.#options.random() * maxClaimDelayMs, () => {
        if (rollout.order.control === undefined) void this.#claim(rollout)
      })
    }
  }

  /** Endpoints that may get a request. A first attempt may get a version under trial. */
  eligible ({ service, endpoints, hasEngine, isRepeated }: EligibleInput): readonly EndpointEntry[] {
    const nowMs = this.#nowMs()
    const rollout = this.#active.get(service)
    if (rollout === undefined) return this.#gate.eligible({ service, endpoints, rollout: undefined, isRepeated, nowMs })
    const { order } = rollout
    // Once another router has completed the rollout, the endpoints of the other versions are gone.
    const isStopped = rollout.isStopped && rollout.isOpen
    if (!isRepeated && rollout.isOpen) this.#sampleRunning(rollout, endpoints)
    const chooseTargets = (ofTarget: readonly EndpointEntry[]): readonly EndpointEntry[] => this.#chooseTargets(rollout, ofTarget, hasEngine, nowMs)
    return this.#gate.eligible({ service, endpoints, rollout: { order, isStopped, chooseTargets }, isRepeated, nowMs })
  }

  #sampleRunning (rollout: ActiveRollout, endpoints: readonly EndpointEntry[]): void {
    rollout.sampleRunning(endpoints.reduce((sum, entry) => sum + (this.#options.runningAt(entry) ?? 0), 0))
  }

  #chooseTargets (rollout: ActiveRollout, ofTarget: readonly EndpointEntry[], hasEngine: boolean, nowMs: number): readonly EndpointEntry[] {
    const { trialShare, trialSlack, random, routerCount, runningAt } = this.#options
    const input = { rollout, hasEngine, elapsedMs: this.#elapsedMs(rollout), nowMs, isController: this.#isController(rollout), trialShare, trialSlack, routers: routerCount(), random: random(), runningAt }
    return chooseTrialEndpoints(input, ofTarget)
  }

  /** Counts what a request showed about the version of an endpoint. */
  record (endpoint: EndpointEntry, route: string, observation: Observation): void {
    const rollout = this.#active.get(endpoint.service)
    if (rollout === undefined || !rollout.isOpen) return
    const group = endpoint.version === rollout.order.target ? targetGroup : baselineGroup
    this.#observer.record(endpoint.service, group, route, observation)
  }

  /** Takes the report of another router. */
  receiveReport ({ service, target, routerId, interval, isStopped, counts }: OutcomeReportMessage): ReportReply {
    const rollout = this.#active.get(service)
    if (rollout === undefined || rollout.order.target !== target) return { kind: 'rejected' }
    if (isStopped) this.#stopTarget(rollout, `router ${routerId} stopped it`)
    if (rollout.isStopped) return { kind: 'stopped' }
    if (!this.#isController(rollout) || !rollout.isOpen) return { kind: 'rejected' }
    rollout.pooled.receive({ routerId, interval, counts })
    return { kind: 'accepted', stage: rollout.stage }
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  /** Time since the start of the rollout. The start is that of the first controller, by the wall clock, because a router may learn of the order later. */
  #elapsedMs ({ order, seenAtMs }: ActiveRollout): number {
    const sinceSeenMs = this.#nowMs() - seenAtMs
    return order.control === undefined ? sinceSeenMs : Math.max(sinceSeenMs, this.#options.timers.nowMs() - order.control.startedAtMs)
  }

  #tolerance (rollout: ActiveRollout): DurationTolerance {
    return durationTolerance(rollout.stage, hasLoadTrialBegun(this.#elapsedMs(rollout), rollout.order.durationMs))
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
      rollout.resetReports()
      if (this.#isController(rollout)) this.#addHistory(rollout)
    }
    if (order.state !== before.state || hasNewController) this.#logOrder(rollout)
  }

  #logOrder ({ order, evidence }: ActiveRollout): void {
    const { service, target, state, control, durationMs } = order
    this.#options.log.event('rolloutChanged', { service, target, state, durationMs, controller: control?.holder ?? null, targetRequests: evidence.requestsAtStep })
  }

  #endInterval (): void {
    const counts = this.#observer.takeInterval()
    this.#interval++
    for (const rollout of this.#active.values()) {
      if (!rollout.isOpen) continue
      this.#evaluateOwn(rollout, counts)
      rollout.addUnsent(counts.filter(each => each.service === rollout.order.service))
      if (this.#isController(rollout)) this.#control(rollout)
      else void this.#report(rollout)
      this.#storeRollback(rollout)
    }
  }

  /** Stops the target if the outcomes of this router alone show a fault. */
  #evaluateOwn (rollout: ActiveRollout, counts: readonly ObservedCounts[]): void {
    const reason = this.#observer.evaluateTarget(rollout.order.service, baselineGroup, targetGroup, counts, this.#nowMs(), this.#tolerance(rollout))
    if (reason !== undefined) this.#stopTarget(rollout, reason)
  }

  /** Sends the target no more requests from now on. The rollback is stored as soon as the store allows it, after `storeDelayMs` if another router is about to store it. */
  #stopTarget (rollout: ActiveRollout, reason: string, storeDelayMs = 0): void {
    if (rollout.isStopped || !rollout.isOpen) return
    rollout.isStopped = true
    rollout.writeDueMs = this.#nowMs() + storeDelayMs
    const { service, target } = rollout.order
    this.#options.log.event('versionStopped', { service, version: target, reason, requests: rollout.requests, targetRequests: rollout.targetRequests })
    this.#storeRollback(rollout)
  }

  /** Stores the rollback of a stopped version until the store has it. */
  #storeRollback (rollout: ActiveRollout): void {
    if (!rollout.isStopped || !rollout.isOpen || this.#nowMs() < rollout.writeDueMs) return
    rollout.writeDueMs = this.#nowMs() + writeRetryMs * (0.5 + this.#options.random())
    void this.#store(rollout, 'rolledBack')
  }

  #control (rollout: ActiveRollout): void {
    if (rollout.isStopped) return
    const { service, target, durationMs } = rollout.order
    rollout.pooled.receive({ routerId: this.#options.holder, interval: this.#interval, counts: rollout.takeUnsent() })
    rollout.evidence = addInterval(rollout.evidence, poolCounts(rollout.pooled.take(), service, baselineGroup, targetGroup), this.#tolerance(rollout))
    const { trialShare, hasEndpoint } = this.#options
    const decision = decideTimedRollout({ evidence: rollout.evidence, stage: rollout.stage, elapsedMs: this.#elapsedMs(rollout), durationMs, trialShare, hasTargetEndpoint: hasEndpoint(service, target) })
    switch (decision.kind) {
      case 'continue':
        this.#setStage(rollout, decision.stage)
        return
      case 'complete':
        void this.#store(rollout, 'completed')
        return
      case 'rollBack':
        this.#stopTarget(rollout, decision.reason)
    }
  }

  #setStage (rollout: ActiveRollout, stage: RolloutStage): void {
    const hasChanged = rollout.stage.kind !== stage.kind
    rollout.stage = stage
    rollout.stageKnownMs = this.#nowMs()
    if (!hasChanged) return
    const { service, target } = rollout.order
    const { requestsAtStep: pooledTargetRequests } = rollout.evidence
    const evidence = Number(strongestEvidence(rollout.evidence).toFixed(1))
    this.#options.log.event('rolloutStageChanged', { service, target, stage: stage.kind, elapsedMs: Math.round(this.#elapsedMs(rollout)), requests: rollout.requests, targetRequests: rollout.targetRequests, pooledTargetRequests, evidence })
  }

  /** Begins the evidence of a new controller with its own outcomes so far. Those of the other routers arrive with their next reports. */
  #addHistory (rollout: ActiveRollout): void {
    const counts = rollout.takeUnsent().map(each => scaleCounts(each, 1 / historyParts))
    for (let part = 0; part < historyParts; part++) {
      rollout.evidence = addInterval(rollout.evidence, poolCounts(counts, rollout.order.service, baselineGroup, targetGroup), this.#tolerance(rollout))
    }
  }

  /** Reports the outcomes of this router to the controller, and replaces a controller that does not respond. */
  async #report (rollout: ActiveRollout): Promise<void> {
    const { service, target, control } = rollout.order
    if (control === undefined) {
      if (this.#nowMs() - rollout.seenAtMs > controllerTimeoutMs) await this.#claim(rollout)
      return
    }
    if (control.address === undefined || rollout.isReporting) return
    const counts = rollout.takeUnsent()
    if (counts.length === 0 && !rollout.isStopped && this.#nowMs() - rollout.reportedMs < maxReportIntervalMs) return
    rollout.isReporting = true
    rollout.reportedMs = this.#nowMs()
    const reply = await this.#options.client.report(control.address, { service, target, routerId: this.#options.holder, interval: this.#interval, isStopped: rollout.isStopped, counts: counts.map(toMessageCounts) })
    rollout.isReporting = false
    switch (reply.kind) {
      case 'accepted':
        this.#setStage(rollout, reply.stage)
        rollout.controllerFailingSinceMs = undefined
        return
      case 'stopped':
        this.#stopTarget(rollout, 'the controller stopped it', writeRetryMs * (1 + this.#options.random()))
        rollout.controllerFailingSinceMs = undefined
        return
      case 'rejected':
        if (rollout.order.control?.holder === control.holder) rollout.giveBack(counts)
        rollout.controllerFailingSinceMs ??= this.#nowMs()
    }
    if (this.#nowMs() - rollout.controllerFailingSinceMs! >= controllerTimeoutMs * (0.75 + this.#options.random() / 2)) await this.#claim(rollout)
  }

  /** Makes this router the controller. The fencing token increases, and a write of the previous controller fails because the revision has changed. */
  async #claim (rollout: ActiveRollout): Promise<void> {
    const { holder, address, timers } = this.#options
    if (address === undefined || !rollout.isOpen || this.#isController(rollout)) return
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

function toMessageCounts (counts: ObservedCounts): OutcomeReportMessage['counts'][number] {
  return { ...counts, latencyBuckets: [...counts.latencyBuckets], gapBuckets: [...counts.gapBuckets ?? []] }
}
