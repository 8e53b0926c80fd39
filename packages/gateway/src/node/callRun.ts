/** Runs one call of a caller: places it, sends it, repeats it where that is safe, and passes the answer on. */
import { mayHaveRun, notRun, type Failure, type FailureReason, type Verdict } from '@buckthorndrift/policy'
import { attemptPatienceMs, isRepeatable, meaningOf } from '../shared/attemptRules.ts'
import { EventBoundary } from '../shared/eventBoundary.ts'
import type { Route } from '../shared/fleet.ts'
import { sendFailure } from './callerAnswer.ts'
import { contentOf, type CallInput } from './callInput.ts'
import { CallBudget } from './callBudget.ts'
import { CallerStream } from './callerStream.ts'
import type { EndpointPeer } from './endpointPeers.ts'
import { Exchange, type AnswerHead, type ExchangeFailure } from './exchange.ts'
import type { CallOutcome, GatewayState, Place } from './gatewayState.ts'
import { PeerUse } from './peerUse.ts'

/** Time that a further attempt needs at least. */
const minAttemptMs = 15
/** Margin below the time that is left, for the way of the answer. */
const answerMarginMs = 5
/** Attempts that end before anything is sent, or are rejected unread, are limited as well. */
const maxUnsentAttempts = 3

export class CallRun {
  readonly #state: GatewayState
  readonly #input: CallInput
  readonly #stream: CallerStream
  readonly #budget: CallBudget
  readonly #tried = new Set<string>()
  readonly #boundary = new EventBoundary()
  #exchange: Exchange | undefined
  #head: AnswerHead | undefined
  #use: PeerUse | undefined
  #deadlineTimer: NodeJS.Timeout | undefined
  #patienceTimer: NodeJS.Timeout | undefined
  #verdict: Verdict = notRun
  /** Endpoints that may have begun to run the call. */
  #runs = 0
  #unsent = 0
  /** Whether an attempt was sent whose endpoint did not say that it was not run. */
  #wasSent = false
  #place: Place | undefined
  #firstByteMs: number | undefined
  #lastEventMs: number | undefined
  #longestGapMs = 0
  #isDone = false
  #lastDetail = ''

  constructor (state: GatewayState, input: CallInput) {
    this.#state = state
    this.#input = input
    this.#stream = new CallerStream(input.response, state.dialect)
    this.#budget = new CallBudget(input.attributes)
  }

