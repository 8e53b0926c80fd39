/** The gate: what it has not let through has not run. Owns the state of all requests of this process. */
import type { Log, Metrics, TimerService } from '@buckthorndrift/kernel'
import type { Call, FenceOutput, Load } from '@buckthorndrift/protocol'
import { AdmissionQueue, SliceEntries, type Failure, type WaitingRequest } from '@buckthorndrift/policy'
import type { Answer } from '../shared/answer.ts'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import {
  alreadySettled, backEndDown, bytesFull, callerLeft, cancelled, deadlinePassed, failureOfOffer, fellOverBefore, fenced, leaving,
  malformedId, notOpen, otherLife, recordsFull, refusal, seqReused, staleRequest, unknownRequest
} from '../shared/failures.ts'
import { RecordKeeper, recordOf } from '../shared/recordOutbox.ts'
import { RequestTable } from '../shared/requestTable.ts'
import { UnreadBudget } from '../shared/unreadBytesLimiter.ts'
import type { AnswerReader } from './answerWriter.ts'
import { BackEnd, type BackEndRequest } from './backEnd.ts'
import { BackEndHealth } from './backEndHealth.ts'
import { Run, type RunEnd } from './requestExecution.ts'

export interface GateOptions {
  readonly settings: EndpointSettings
  readonly incarnation: string
  readonly timers: TimerService
  readonly log: Log
  readonly metrics: Metrics
}

interface Pending extends WaitingRequest {
  readonly call: Call
  readonly request: BackEndRequest
  readonly answer: Answer
  readonly readers: Set<AnswerReader>
  run?: Run
  stopGrace?: () => void
}

type GateState = 'closed' | 'open' | 'leaving'

const sweepIntervalMs = 1000

export class Gate {
  readonly backEnd: BackEnd
  readonly records: RecordKeeper
  readonly entries = new SliceEntries()
  readonly #options: GateOptions
  readonly #table: RequestTable
  readonly #unread: UnreadBudget
  readonly #queue: AdmissionQueue<Pending>
  readonly #health: BackEndHealth
  /** Requests that are queued or running. */
  readonly #pending = new Map<string, Pending>()
  readonly #stops: readonly (() => void)[]
  #state: GateState = 'closed'
  #waitingBytes = 0
  #isRecordsFull = false
  #onCrash: (contentHashes: readonly string[]) => void = () => {}
  #onIdle: (() => void)[] = []

