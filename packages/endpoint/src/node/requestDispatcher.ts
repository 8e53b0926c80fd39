/** Admits, queues and dispatches the requests of this process. A request that was not dispatched has not run at the back end. */
import type { Log, Metrics, TimerService } from '@buckthorndrift/kernel'
import type { Call, FenceOutput, Load } from '@buckthorndrift/protocol'
import { AdmissionQueue, SliceEntries, type Failure, type WaitingRequest } from '@buckthorndrift/policy'
import type { BufferedResponse } from '../shared/bufferedResponse.ts'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import {
  alreadySettled, backEndDown, callerDisconnected, crashedBeforeRun, createQueueRefusal, createRefusal, deadlineExceeded, earlierIncarnation,
  endpointLeaving, fencesNotRead, holderFenced, malformedRequestId, recordsFull, requestCancelled, seqReused, staleRequest, unknownRequest,
  waitingBytesExceeded
} from '../shared/failures.ts'
import { RecordOutbox, createRecord } from '../shared/recordOutbox.ts'
import { RequestTable } from '../shared/requestTable.ts'
import { UnreadBytesLimiter } from '../shared/unreadBytesLimiter.ts'
import type { ResponseReader } from './responseWriter.ts'
import { BackEndClient, type BackEndRequest } from './backEndClient.ts'
import { BackEndHealth } from './backEndHealth.ts'
import { RequestExecution, type ExecutionResult } from './requestExecution.ts'

export interface RequestDispatcherOptions {
  readonly settings: EndpointSettings
  readonly incarnation: string
  readonly timers: TimerService
  readonly log: Log
  readonly metrics: Metrics
}

/** A request that is queued or running. */
interface PendingRequest extends WaitingRequest {
  readonly call: Call
  readonly request: BackEndRequest
  readonly bufferedResponse: BufferedResponse
  readonly readers: Set<ResponseReader>
  execution?: RequestExecution
  cancelReattachTimer?: () => void
}

/** `closed` until the list of fenced holders of budget slices has been read; `leaving` from the start of the graceful shutdown. */
type DispatcherState = 'closed' | 'open' | 'leaving'

const sweepIntervalMs = 1000

export class RequestDispatcher {
  readonly backEndClient: BackEndClient
  readonly records: RecordOutbox
  readonly sliceEntries = new SliceEntries()
  readonly #options: RequestDispatcherOptions
  readonly #requestTable: RequestTable
  readonly #unreadBytesLimiter: UnreadBytesLimiter
  readonly #queue: AdmissionQueue<PendingRequest>
  readonly #health: BackEndHealth
  /** Queued and running requests by request id. */
  readonly #pending = new Map<string, PendingRequest>()
  readonly #stopFunctions: readonly (() => void)[]
  #state: DispatcherState = 'closed'
  #waitingBytes = 0
  #hasReachedRecordsLimit = false
  #crashListener: (contentHashes: readonly string[]) => void = () => {}
  #idleListeners: (() => void)[] = []