  async start (): Promise<void> {
    const { response, deadlineAtMs } = this.#input
    response.on('close', () => {
      if (!this.#isDone) this.#abandon()
    })
    this.#deadlineTimer = setTimeout(() => { this.#onDeadline() }, Math.max(0, deadlineAtMs - this.#state.clock.nowMs()))
    if (!await this.#reserveBudget()) return
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
    switch (reservation?.kind) {
      case undefined:
      case 'reserved':
        return true
      case 'exhausted':
        this.#refuse('budgetExhausted', 'the rest of the budget does not cover the request at its largest size')
        return false
      case 'unavailable':
        this.#refuse('budgetUnavailable', 'no part of the budget is free at the moment', reservation.retryAfterMs)
        return false
    }
  }

  #attempt (): void {
    if (this.#remainingMs < minAttemptMs) {
      this.#onDeadline()
      return
    }
    const place = this.#state.place(this.#input, this.#tried)
    if (place === undefined) {
      if (this.#runs > 0 || this.#verdict !== notRun) this.#fail('backEndFailed', this.#lastDetail)
      else this.#refuse('noEndpoint', 'no endpoint takes the request', this.#state.retryAfterMs())
      return
    }
    this.#send(place)
  }

  #send (place: Place): void {
    const { peer, estimateMs, uncachedTokens } = place
    this.#place = place
    const { request, attributes, body, organisation, service, route } = this.#input
    this.#head = undefined
    this.#boundary.discardPartial()
    this.#tried.add(peer.entry.id)
    this.#use = new PeerUse(peer, { generation: attributes.generation, uncachedTokens, estimateMs, nowMs: this.#state.clock.nowMs() })
    const resumeAfter = this.#boundary.lastId ?? attributes.resumeAfter
    const headers = this.#state.dialect.forwardHeaders(request.rawHeaders, {
      remainingMs: Math.max(1, Math.floor(this.#remainingMs - answerMarginMs)),
      endpointId: peer.entry.id,
      organisation: organisation?.name,
      urgency: service.engine === undefined ? undefined : this.#state.urgencyOf(route, organisation),
      resumeAfter
    })
    this.#wasSent = true
    this.#watchPatience(route, estimateMs)
    this.#state.metrics.attempts.inc({ service: service.name })
    this.#exchange = new Exchange(peer.connections, this.#state.dialect, {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers,
      body,
      isRepeatable: isRepeatable(route),
      attemptId: attributes.attemptId
    }, {
      onHead: head => { this.#onHead(head) },
      onData: chunk => { this.#onData(chunk) },
      onEnd: () => { this.#onEnd() },
      onFailure: failure => { this.#onFailure(failure) }
    })
  }

  /** Tries a repeatable call elsewhere when its endpoint stays silent. */
  #watchPatience (route: Route, estimateMs: number): void {
    const patienceMs = attemptPatienceMs(route, estimateMs)
    clearTimeout(this.#patienceTimer)
    if (patienceMs === undefined || this.#runs + 1 >= route.maxAttempts) return
    this.#patienceTimer = setTimeout(() => {
      if (this.#exchange !== undefined && this.#head === undefined) this.#breakOff('the endpoint did not answer in time')
    }, patienceMs)
  }

  /** Ends the accounting of the present attempt. */
  #leavePeer (): EndpointPeer | undefined {
    const use = this.#use
    this.#use = undefined
    this.#exchange = undefined
    use?.end()
    return use?.peer
  }

  #onHead (head: AnswerHead): void {
    this.#head = head
    clearTimeout(this.#patienceTimer)
    const meaning = meaningOf(head.status, head.attributes)
    if (meaning.kind === 'rejected') {
      this.#exchange?.abort()
      this.#onRejected(head.status)
      return
    }
    this.#runs++
    this.#verdict = mayHaveRun
    if (meaning.kind === 'unusable') this.#breakOff(meaning.detail)
  }

  #onData (chunk: Buffer): void {
    if (this.#isDone || this.#head === undefined) return
    const nowMs = this.#state.clock.nowMs()
    this.#firstByteMs ??= nowMs
    this.#use?.noteFirstByte(nowMs)
    if (this.#isStream && this.#head.status === 200) {
      this.#passEvents(chunk, nowMs)
      return
    }
    if (this.#stream.isStarted) {
      this.#stream.write(chunk, this.#exchange)
      return
    }
    if (this.#stream.hold(chunk)) return
    this.#writeHead()
    this.#stream.releaseHeld(this.#exchange)
  }

  #passEvents (chunk: Buffer, nowMs: number): void {
    const { bytes, count } = this.#boundary.push(chunk)
    if (count === 0) return
    this.#longestGapMs = Math.max(this.#longestGapMs, nowMs - (this.#lastEventMs ?? nowMs))
    this.#lastEventMs = nowMs
    this.#writeHead()
    this.#stream.write(bytes, this.#exchange)
  }

  #writeHead (): void {
    if (this.#head !== undefined) this.#stream.writeHead(this.#head, this.#state.closesConnections)
  }

  #onEnd (): void {
    if (this.#isDone || this.#head === undefined) return
    const { status } = this.#head
    if (this.#isStream && status === 200 && (this.#boundary.pendingBytes > 0 || this.#boundary.count === 0)) {
      this.#onFailure({ kind: 'broken', detail: 'the stream ended within an event' })
      return
    }
    const isServerError = status >= 500
    const nowMs = this.#state.clock.nowMs()
    const sentMs = this.#use?.sentMs ?? nowMs
    const peer = this.#leavePeer()
    this.#state.noteHealth(peer, isServerError ? 'failed' : 'served')
    if (!this.#isStream) peer?.noteAnswerMs(nowMs - sentMs)
    if (isServerError && isRepeatable(this.#input.route) && !this.#stream.isStarted && this.#mayRepeat()) {
      this.#stream.discardHeld()
      this.#retry(`the endpoint answered ${status}`)
      return
    }
    if (!isServerError) this.#state.crashes.noteCompleted(contentOf(this.#input))
    this.#writeHead()
    this.#stream.releaseHeld(undefined)
    this.#finish(status < 400 ? 'finished' : 'failed', status)
    this.#stream.end()
  }

  #onRejected (status: number): void {
    const peer = this.#leavePeer()
    const nowMs = this.#state.clock.nowMs()
    if (status === 421) this.#state.noteHealth(peer, 'down')
    this.#lastDetail = `the endpoint rejected the request with ${status}`
    this.#noteUnsent()
    if (this.#unsent < maxUnsentAttempts && this.#remainingMs > minAttemptMs && this.#state.quotaOf(this.#input.service.name).tryTake(nowMs)) {
      this.#retry(this.#lastDetail)
      return
    }
    if (this.#verdict === notRun) this.#refuse('endpointFull', 'the endpoints have no place for the request', this.#state.retryAfterMs())
    else this.#fail('backEndFailed', this.#lastDetail)
  }

  #onFailure (failure: ExchangeFailure): void {
    if (this.#isDone) return
    const peer = this.#leavePeer()
    this.#lastDetail = failure.detail
    this.#stream.discardHeld()
    if (failure.kind === 'notConnected') {
      this.#state.noteHealth(peer, 'down')
      this.#noteUnsent()
      if (this.#unsent < maxUnsentAttempts && this.#remainingMs > minAttemptMs) {
        this.#retry(failure.detail)
        return
      }
      if (this.#verdict === notRun) this.#refuse('noEndpoint', 'no endpoint could be reached', this.#state.retryAfterMs())
      else this.#fail('endpointLost', failure.detail)
      return
    }
    if (failure.kind === 'broken') this.#state.noteBroken(peer, contentOf(this.#input))
    else this.#state.noteHealth(peer, 'failed')
    if (this.#head === undefined) this.#runs++
    this.#head = undefined
    this.#verdict = mayHaveRun
    if (isRepeatable(this.#input.route) && this.#mayRepeat()) {
      this.#retry(failure.detail)
      return
    }
    this.#fail('endpointLost', failure.detail)
  }

  #noteUnsent (): void {
    this.#unsent++
    this.#wasSent = this.#runs > 0
  }

  /** Whether one more run is allowed; takes it from the retry quota. */
  #mayRepeat (): boolean {
    const { route, service } = this.#input
    if (this.#runs >= route.maxAttempts || this.#remainingMs < minAttemptMs) return false
    return this.#state.quotaOf(service.name).tryTake(this.#state.clock.nowMs())
  }

  #retry (detail: string): void {
    this.#state.metrics.retries.inc({ service: this.#input.service.name })
    this.#state.log.event('requestRetried', { attemptId: this.#input.attributes.attemptId ?? '', detail, tried: [...this.#tried].join(' ') })
    this.#attempt()
  }

  #breakOff (detail: string): void {
    this.#exchange?.abort()
    this.#onFailure({ kind: 'unusable', detail })
  }

  #onDeadline (): void {
    if (this.#isDone) return
    this.#exchange?.abort()
    this.#state.noteHealth(this.#leavePeer(), 'failed')
    if (this.#wasSent) this.#verdict = mayHaveRun
    this.#fail('deadlineExceeded', 'the deadline passed before the answer was complete')
  }

  #abandon (): void {
    this.#exchange?.abort()
    this.#leavePeer()
    this.#finish('abandoned', 0)
  }

  #refuse (reason: FailureReason, detail: string, retryAfterMs?: number): void {
    this.#answerFailure('refused', { verdict: notRun, reason, detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
  }

  #fail (reason: FailureReason, detail: string): void {
    this.#answerFailure('failed', { verdict: this.#verdict, reason, detail })
  }

  #answerFailure (outcome: CallOutcome['outcome'], failure: Failure): void {
    if (this.#isDone) return
    this.#lastDetail = failure.detail
    if (this.#stream.isStarted) {
      this.#cut(failure)
      return
    }
    this.#finish(outcome, sendFailure(this.#input.response, failure, this.#state.closesConnections), failure.reason)
  }

  /** Closes the connection, so that an answer that breaks off does not look complete. */
  #cut (failure: Failure): void {
    this.#finish('failed', this.#input.response.statusCode, failure.reason)
    this.#stream.cut()
  }

  #finish (outcome: CallOutcome['outcome'], status: number, reason?: FailureReason): void {
    if (this.#isDone) return
    this.#isDone = true
    clearTimeout(this.#deadlineTimer)
    clearTimeout(this.#patienceTimer)
    this.#budget.settle(this.#wasSent, this.#boundary.count * (this.#input.service.engine?.tokensPerEvent ?? 1))
    this.#state.noteOutcome(this.#input, {
      outcome,
      status,
      reason,
      detail: this.#lastDetail,
      endpointIds: [...this.#tried],
      runs: this.#runs,
      events: this.#boundary.count,
      longestGapMs: this.#longestGapMs,
      firstByteMs: this.#firstByteMs === undefined ? undefined : this.#firstByteMs - this.#input.arrivedMs,
      place: this.#place
    })
  }
}
