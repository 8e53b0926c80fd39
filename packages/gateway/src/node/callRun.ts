/** Runs one request of a caller: chooses an endpoint, sends the request, retries it where that is safe, and passes the response on. */
import { notRun, type Failure, type FailureReason } from '@buckthorndrift/policy'
import { attemptTimeoutMs, isRepeatable, classifyResponse } from '../shared/attemptRules.ts'
import { EventSplitter } from '../shared/eventSplitter.ts'
import type { Route } from '../shared/fleet.ts'
import { ResponseTimings } from '../shared/responseTimings.ts'
import { sendFailure } from './sendFailure.ts'
import { hasCallerLeft, type CallInput } from './callInput.ts'
import { CallBudget, failureOf } from './callBudget.ts'
import { CallCrashRecord } from './callCrashRecord.ts'
import { CallHistory } from './callHistory.ts'
import { CallerResponse } from './callerResponse.ts'
import type { TrackedEndpoint } from './trackedEndpoints.ts'
import { Exchange, type ResponseHead, type ExchangeFailure } from './exchange.ts'
import type { CallOutcome, GatewayState, Placement } from './gatewayState.ts'
import { EndpointAttempt } from './endpointAttempt.ts'
import { forwardedRequest } from './forwardedRequest.ts'
import { stopRefusal, stopTooSoonDetail } from './stopRefusal.ts'

/** Another attempt is started only if at least this much time is left before the deadline. */
const minAttemptMs = 15
/** Status of a response that consists of events. */
const streamStatus = 200

export class CallRun {
  readonly #state: GatewayState
  readonly #input: CallInput
  readonly #callerResponse: CallerResponse
  readonly #budget: CallBudget
  readonly #crashRecord: CallCrashRecord
  readonly #history = new CallHistory()
  readonly #eventSplitter: EventSplitter
  #exchange: Exchange | undefined
  #responseHead: ResponseHead | undefined
  #endpointAttempt: EndpointAttempt | undefined
  #deadlineTimer: NodeJS.Timeout | undefined
  #attemptTimer: NodeJS.Timeout | undefined
  #placement: Placement | undefined
  readonly #timings = new ResponseTimings()
  #isDone = false
  #lastDetail = ''

  constructor (state: GatewayState, input: CallInput) {
    this.#state = state
    this.#input = input
    this.#callerResponse = new CallerResponse(state, input)
    this.#eventSplitter = new EventSplitter(input.attributes.resumeAfter)
    this.#budget = new CallBudget(input.attributes)
    this.#crashRecord = new CallCrashRecord(state, input)
  }

