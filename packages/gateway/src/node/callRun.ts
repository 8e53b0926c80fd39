/** Runs one call of a caller: places it, sends it, repeats it where that is safe, and passes the answer on. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { mayHaveRun, notRun, type Failure, type FailureReason, type Verdict } from '@buckthorndrift/policy'
import type { CallAttributes } from '../shared/call.ts'
import { EventBoundary } from '../shared/eventBoundary.ts'
import type { Organisation, Route, Service } from '../shared/fleet.ts'
import type { Reservation } from './budgetLedger.ts'
import { sendFailure } from './callerAnswer.ts'
import type { EndpointPeer } from './endpointPeers.ts'
import { Exchange, type AnswerHead, type ExchangeFailure } from './exchange.ts'
import type { GatewayState } from './gatewayState.ts'

export interface CallInput {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly attributes: CallAttributes
  readonly body: Buffer | undefined
  readonly route: Route
  readonly service: Service
  readonly organisation: Organisation | undefined
  readonly configurationVersion: number
  readonly arrivedMs: number
  /** End of the caller's patience or of the route's timeout, whichever is first. */
  readonly deadlineAtMs: number
}

/** Largest answer that is held back until it is complete, so that a broken one can be repeated. */
const maxHeldBytes = 64 * 1024
/** Time that a further attempt needs at least. */
const minAttemptMs = 15
/** Margin below the time that is left, for the way of the answer. */
const answerMarginMs = 5
/** Attempts that end before anything is sent, or are rejected unread, are limited as well. */
const maxUnsentAttempts = 3

type Outcome = 'finished' | 'failed' | 'refused' | 'abandoned'

export class CallRun {
  readonly #state: GatewayState
  readonly #input: CallInput
  readonly #tried = new Set<string>()
  readonly #boundary = new EventBoundary()
  #exchange: Exchange | undefined
  #peer: EndpointPeer | undefined
  #reservation: Extract<Reservation, { kind: 'reserved' }> | undefined
  #deadlineTimer: NodeJS.Timeout | undefined
  #verdict: Verdict = notRun
  /** Endpoints that may have begun to run the call. */
  #runs = 0
  #unsent = 0
  /** Whether an attempt was sent whose endpoint did not say that it was not run. */
  #wasSent = false
  #sentMs = 0
  #estimateMs = 0
  #firstByteMs: number | undefined
  #pendingTokens = 0
  #held: Buffer[] = []
  #heldBytes = 0
  #isDone = false
  #lastDetail = ''