  constructor (options: GateOptions) {
    const { settings, timers } = options
    this.#options = options
    this.backEnd = new BackEnd({ url: settings.backEndUrl, silenceMs: settings.backEndSilenceMs, controlTimeoutMs: settings.controlTimeoutMs })
    this.records = new RecordKeeper(settings.recordsLimit)
    this.#table = new RequestTable({
      monotonicMs: () => timers.monotonicMs(), answerRetentionMs: settings.answerRetentionMs, answersLimitBytes: settings.answersLimitBytes
    })
    this.#unread = new UnreadBudget({ streamBytes: settings.streamLimitBytes, processBytes: settings.unreadLimitBytes })
    this.#queue = new AdmissionQueue({ limit: settings.backEndLimit, queueLimit: settings.queueLimit })
    this.#health = new BackEndHealth({
      timers,
      log: options.log,
      probe: () => this.backEnd.probe(),
      probeIntervalMs: settings.probeIntervalMs,
      onDown: contentHashes => { this.#fellOver(contentHashes) },
      onUp: () => { this.#startNext() }
    })
    this.#stops = [timers.every(sweepIntervalMs, () => { this.#sweep() })]
  }

  /** Accepts calls from now on; called after the fences are read. */
  open (): void {
    if (this.#state === 'closed') this.#state = 'open'
  }

  get isLeaving (): boolean { return this.#state === 'leaving' }

  /** Sets the listener for crashes of the back end. */
  onCrash (listener: (contentHashes: readonly string[]) => void): void {
    this.#onCrash = listener
  }

  setLimit (limit: number): void {
    this.#queue.setLimit(limit)
    this.#startNext()
  }

  load (): Load {
    return {
      inFlight: this.#queue.running,
      limit: this.#queue.limit,
      queued: this.#queue.queued,
      leaving: this.#state === 'leaving',
      healthy: this.#health.isHealthy
    }
  }

  /** Bytes held for answers, unread bytes, and known request ids; for metrics. */
  memory (): { readonly answersBytes: number, readonly unreadBytes: number, readonly ids: number } {
    return { answersBytes: this.#table.heldBytes, unreadBytes: this.#unread.totalBytes, ids: this.#table.size }
  }

  /** Admits a complete call, or returns the answer of its id when that is known. */
  accept (call: Call, request: BackEndRequest, deadlineAtMs: number): Answer | Failure {
    const known = this.#table.look(call.requestId)
    if (known.kind === 'known') return known.answer
    if (known.kind === 'stale') return staleRequest
    if (known.kind === 'malformed') return malformedId
    const refusal = this.#refusalOf(call, request)
    if (refusal !== undefined) return this.#table.refuse(call.requestId, refusal)
    const answer = this.#table.open(call.requestId)
    const pending: Pending = {
      id: call.requestId,
      organisation: call.organisation,
      priority: call.priority,
      deadlineAtMs,
      tokens: call.reservation.tokens,
      call,
      request,
      answer,
      readers: new Set()
    }
    this.#admit(pending)
    return answer
  }

  /** The answer of a request id. An unknown id is refused for good; `isSameLife` tells whether it was sent to this life of the process. */
  attach (requestId: string, isSameLife: boolean): Answer | Failure {
    const known = this.#table.look(requestId)
    switch (known.kind) {
      case 'known': return known.answer
      case 'stale': return staleRequest
      case 'malformed': return malformedId
      case 'new': {
        const refused = this.#table.refuse(requestId, unknownRequest)
        return isSameLife ? refused : otherLife
      }
    }
  }

  /** Notes a router that reads the answer; the returned function ends that. */
  addReader (requestId: string, reader: AnswerReader): () => void {
    const pending = this.#pending.get(requestId)
    if (pending === undefined) return () => {}
    pending.stopGrace?.()
    pending.readers.add(reader)
    pending.run?.addReader(reader)
    return () => {
      pending.readers.delete(reader)
      pending.run?.removeReader(reader)
      if (pending.readers.size === 0) this.#awaitReturn(pending)
    }
  }

  /** A router has taken more of an answer. */
  noteProgress (requestId: string): void {
    this.#pending.get(requestId)?.run?.balance()
  }

  /** The caller is gone for good: what nobody can come back for is stopped. */
  abandon (requestId: string): void {
    const pending = this.#pending.get(requestId)
    if (pending === undefined || pending.call.keyHash !== undefined) return
    if (pending.run === undefined) {
      this.#refuseQueued(other => other === pending, callerLeft)
    } else if (this.#options.settings.backEndKind === 'model') {
      pending.run.cancel()
    }
  }

  /** Fences a holder: its waiting requests are refused, its running ones go on. */
  fence (holder: string): FenceOutput {
    if (!this.entries.isFenced(holder)) this.#options.log.event('holderFenced', { holder })
    const entries = this.entries.fence(holder)
    this.#refuseQueued(pending => pending.call.reservation.holder === holder, fenced)
    return { endpointId: this.#options.settings.id, incarnation: this.#options.incarnation, entries }
  }

  /** Refuses new calls; resolves when all accepted ones have ended. */
  async leave (): Promise<void> {
    this.#state = 'leaving'
    if (this.#pending.size === 0) return
    await new Promise<void>(resolve => { this.#onIdle.push(resolve) })
  }

  async close (): Promise<void> {
    this.#state = 'leaving'
    for (const stop of this.#stops) stop()
    this.#health.close()
    await this.backEnd.close()
  }

  #refusalOf (call: Call, request: BackEndRequest): Failure | undefined {
    const { settings } = this.#options
    if (this.#state === 'leaving') return leaving
    if (this.#state === 'closed') return notOpen
    if (call.service !== settings.service || call.version !== settings.version) {
      return refusal('noEndpoint', `This endpoint serves ${settings.service} ${settings.version}.`)
    }
    if (!this.#health.isHealthy) return backEndDown
    if (!this.#hasRecordRoom()) return recordsFull
    if (this.#waitingBytes + request.body.length > settings.waitingLimitBytes) return bytesFull
    return this.#sliceRefusalOf(call)
  }

  #hasRecordRoom (): boolean {
    const hasRoom = this.records.hasRoom(this.#pending.size)
    if (!hasRoom && !this.#isRecordsFull) this.#options.log.event('recordsLimitReached', { records: this.records.size })
    this.#isRecordsFull = !hasRoom
    return hasRoom
  }

  #sliceRefusalOf (call: Call): Failure | undefined {
    switch (this.entries.check(call.reservation, call.settledSeq)) {
      case undefined: return undefined
      case 'fenced': return fenced
      case 'alreadySettled': return alreadySettled
      case 'seqReused': return seqReused
    }
  }

  #admit (pending: Pending): void {
    const offer = this.#queue.offer(pending, this.#options.timers.monotonicMs(), this.#health.canStart)
    if (offer.kind === 'full' || offer.kind === 'tooLate') { pending.answer.fail(failureOfOffer(offer)); return }
    this.#pending.set(pending.id, pending)
    this.#waitingBytes += pending.request.body.length
    if (offer.kind === 'run') this.#start(pending)
  }

  #startNext (): void {
    this.#expire()
    while (this.#health.canStart) {
      const next = this.#queue.next()
      if (next === undefined) return
      this.#start(next)
    }
  }

  #start (pending: Pending): void {
    const { settings, timers } = this.#options
    const { call } = pending
    this.entries.reserve(call.reservation, call.budget, timers.monotonicMs())
    this.#waitingBytes -= pending.request.body.length
    const run = new Run({
      call,
      request: pending.request,
      answer: pending.answer,
      backEnd: this.backEnd,
      kind: settings.backEndKind as 'model' | 'plain',
      table: this.#table,
      unread: this.#unread,
      timers,
      heartbeatMs: settings.heartbeatMs
    })
    pending.run = run
    for (const reader of pending.readers) run.addReader(reader)
    run.execute().then(end => { this.#finish(pending, run, end) })
  }

  #finish (pending: Pending, run: Run, { settlement, failure }: RunEnd): void {
    const { timers } = this.#options
    const { call, answer } = pending
    this.#pending.delete(call.requestId)
    pending.stopGrace?.()
    const durationMs = timers.monotonicMs() - run.startedAtMs
    this.#queue.finished(settlement.outcome === 'completed' ? durationMs : undefined)
    this.entries.settle(call.reservation, settlement.tokens)
    if (settlement.outcome !== 'notRun') this.records.add(recordOf(call, settlement, this.#options.settings.id, timers.nowMs()), timers.monotonicMs())
    if (failure !== undefined) this.#lookInto(call)
    if (failure !== undefined && answer.head === undefined) answer.fail(failure, settlement)
    else if (answer.head === undefined) answer.fail(cancelled, settlement)
    else answer.end(settlement)
    this.#table.keep(call.requestId, answer, call.keyHash !== undefined)
    this.#options.metrics.timing('endpoint.run', durationMs, { outcome: settlement.outcome })
    this.#startNext()
    if (this.#pending.size === 0) this.#onIdle.splice(0).forEach(resolve => { resolve() })
  }

  #lookInto (failed: Call): void {
    const others = [...this.#pending.values()].filter(pending => pending.run !== undefined)
    this.#health.check([
      { contentHash: failed.contentHash, hasFailed: () => true },
      ...others.map(other => ({ contentHash: other.call.contentHash, hasFailed: () => !this.#pending.has(other.id) }))
    ])
  }

  #fellOver (contentHashes: readonly string[]): void {
    this.#refuseQueued(() => true, fellOverBefore)
    this.#onCrash(contentHashes)
  }

  #refuseQueued (matches: (pending: Pending) => boolean, failure: Failure): void {
    this.#dropQueued(this.#queue.remove(matches), failure)
  }

  #dropQueued (removed: readonly Pending[], failure: Failure): void {
    for (const pending of removed) {
      this.#pending.delete(pending.id)
      pending.stopGrace?.()
      this.#waitingBytes -= pending.request.body.length
      pending.answer.fail(failure)
    }
    if (removed.length > 0 && this.#pending.size === 0) this.#onIdle.splice(0).forEach(resolve => { resolve() })
  }

  #expire (): void {
    const late = this.#queue.expire(this.#options.timers.monotonicMs())
    this.#dropQueued(late, deadlinePassed)
  }

  /** Gives routers `reattachMs` to come back before a request without a key is abandoned. */
  #awaitReturn (pending: Pending): void {
    if (!this.#pending.has(pending.id)) return
    pending.stopGrace?.()
    pending.stopGrace = this.#options.timers.after(this.#options.settings.reattachMs, () => { this.abandon(pending.id) })
  }

  #sweep (): void {
    this.#startNext()
    this.#table.sweep()
    const { answersBytes, unreadBytes, ids } = this.memory()
    this.#options.metrics.gauge('endpoint.answersBytes', answersBytes)
    this.#options.metrics.gauge('endpoint.unreadBytes', unreadBytes)
    this.#options.metrics.gauge('endpoint.requestIds', ids)
    this.#options.metrics.gauge('endpoint.queued', this.#queue.queued)
  }
}