  async start (): Promise<void> {
    const { response, deadlineAtMs } = this.#input
    response.on('close', () => { if (!this.#isDone) this.#onCallerDisconnect() })
    this.#deadlineTimer = setTimeout(() => { this.#onDeadline() }, Math.max(0, deadlineAtMs - this.#state.clock.nowMs()))
    if (await hasCallerLeft(this.#input)) this.#onCallerDisconnect()
    if (this.#isDone || !await this.#reserveBudget()) return
    if (!this.#isDone) this.#attempt()
  }

  get #isStream (): boolean {
    return this.#input.route.kind === 'streaming'
  }

  get #remainingMs (): number {
    return this.#input.deadlineAtMs - this.#state.clock.nowMs()
  }

  async #reserveBudget (): Promise<boolean> {
    const { organisation, route, arrivedMs } = this.#input
    const reservation = await this.#budget.reserve(this.#state.ledger, organisation, route, Math.min(route.objectiveMs, this.#remainingMs) / 2)
    if (reservation !== undefined) this.#state.metrics.budgetWaitMs.observe(this.#state.clock.nowMs() - arrivedMs)
    const failure = failureOf(reservation)
    if (failure !== undefined) this.#respondFailure('refused', failure)
    return failure === undefined
  }

  #attempt (): void {
    if (this.#remainingMs < minAttemptMs) {
      this.#onDeadline()
      return
    }
    if (!this.#state.mayStart(this.#input.route, this.#input.deadlineAtMs)) {
      this.#endForStop(stopTooSoonDetail)
      return
    }
    const placement = this.#state.place(this.#input, this.#history.triedIds)
    if (placement === undefined) {
      if (this.#history.verdict !== notRun) this.#fail('backEndFailed', this.#lastDetail)
      else this.#refuse('noEndpoint', this.#state.absenceDetail(this.#input.service.name), this.#state.retryAfterMs(this.#input.service.name))
      return
    }
    this.#send(placement)
  }

  #send (placement: Placement): void {
    const { endpoint, estimateMs, uncachedTokens } = placement
    this.#placement = placement
    const { attributes, service, route } = this.#input
    this.#responseHead = undefined
    this.#eventSplitter.beginAttempt()
    this.#history.recordSent(endpoint.entry.id)
    this.#endpointAttempt = new EndpointAttempt(endpoint, { generation: attributes.generation, uncachedTokens, estimateMs, nowMs: this.#state.clock.nowMs(), onObservation: observation => { this.#state.rollouts.record(endpoint.entry, route.name, observation) } })
    this.#startAttemptTimer(route, estimateMs)
    this.#state.countAttempt(endpoint, service.name)
    const request = forwardedRequest({ state: this.#state, call: this.#input, endpointId: endpoint.entry.id, remainingMs: this.#remainingMs, resumeAfter: this.#eventSplitter.resumeAfter })
    this.#exchange = new Exchange(endpoint.connections, this.#state.dialect, request, {
      onHead: head => { this.#onHead(head) },
      onData: chunk => { this.#onData(chunk) },
      onEnd: () => { this.#onEnd() },
      onFailure: failure => { this.#onFailure(failure) }
    })
  }

  /** Aborts the attempt of a repeatable request if the endpoint does not respond in time, so that another endpoint is tried. */
  #startAttemptTimer (route: Route, estimateMs: number): void {
    const timeoutMs = attemptTimeoutMs(route, estimateMs)
    clearTimeout(this.#attemptTimer)
    if (timeoutMs === undefined || this.#history.executions + 1 >= route.maxAttempts) return
    this.#attemptTimer = setTimeout(() => {
      if (this.#exchange !== undefined && this.#responseHead === undefined) this.#abortAttempt('the endpoint did not respond in time')
    }, timeoutMs)
  }

  /** Ends the accounting of the current attempt and returns its endpoint. `isSuccess` is `undefined` if the outcome says nothing about the endpoint. */
  #endAttempt (isSuccess?: boolean): TrackedEndpoint | undefined {
    const attempt = this.#endpointAttempt
    this.#endpointAttempt = undefined
    this.#exchange = undefined
    attempt?.end(isSuccess, this.#state.clock.nowMs())
    return attempt?.endpoint
  }

  #onHead (head: ResponseHead): void {
    this.#responseHead = head
    clearTimeout(this.#attemptTimer)
    if (this.#endpointAttempt !== undefined) this.#state.recordNotice(this.#endpointAttempt, head.status, head.attributes)
    const classification = classifyResponse(head.status, head.attributes)
    if (classification.kind === 'rejected') {
      this.#exchange?.abort()
      this.#onRejected(head.status)
      return
    }
    this.#history.recordExecution()
    if (classification.kind === 'unusable') this.#abortAttempt(classification.detail)
    else if (this.#callerResponse.hasStarted && !this.#callerResponse.isContinuedBy(head)) this.#abortAttempt(`the response of the endpoint, with status ${head.status}, does not continue the stream`)
  }

  #onData (chunk: Buffer): void {
    if (this.#isDone || this.#responseHead === undefined) return
    const nowMs = this.#state.clock.nowMs()
    this.#timings.recordBytes(nowMs)
    this.#endpointAttempt?.recordFirstByte(nowMs)
    if (this.#isStream && this.#responseHead.status === streamStatus) {
      this.#forwardEvents(chunk, nowMs)
      return
    }
    if (this.#callerResponse.hasStarted) {
      this.#callerResponse.write(chunk, this.#exchange)
      return
    }
    if (this.#callerResponse.buffer(chunk)) return
    this.#writeHead()
    this.#callerResponse.flushBuffered(this.#exchange)
  }

  #forwardEvents (chunk: Buffer, nowMs: number): void {
    const { bytes, count } = this.#eventSplitter.push(chunk)
    const { fault } = this.#eventSplitter
    if (fault !== undefined) {
      this.#abortAttempt(fault)
      return
    }
    if (count === 0) return
    this.#timings.recordEvent(nowMs)
    this.#endpointAttempt?.recordEvents(count, nowMs)
    this.#crashRecord.recordEvent(this.#timings, nowMs)
    this.#writeHead()
    this.#callerResponse.write(bytes, this.#exchange)
  }

  #writeHead (): void {
    if (this.#responseHead !== undefined) this.#callerResponse.writeHead(this.#responseHead, this.#state.shouldCloseConnections)
  }

  #onEnd (): void {
    if (this.#isDone || this.#responseHead === undefined) return
    const { status } = this.#responseHead
    if (this.#isStream && status === streamStatus && (this.#eventSplitter.pendingBytes > 0 || this.#eventSplitter.count === 0)) {
      this.#onFailure({ kind: 'broken', detail: 'the stream ended in the middle of an event or before its first event' })
      return
    }
    const isServerError = status >= 500
    const nowMs = this.#state.clock.nowMs()
    const sentMs = this.#endpointAttempt?.sentMs ?? nowMs
    const endpoint = this.#endAttempt(!isServerError)
    this.#state.recordHealth(endpoint, isServerError ? 'failed' : 'served')
    if (!this.#isStream) endpoint?.recordResponseMs(nowMs - sentMs)
    if (isServerError && isRepeatable(this.#input.route) && !this.#callerResponse.hasStarted && this.#tryTakeRetry()) {
      this.#callerResponse.discardBuffered()
      this.#retry(`the endpoint responded with ${status}`)
      return
    }
    if (!isServerError) this.#crashRecord.recordCompleted()
    this.#writeHead()
    this.#callerResponse.flushBuffered(undefined)
    this.#finish(status < 400 ? 'finished' : 'failed', status)
    this.#callerResponse.end()
  }

  #onRejected (status: number): void {
    const endpoint = this.#endAttempt()
    if (status === 421) this.#state.recordHealth(endpoint, 'down')
    this.#lastDetail = `the endpoint rejected the request with ${status}`
    this.#history.recordUnsent()
    if (this.#history.mayTryUnsent && this.#remainingMs > minAttemptMs && this.#state.retryQuotaOf(this.#input.service.name).tryTake(this.#state.clock.nowMs())) {
      this.#retry(this.#lastDetail)
      return
    }
    if (this.#history.verdict === notRun) this.#refuse('endpointFull', 'no endpoint has capacity for the request', this.#state.retryAfterMs(this.#input.service.name))
    else this.#fail('backEndFailed', this.#lastDetail)
  }

  #onFailure (failure: ExchangeFailure): void {
    if (this.#isDone) return
    const saysNothing = failure.kind === 'notConnected' || failure.kind === 'unsendable'
    const endpoint = this.#endAttempt(saysNothing ? undefined : false)
    this.#lastDetail = failure.detail
    this.#callerResponse.discardBuffered()
    if (failure.kind === 'unsendable') {
      this.#history.recordUnsent()
      if (this.#history.verdict === notRun) this.#refuse('internal', failure.detail)
      else this.#fail('backEndFailed', failure.detail)
      return
    }
    if (failure.kind === 'notConnected') {
      this.#state.recordHealth(endpoint, 'down')
      this.#history.recordUnsent()
      if (this.#history.mayTryUnsent && this.#remainingMs > minAttemptMs) {
        this.#retry(failure.detail)
        return
      }
      if (this.#history.verdict === notRun) this.#refuse('noEndpoint', 'no endpoint could be reached', this.#state.retryAfterMs(this.#input.service.name))
      else this.#fail('endpointLost', failure.detail)
      return
    }
    if (failure.kind === 'broken') this.#crashRecord.recordInterrupted(endpoint, this.#eventSplitter.count)
    else this.#state.recordHealth(endpoint, 'failed')
    if (this.#responseHead === undefined) this.#history.recordExecution()
    this.#responseHead = undefined
    // Only a stream can go on where it broke off. Any other response would begin anew behind the part that the caller has.
    const canGoOn = this.#isStream || !this.#callerResponse.hasStarted
    if (canGoOn && isRepeatable(this.#input.route) && this.#tryTakeRetry()) {
      this.#retry(failure.detail)
      return
    }
    this.#fail('endpointLost', failure.detail)
  }

  /** Whether the request may run once more; if so, takes the retry from the quota. */
  #tryTakeRetry (): boolean {
    const { route, service } = this.#input
    if (this.#history.executions >= route.maxAttempts || this.#remainingMs < minAttemptMs) return false
    return this.#state.retryQuotaOf(service.name).tryTake(this.#state.clock.nowMs())
  }

  #retry (detail: string): void {
    const suspicion = this.#crashRecord.suspicion()
    if (suspicion !== undefined) {
      this.#respondFailure(this.#history.verdict === notRun ? 'refused' : 'failed', { verdict: this.#history.verdict, reason: 'crashSuspect', detail: suspicion })
      return
    }
    this.#state.metrics.retries.inc({ service: this.#input.service.name })
    this.#state.log.event('requestRetried', { attemptId: this.#input.attributes.attemptId ?? '', detail, tried: [...this.#history.triedIds].join(' ') })
    this.#attempt()
  }

  #abortAttempt (detail: string): void {
    this.#exchange?.abort()
    this.#onFailure({ kind: 'unusable', detail })
  }

  #onDeadline (): void {
    if (this.#isDone) return
    this.#exchange?.abort()
    this.#state.recordHealth(this.#endAttempt(false), 'failed')
    this.#history.recordEnd()
    this.#fail('deadlineExceeded', 'the deadline passed before the response was complete')
  }

  /** Ends the request when the grace period of a planned stop ends. The caller gets an answer where none has begun. */
  stop (): void {
    this.#exchange?.abort()
    this.#endAttempt()
    this.#history.recordEnd()
    this.#endForStop('this router shut down before the response was complete')
  }

  #endForStop (detail: string): void {
    if (this.#history.verdict === notRun) this.#respondFailure('refused', stopRefusal(detail))
    else this.#fail('endpointLost', detail)
  }

  #onCallerDisconnect (): void {
    this.#exchange?.abort()
    this.#endpointAttempt?.endAbandoned(this.#input.route.objectiveMs, this.#state.clock.nowMs())
    this.#finish('abandoned', 0)
  }

  #refuse (reason: FailureReason, detail: string, retryAfterMs?: number): void {
    this.#respondFailure('refused', { verdict: notRun, reason, detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
  }

  #fail (reason: FailureReason, detail: string): void {
    this.#respondFailure('failed', { verdict: this.#history.verdict, reason, detail })
  }

  #respondFailure (outcome: CallOutcome['outcome'], failure: Failure): void {
    if (this.#isDone) return
    this.#lastDetail = failure.detail
    if (this.#callerResponse.hasStarted) {
      // The caller must not take a truncated response for a complete one.
      this.#finish('failed', this.#input.response.statusCode, failure.reason)
      this.#callerResponse.closeConnection()
      return
    }
    this.#finish(outcome, sendFailure(this.#input.response, failure, this.#state.shouldCloseConnections), failure.reason)
  }

  #finish (outcome: CallOutcome['outcome'], status: number, reason?: FailureReason): void {
    if (this.#isDone) return
    this.#isDone = true
    clearTimeout(this.#deadlineTimer)
    clearTimeout(this.#attemptTimer)
    this.#budget.settle(this.#history.wasSent, this.#eventSplitter.count * (this.#input.service.engine?.tokensPerEvent ?? 1))
    this.#state.recordOutcome(this.#input, {
      outcome,
      status,
      reason,
      detail: this.#lastDetail,
      endpointIds: [...this.#history.triedIds],
      runs: this.#history.executions,
      events: this.#eventSplitter.count,
      longestGapMs: this.#timings.longestGapMs,
      firstByteMs: this.#timings.firstByteAfterMs(this.#input.arrivedMs),
      placement: this.#placement
    })
  }
}