  constructor (state: GatewayState, input: CallInput) {
    this.#state = state
    this.#input = input
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

  get #isRepeatable (): boolean {
    const { route } = this.#input
    return route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable)
  }

  get #remainingMs (): number {
    return this.#input.deadlineAtMs - this.#state.clock.nowMs()
  }

  async #reserveBudget (): Promise<boolean> {
    const { organisation, attributes, route } = this.#input
    const { generation } = attributes
    if (organisation === undefined || generation === undefined || !this.#state.ledger.hasBudget(organisation.name)) return true
    const tokens = generation.promptTokens + generation.maxOutputTokens
    const reservation = await this.#state.ledger.reserve(organisation.name, tokens, Math.min(route.objectiveMs / 2, this.#remainingMs / 2))
    switch (reservation.kind) {
      case 'reserved':
        this.#reservation = reservation
        if (this.#isDone) reservation.settle(0)
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
    this.#send(place.peer, place.estimateMs, place.uncachedTokens)
  }

  #send (peer: EndpointPeer, estimateMs: number, uncachedTokens: number): void {
    const { request, attributes, body, organisation, service, route } = this.#input
    this.#peer = peer
    this.#head = undefined
    this.#boundary.discardPartial()
    this.#tried.add(peer.entry.id)
    this.#sentMs = this.#state.clock.nowMs()
    this.#estimateMs = estimateMs
    this.#pendingTokens = uncachedTokens
    this.#firstByteMs = undefined
    peer.running++
    peer.pendingTokens += uncachedTokens
    peer.heldTokens += this.#heldTokens
    const resumeAfter = this.#boundary.lastId ?? attributes.resumeAfter
    const headers = this.#state.dialect.forwardHeaders(request.rawHeaders, {
      remainingMs: Math.max(1, Math.floor(this.#remainingMs - answerMarginMs)),
      endpointId: peer.entry.id,
      organisation: organisation?.name,
      urgency: service.engine === undefined ? undefined : this.#state.urgencyOf(route, organisation),
      resumeAfter
    })
    this.#wasSent = true
    this.#state.metrics.attempts.inc({ service: service.name })
    this.#exchange = new Exchange(peer.connections, this.#state.dialect, {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers,
      body,
      attemptId: attributes.attemptId
    }, {
      onHead: head => { this.#onHead(head) },
      onData: chunk => { this.#onData(chunk) },
      onEnd: () => { this.#onEnd() },
      onFailure: failure => { this.#onFailure(failure) }
    })
  }

  get #heldTokens (): number {
    const { generation } = this.#input.attributes
    return generation === undefined ? 0 : generation.promptTokens + generation.maxOutputTokens / 2
  }

  /** Ends the accounting of the present attempt. */
  #leavePeer (): EndpointPeer | undefined {
    const peer = this.#peer
    if (peer === undefined) return undefined
    peer.running--
    peer.heldTokens -= this.#heldTokens
    peer.pendingTokens -= this.#pendingTokens
    this.#pendingTokens = 0
    this.#peer = undefined
    this.#exchange = undefined
    return peer
  }

  #head: AnswerHead | undefined

  #onHead (head: AnswerHead): void {
    this.#head = head
    const { status, attributes } = head
    if (attributes.isNotExecuted || status === 421) {
      this.#exchange?.abort()
      this.#onRejected(status)
      return
    }
    this.#runs++
    this.#verdict = mayHaveRun
    const isSuccess = status >= 200 && status < 300
    if (isSuccess && (!attributes.isSigned || attributes.isEncoded || attributes.attemptId === undefined)) {
      this.#breakOff('the answer is not signed by the endpoint')
      return
    }
    // A status that promises that nothing ran is not passed on for a call that did run.
    if ([408, 421, 429, 503].includes(status)) this.#breakOff(`the endpoint answered ${status}`)
  }

  #onData (chunk: Buffer): void {
    if (this.#isDone || this.#head === undefined) return
    if (this.#firstByteMs === undefined) this.#onFirstByte()
    if (this.#isStream && this.#head.status === 200) {
      this.#passEvents(chunk)
      return
    }
    if (this.#input.response.headersSent) {
      this.#write(chunk)
      return
    }
    this.#held.push(chunk)
    this.#heldBytes += chunk.length
    if (this.#heldBytes > maxHeldBytes) this.#releaseHeld()
  }

  #onFirstByte (): void {
    const nowMs = this.#state.clock.nowMs()
    this.#firstByteMs = nowMs
    const peer = this.#peer
    if (peer === undefined) return
    peer.pendingTokens -= this.#pendingTokens
    this.#pendingTokens = 0
    if (!this.#isStream) return
    peer.noteExcessMs(nowMs - this.#sentMs - this.#estimateMs, nowMs)
    const { generation } = this.#input.attributes
    if (generation !== undefined) peer.prefixes.note(generation.prompt, nowMs)
  }

  #passEvents (chunk: Buffer): void {
    const { bytes, count } = this.#boundary.push(chunk)
    if (count === 0) return
    this.#writeHead()
    this.#write(bytes)
  }

  #writeHead (): void {
    const { response } = this.#input
    const head = this.#head
    if (response.headersSent || head === undefined) return
    const headers = this.#state.dialect.answerHeaders(head.rawHeaders)
    const isFramed = head.attributes.isChunked || head.attributes.contentLengthBytes !== undefined
    // An answer without a length ends with its connection here as well: whether it is complete is not known.
    if (!isFramed) response.removeHeader('Transfer-Encoding')
    if (this.#state.isStopping || !isFramed) headers.push('Connection', 'close')
    response.writeHead(head.status, headers)
  }

  #write (bytes: Buffer): void {
    const { response } = this.#input
    if (response.write(bytes)) return
    const exchange = this.#exchange
    exchange?.pause()
    response.once('drain', () => { exchange?.resume() })
  }

  #releaseHeld (): void {
    this.#writeHead()
    for (const chunk of this.#held.splice(0)) this.#write(chunk)
  }

  #onEnd (): void {
    if (this.#isDone || this.#head === undefined) return
    const { status } = this.#head
    if (this.#isStream && status === 200 && (this.#boundary.pendingBytes > 0 || this.#boundary.count === 0)) {
      this.#onFailure({ kind: 'broken', detail: 'the stream ended within an event' })
      return
    }
    const isServerError = status >= 500
    const peer = this.#leavePeer()
    const nowMs = this.#state.clock.nowMs()
    peer?.health.note(isServerError, nowMs)
    if (!this.#isStream) peer?.noteAnswerMs(nowMs - this.#sentMs)
    if (isServerError && this.#isRepeatable && !this.#input.response.headersSent && this.#mayRepeat()) {
      this.#held = []
      this.#heldBytes = 0
      this.#retry(`the endpoint answered ${status}`)
      return
    }
    this.#writeHead()
    for (const chunk of this.#held.splice(0)) this.#input.response.write(chunk)
    this.#finish(status < 400 ? 'finished' : 'failed', status)
    this.#input.response.end()
  }

  #onRejected (status: number): void {
    const peer = this.#leavePeer()
    const nowMs = this.#state.clock.nowMs()
    if (status === 421) peer?.health.noteDown(nowMs)
    this.#lastDetail = `the endpoint rejected the request with ${status}`
    this.#noteUnsent()
    if (this.#unsent < maxUnsentAttempts && this.#remainingMs > minAttemptMs && this.#state.quotaOf(this.#input.service.name).tryTake(nowMs)) {
      this.#retry(this.#lastDetail)
      return
    }
    if (this.#input.response.headersSent) this.#cut(this.#lastDetail)
    else if (this.#verdict === notRun) this.#refuse('endpointFull', 'the endpoints have no place for the request', this.#state.retryAfterMs())
    else this.#fail('backEndFailed', this.#lastDetail)
  }

  #onFailure (failure: ExchangeFailure): void {
    if (this.#isDone) return
    const peer = this.#leavePeer()
    const nowMs = this.#state.clock.nowMs()
    this.#lastDetail = failure.detail
    this.#held = []
    this.#heldBytes = 0
    if (failure.kind === 'notConnected') {
      peer?.health.noteDown(nowMs)
      this.#noteUnsent()
      if (this.#unsent < maxUnsentAttempts && this.#remainingMs > minAttemptMs) {
        this.#retry(failure.detail)
        return
      }
      if (this.#input.response.headersSent) this.#cut(failure.detail)
      else if (this.#verdict === notRun) this.#refuse('noEndpoint', 'no endpoint could be reached', this.#state.retryAfterMs())
      else this.#fail('endpointLost', failure.detail)
      return
    }
    peer?.health.note(true, nowMs)
    if (this.#head === undefined) this.#runs++
    this.#head = undefined
    this.#verdict = mayHaveRun
    if (this.#isRepeatable && this.#mayRepeat()) {
      this.#retry(failure.detail)
      return
    }
    if (this.#input.response.headersSent) this.#cut(failure.detail)
    else this.#fail('endpointLost', failure.detail)
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
    this.#state.log.event('requestRetried', { attemptId: this.#input.attributes.attemptId ?? '', detail, tried: [...this.#tried].join(' ') })
    this.#attempt()
  }

  #breakOff (detail: string): void {
    this.#exchange?.abort()
    this.#onFailure({ kind: 'broken', detail })
  }

  #onDeadline (): void {
    if (this.#isDone) return
    this.#exchange?.abort()
    this.#peer?.health.note(true, this.#state.clock.nowMs())
    this.#leavePeer()
    if (this.#wasSent) this.#verdict = mayHaveRun
    if (this.#input.response.headersSent) this.#cut('the deadline passed')
    else this.#fail('deadlineExceeded', 'the deadline passed before the answer was complete')
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

  #answerFailure (outcome: Outcome, failure: Failure): void {
    this.#lastDetail = failure.detail
    if (this.#isDone) return
    const { response } = this.#input
    const status = sendFailure(response, failure, this.#state.isStopping)
    this.#finish(outcome, status, failure.reason)
  }

  /** Closes the connection, so that an answer that breaks off does not look complete. */
  #cut (detail: string): void {
    this.#lastDetail = detail
    this.#finish('failed', this.#head?.status ?? 0)
    this.#input.response.destroy()
  }

  #finish (outcome: Outcome, status: number, reason?: FailureReason): void {
    if (this.#isDone) return
    this.#isDone = true
    clearTimeout(this.#deadlineTimer)
    this.#settleBudget()
    this.#state.noteOutcome(this.#input, {
      outcome, status, reason, detail: this.#lastDetail, endpointIds: [...this.#tried], runs: this.#runs, events: this.#boundary.count,
      firstByteMs: this.#firstByteMs === undefined ? undefined : this.#firstByteMs - this.#input.arrivedMs,
      estimateMs: this.#estimateMs
    })
  }

  #settleBudget (): void {
    const { attributes, service } = this.#input
    if (this.#reservation === undefined || attributes.generation === undefined) return
    const deliveredTokens = Math.min(attributes.generation.maxOutputTokens, this.#boundary.count * (service.engine?.tokensPerEvent ?? 1))
    this.#reservation.settle(this.#wasSent ? attributes.generation.promptTokens + deliveredTokens : 0)
  }
}