  constructor (options: RequestDispatcherOptions) {
    const { settings, timers } = options
    this.#options = options
    this.backEndClient = new BackEndClient({ url: settings.backEndUrl, silenceMs: settings.backEndSilenceMs, controlTimeoutMs: settings.controlTimeoutMs })
    this.records = new RecordOutbox(settings.recordsLimit)
    this.#requestTable = new RequestTable({
      monotonicMs: () => timers.monotonicMs(), answerRetentionMs: settings.answerRetentionMs, answersLimitBytes: settings.answersLimitBytes
    })
    this.#unreadBytesLimiter = new UnreadBytesLimiter({ perStreamBytes: settings.streamLimitBytes, perProcessBytes: settings.unreadLimitBytes })
    this.#queue = new AdmissionQueue({ limit: settings.backEndLimit, queueLimit: settings.queueLimit })
    this.#health = new BackEndHealth({
      timers,
      log: options.log,
      probe: () => this.backEndClient.probe(),
      probeIntervalMs: settings.probeIntervalMs,
      onCrash: contentHashes => { this.#handleCrash(contentHashes) },
      onRecovered: () => { this.#startQueued() }
    })
    this.#stopFunctions = [timers.every(sweepIntervalMs, () => { this.#sweep() })]
  }

  /** Starts to accept calls. Must not be called before the list of fenced holders has been read. */
  startAccepting (): void {
    if (this.#state === 'closed') this.#state = 'open'
  }

  get isLeaving (): boolean { return this.#state === 'leaving' }

  /** Sets the listener that receives the content hashes of the running requests when the back end crashes. */
  setCrashListener (listener: (contentHashes: readonly string[]) => void): void {
    this.#crashListener = listener
  }

  setConcurrencyLimit (limit: number): void {
    this.#queue.setLimit(limit)
    this.#startQueued()
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

  /** Allocated bytes of buffered responses, bytes that readers have not received, and number of known request ids; for metrics. */
  memoryUsage (): { readonly answersBytes: number, readonly unreadBytes: number, readonly ids: number } {
    return { answersBytes: this.#requestTable.allocatedBytes, unreadBytes: this.#unreadBytesLimiter.totalBytes, ids: this.#requestTable.size }
  }

  /** Admits a call whose body has arrived completely. If the request id is known, returns its existing response instead. */
  accept (call: Call, request: BackEndRequest, deadlineAtMs: number): BufferedResponse | Failure {
    const lookup = this.#requestTable.lookUp(call.requestId)
    if (lookup.kind === 'known') return lookup.bufferedResponse
    if (lookup.kind === 'stale') return staleRequest
    if (lookup.kind === 'malformed') return malformedRequestId
    const refusal = this.#findRefusal(call, request)
    if (refusal !== undefined) return this.#requestTable.registerRefused(call.requestId, refusal)
    const bufferedResponse = this.#requestTable.register(call.requestId)
    const pending: PendingRequest = {
      id: call.requestId,
      organisation: call.organisation,
      priority: call.priority,
      deadlineAtMs,
      tokens: call.reservation.tokens,
      call,
      request,
      bufferedResponse,
      readers: new Set()
    }
    this.#enqueue(pending)
    return bufferedResponse
  }

  /**
   * Returns the response of a request id. An unknown id is registered as refused, so that a delayed copy of the request
   * never runs. `isSameIncarnation` tells whether the request was sent to this incarnation of the process.
   */
  attach (requestId: string, isSameIncarnation: boolean): BufferedResponse | Failure {
    const lookup = this.#requestTable.lookUp(requestId)
    switch (lookup.kind) {
      case 'known': return lookup.bufferedResponse
      case 'stale': return staleRequest
      case 'malformed': return malformedRequestId
      case 'new': {
        const refused = this.#requestTable.registerRefused(requestId, unknownRequest)
        return isSameIncarnation ? refused : earlierIncarnation
      }
    }
  }

  /** Adds a router that reads the response. Returns a function that removes it. */
  addReader (requestId: string, reader: ResponseReader): () => void {
    const pending = this.#pending.get(requestId)
    if (pending === undefined) return () => {}
    pending.cancelReattachTimer?.()
    pending.readers.add(reader)
    pending.execution?.addReader(reader)
    return () => {
      pending.readers.delete(reader)
      pending.execution?.removeReader(reader)
      if (pending.readers.size === 0) this.#startReattachTimer(pending)
    }
  }

  /** Updates flow control after a router has received more of a response. */
  handleReaderProgress (requestId: string): void {
    this.#pending.get(requestId)?.execution?.updateFlowControl()
  }

  /**
   * Stops a request whose caller will not return: refuses it if it is queued, cancels it if it runs at a model engine.
   * A request with an idempotency key continues, because a caller can still ask for its response with that key.
   */
  abandon (requestId: string): void {
    const pending = this.#pending.get(requestId)
    if (pending === undefined || pending.call.keyHash !== undefined) return
    if (pending.execution === undefined) {
      this.#refuseQueued(other => other === pending, callerDisconnected)
    } else if (this.#options.settings.backEndKind === 'model') {
      pending.execution.cancel()
    }
  }

  /** Fences a holder of budget slices: refuses its queued requests, lets its running ones continue, and returns its reservation entries. */
  fence (holder: string): FenceOutput {
    if (!this.sliceEntries.isFenced(holder)) this.#options.log.event('holderFenced', { holder })
    const entries = this.sliceEntries.fence(holder)
    this.#refuseQueued(pending => pending.call.reservation.holder === holder, holderFenced)
    return { endpointId: this.#options.settings.id, incarnation: this.#options.incarnation, entries }
  }

  /** Refuses new calls. Resolves when all accepted calls have ended. */
  async drain (): Promise<void> {
    this.#state = 'leaving'
    if (this.#pending.size === 0) return
    await new Promise<void>(resolve => { this.#idleListeners.push(resolve) })
  }

  async close (): Promise<void> {
    this.#state = 'leaving'
    for (const stop of this.#stopFunctions) stop()
    this.#health.close()
    await this.backEndClient.close()
  }

  #findRefusal (call: Call, request: BackEndRequest): Failure | undefined {
    const { settings } = this.#options
    if (this.#state === 'leaving') return endpointLeaving
    if (this.#state === 'closed') return fencesNotRead
    if (call.service !== settings.service || call.version !== settings.version) {
      return createRefusal('noEndpoint', `This endpoint serves ${settings.service} ${settings.version}.`)
    }
    if (!this.#health.isHealthy) return backEndDown
    if (!this.#hasRecordRoom()) return recordsFull
    if (this.#waitingBytes + request.body.length > settings.waitingLimitBytes) return waitingBytesExceeded
    return this.#findReservationRefusal(call)
  }

  #hasRecordRoom (): boolean {
    const hasRoom = this.records.hasRoom(this.#pending.size)
    if (!hasRoom && !this.#hasReachedRecordsLimit) this.#options.log.event('recordsLimitReached', { records: this.records.size })
    this.#hasReachedRecordsLimit = !hasRoom
    return hasRoom
  }

  #findReservationRefusal (call: Call): Failure | undefined {
    switch (this.sliceEntries.check(call.reservation, call.settledSeq)) {
      case undefined: return undefined
      case 'fenced': return holderFenced
      case 'alreadySettled': return alreadySettled
      case 'seqReused': return seqReused
    }
  }

  #enqueue (pending: PendingRequest): void {
    const offer = this.#queue.offer(pending, this.#options.timers.monotonicMs(), this.#health.canStartRequests)
    if (offer.kind === 'full' || offer.kind === 'tooLate') { pending.bufferedResponse.fail(createQueueRefusal(offer)); return }
    this.#pending.set(pending.id, pending)
    this.#waitingBytes += pending.request.body.length
    if (offer.kind === 'run') this.#start(pending)
  }

  #startQueued (): void {
    this.#refuseExpired()
    while (this.#health.canStartRequests) {
      const next = this.#queue.next()
      if (next === undefined) return
      this.#start(next)
    }
  }

  #start (pending: PendingRequest): void {
    const { settings, timers } = this.#options
    const { call } = pending
    this.sliceEntries.reserve(call.reservation, call.budget, timers.monotonicMs())
    this.#waitingBytes -= pending.request.body.length
    const execution = new RequestExecution({
      call,
      request: pending.request,
      bufferedResponse: pending.bufferedResponse,
      backEndClient: this.backEndClient,
      kind: settings.backEndKind as 'model' | 'plain',
      requestTable: this.#requestTable,
      unreadBytesLimiter: this.#unreadBytesLimiter,
      timers,
      heartbeatMs: settings.heartbeatMs
    })
    pending.execution = execution
    for (const reader of pending.readers) execution.addReader(reader)
    execution.execute().then(result => { this.#finish(pending, execution, result) })
  }

  #finish (pending: PendingRequest, execution: RequestExecution, { settlement, failure }: ExecutionResult): void {
    const { timers } = this.#options
    const { call, bufferedResponse } = pending
    this.#pending.delete(call.requestId)
    pending.cancelReattachTimer?.()
    const durationMs = timers.monotonicMs() - execution.startedAtMs
    this.#queue.finished(settlement.outcome === 'completed' ? durationMs : undefined)
    this.sliceEntries.settle(call.reservation, settlement.tokens)
    if (settlement.outcome !== 'notRun') this.records.add(createRecord(call, settlement, this.#options.settings.id, timers.nowMs()), timers.monotonicMs())
    if (failure !== undefined) this.#checkBackEndAfterFailure(call)
    if (failure !== undefined && bufferedResponse.head === undefined) bufferedResponse.fail(failure, settlement)
    else if (bufferedResponse.head === undefined) bufferedResponse.fail(requestCancelled, settlement)
    else bufferedResponse.end(settlement)
    this.#requestTable.retain(call.requestId, bufferedResponse, call.keyHash !== undefined)
    this.#options.metrics.timing('endpoint.run', durationMs, { outcome: settlement.outcome })
    this.#startQueued()
    if (this.#pending.size === 0) this.#idleListeners.splice(0).forEach(listener => { listener() })
  }

  #checkBackEndAfterFailure (failed: Call): void {
    const others = [...this.#pending.values()].filter(pending => pending.execution !== undefined)
    this.#health.checkAfterFailure([
      { contentHash: failed.contentHash, hasFailed: () => true },
      ...others.map(other => ({ contentHash: other.call.contentHash, hasFailed: () => !this.#pending.has(other.id) }))
    ])
  }

  #handleCrash (contentHashes: readonly string[]): void {
    this.#refuseQueued(() => true, crashedBeforeRun)
    this.#crashListener(contentHashes)
  }

  #refuseQueued (matches: (pending: PendingRequest) => boolean, failure: Failure): void {
    this.#failRemoved(this.#queue.remove(matches), failure)
  }

  #failRemoved (removed: readonly PendingRequest[], failure: Failure): void {
    for (const pending of removed) {
      this.#pending.delete(pending.id)
      pending.cancelReattachTimer?.()
      this.#waitingBytes -= pending.request.body.length
      pending.bufferedResponse.fail(failure)
    }
    if (removed.length > 0 && this.#pending.size === 0) this.#idleListeners.splice(0).forEach(listener => { listener() })
  }

  #refuseExpired (): void {
    const expired = this.#queue.expire(this.#options.timers.monotonicMs())
    this.#failRemoved(expired, deadlineExceeded)
  }

  /** Abandons a request without an idempotency key if no router reattaches to it within `reattachMs`. */
  #startReattachTimer (pending: PendingRequest): void {
    if (!this.#pending.has(pending.id)) return
    pending.cancelReattachTimer?.()
    pending.cancelReattachTimer = this.#options.timers.after(this.#options.settings.reattachMs, () => { this.abandon(pending.id) })
  }

  #sweep (): void {
    this.#startQueued()
    this.#requestTable.sweep()
    const { answersBytes, unreadBytes, ids } = this.memoryUsage()
    this.#options.metrics.gauge('endpoint.answersBytes', answersBytes)
    this.#options.metrics.gauge('endpoint.unreadBytes', unreadBytes)
    this.#options.metrics.gauge('endpoint.requestIds', ids)
    this.#options.metrics.gauge('endpoint.queued', this.#queue.queued)
  }
}
