/** Relays one attempt: forwards the request or attaches to its response, hedges it, passes the response on to the caller and settles the cost. */
import type { Context, Span } from '@opentelemetry/api'
import type { Result } from 'ts-results-es'
import { mayHaveRun, notRun, ran, type Failure, type Verdict } from '@buckthorndrift/policy'
import { callHeader, type Call, type Member, type Settlement } from '@buckthorndrift/protocol'
import type { CallPlan } from '../../shared/callPlan.ts'
import type { ResponseSink } from './responseSink.ts'
import { Attempt, type AttemptResult, type AttemptFailure, type AttemptRequest } from './attempt.ts'
import { headersForCaller } from './responseHeaders.ts'
import type { RunDeps } from './runDeps.ts'
import type { Placement, Settler } from './settler.ts'
import type { UpstreamHead } from './upstreamExchange.ts'

/** Result of one attempt. `failed`: nothing was passed on to the caller, and another attempt may succeed. The other kinds mean the same as in `RunResult`. */
export type RelayResult =
  | { readonly kind: 'answered', readonly status: number }
  | { readonly kind: 'gone' }
  | { readonly kind: 'refused', readonly failure: Failure }
  | { readonly kind: 'broken', readonly failure: Failure }
  /** `isCrash`: the endpoint process died or its back end failed while it had the request. `settlement`: `undefined` when the cost is unknown. */
  | { readonly kind: 'failed', readonly failure: Failure, readonly isCrash: boolean, readonly settlement: Settlement | undefined }

type HeadResult = Result<UpstreamHead, AttemptFailure>

interface OpenedAttempt {
  readonly attempt: Attempt
  readonly placement: Placement
  readonly head: HeadResult
}

/** Share of the remaining time by which the endpoint's deadline is earlier, so that its "not run" response arrives before the caller's deadline. */
const deadlineMarginShare = 0.05
const maxDeadlineMarginMs = 50

export class Relay {
  readonly #deps: RunDeps
  readonly #plan: CallPlan
  readonly #response: ResponseSink
  readonly #context: Context
  readonly #attemptNumber: number
  readonly #startedMs: number
  readonly #openAttempts = new Set<Attempt>()
  /** Whether the attempt is aborted when the caller disconnects. True without an idempotency key, because the caller then cannot ask for the response again. */
  #isAbortedOnDisconnect: boolean
  #isPastDeadline = false

  constructor (deps: RunDeps, plan: CallPlan, response: ResponseSink, context: Context, attemptNumber: number) {
    this.#deps = deps
    this.#plan = plan
    this.#response = response
    this.#context = context
    this.#attemptNumber = attemptNumber
    this.#startedMs = deps.timers.monotonicMs()
    this.#isAbortedOnDisconnect = plan.keyHash === undefined
  }

  /** Sends the request to the endpoint of `placement`; `chooseHedgePlacement` chooses another endpoint for a hedge. */
  async forward (placement: Placement, settler: Settler, chooseHedgePlacement: () => Placement | undefined): Promise<RelayResult> {
    const opened = await this.#abortOnDeadlineOrDisconnect(() => this.#openHedged(placement, settler, chooseHedgePlacement))
    if (opened.head.isErr()) return this.#handleFailure(opened, opened.head.error, settler)
    const tags = { service: this.#plan.service.name, version: opened.placement.version }
    this.#deps.metrics.timing('forward.headMs', this.#deps.timers.monotonicMs() - this.#startedMs, tags)
    const headMs = this.#deps.timers.monotonicMs() - this.#startedMs
    this.#deps.endpointSelector.recordSuccess(opened.placement.endpoint)
    const result = await this.#relayBody(opened.attempt, opened.head.value, opened.placement.requestId)
    this.#reportOutcome(opened.placement, opened.head.value.status, result, headMs)
    return this.#settle(opened, opened.head.value, result, settler)
  }

  /** Passes on the response of a request that was sent before. */
  async attach (endpoint: Member, requestId: string): Promise<RelayResult> {
    // Aborting this attempt does not cancel the request: the router that sent it reads the response to the end.
    this.#isAbortedOnDisconnect = true
    const attempt = new Attempt(this.#deps.attemptDeps, this.#requestFor(endpoint, requestId, {}))
    const head = await this.#abortOnDeadlineOrDisconnect(() => {
      this.#openAttempts.add(attempt)
      return attempt.attach()
    })
    if (head.isErr()) return this.#handleAttachFailure(head.error)
    const result = await this.#relayBody(attempt, head.value, requestId)
    if (result.isErr()) return this.#response.isDisconnected ? { kind: 'gone' } : { kind: 'broken', failure: result.error.failure }
    return this.#completeResponse(head.value, result.value)
  }

  /** Aborts the open attempts when the deadline passes, or when the caller disconnects and has no idempotency key to ask for the response again. */
  async #abortOnDeadlineOrDisconnect<Value> (open: () => Promise<Value>): Promise<Value> {
    const remainingMs = Math.max(0, this.#plan.deadlineAtMs - this.#startedMs)
    const cancelDeadline = this.#deps.timers.after(remainingMs, () => {
      this.#isPastDeadline = true
      this.#abortAll()
    })
    const removeDisconnectListener = this.#isAbortedOnDisconnect ? this.#response.onDisconnect(() => { this.#abortAll() }) : () => {}
    try {
      return await open()
    } finally {
      cancelDeadline()
      removeDisconnectListener()
    }
  }

  #abortAll (): void {
    for (const attempt of this.#openAttempts) attempt.abort()
  }

  async #openHedged (placement: Placement, settler: Settler, chooseHedgePlacement: () => Placement | undefined): Promise<OpenedAttempt> {
    const first = this.#openAttempt(placement, settler)
    const delayMs = this.#hedgeDelayMs()
    if (delayMs === undefined) return first
    const early = await this.#withTimeout(first, delayMs)
    if (early !== undefined) return early
    if (this.#response.isDisconnected || this.#isPastDeadline || !this.#deps.retryTracker.tryTake(this.#plan.service.name)) return first
    const secondPlacement = chooseHedgePlacement()
    if (secondPlacement === undefined) return first
    this.#deps.metrics.increment('forward.hedges', 1, { service: this.#plan.service.name })
    const second = this.#openAttempt(secondPlacement, settler)
    const fastest = await Promise.race([first, second])
    const winner = fastest.head.isOk() ? fastest : await (fastest.placement === placement ? second : first)
    for (const attempt of this.#openAttempts) if (attempt !== winner.attempt) attempt.abort()
    return winner
  }

  /** Calls with an idempotency key are not hedged, because they must run at the endpoint that their claim names. */
  #hedgeDelayMs (): number | undefined {
    const { service, route, idempotent, keyHash } = this.#plan
    if (service.kind !== 'plain' || !idempotent || keyHash !== undefined) return undefined
    return this.#deps.retryTracker.hedgeDelayMs(service.name, route)
  }

  /** Resolves with `undefined` when `promise` takes longer than `limitMs`. */
  async #withTimeout<Value> (promise: Promise<Value>, limitMs: number): Promise<Value | undefined> {
    let stop: () => void = () => {}
    const timeout = new Promise<undefined>(resolve => { stop = this.#deps.timers.after(limitMs, () => { resolve(undefined) }) })
    const value = await Promise.race([promise, timeout])
    stop()
    return value
  }

  async #openAttempt (placement: Placement, settler: Settler): Promise<OpenedAttempt> {
    const { endpointSelector, crashTracker, metrics, tracing } = this.#deps
    const span = tracing.tracer.startSpan('forward', {
      attributes: { endpoint: placement.endpoint.id, version: placement.version, attempt: this.#attemptNumber, requestId: placement.requestId }
    }, this.#context)
    metrics.increment('forward.attempts', 1, { service: this.#plan.service.name, version: placement.version })
    const attempt = new Attempt(this.#deps.attemptDeps, this.#requestFor(placement.endpoint, placement.requestId, this.#headersFor(placement, settler, span)))
    this.#openAttempts.add(attempt)
    const stopLoadTracking = endpointSelector.trackRequest(placement.endpoint)
    const stopCrashTracking = crashTracker.trackRequest(placement.endpoint, placement.requestId, this.#plan.contentHash)
    attempt.onClosed = () => { stopLoadTracking(); stopCrashTracking(); span.end() }
    const head = await attempt.open()
    span.setAttribute('outcome', head.isOk() ? String(head.value.status) : head.error.failure.reason)
    if (head.isErr()) attempt.close()
    return { attempt, placement, head }
  }

  #requestFor (endpoint: Member, requestId: string, headers: Readonly<Record<string, string>>): AttemptRequest {
    const { method, path, body, idempotent } = this.#plan
    return { endpoint, requestId, method, path, headers, body, idempotent }
  }

  #headersFor (placement: Placement, settler: Settler, span: Span): Readonly<Record<string, string>> {
    const plan = this.#plan
    const deps = this.#deps
    const held = settler.held
    if (held === undefined) throw new Error('cannot forward a request without a reservation')
    const remainingMs = Math.max(0, plan.deadlineAtMs - deps.timers.monotonicMs())
    const call: Call = {
      requestId: placement.requestId,
      organisation: plan.organisation,
      budget: plan.budget,
      service: plan.service.name,
      version: placement.version,
      route: plan.route,
      ...(plan.keyHash === undefined ? {} : { keyHash: plan.keyHash }),
      idempotent: plan.idempotent,
      priority: plan.priority,
      deadlineMs: remainingMs - Math.min(maxDeadlineMarginMs, remainingMs * deadlineMarginShare),
      reservation: held.reservation,
      ...(plan.priceTokens === undefined ? {} : { priceTokens: plan.priceTokens }),
      settledSeq: held.settledSeq,
      contentHash: plan.contentHash,
      routerUrl: deps.routerUrl()
    }
    return {
      ...plan.headers,
      ...deps.tracing.inject(span),
      [callHeader]: JSON.stringify(call),
      authorization: `Bearer ${deps.attemptDeps.fleetSecret}`
    }
  }

  async #relayBody (attempt: Attempt, head: UpstreamHead, requestId: string): Promise<AttemptResult> {
    this.#response.writeHead(head.status, headersForCaller(head.headers, requestId))
    this.#response.onDrain(() => { attempt.resume() })
    const removeDisconnectListener = this.#isAbortedOnDisconnect ? this.#response.onDisconnect(() => { attempt.abort() }) : () => {}
    if (this.#response.isDisconnected && this.#isAbortedOnDisconnect) attempt.abort()
    const result = await attempt.read(chunk => this.#response.write(chunk))
    removeDisconnectListener()
    attempt.close()
    return result
  }

  #settle (opened: OpenedAttempt, head: UpstreamHead, result: AttemptResult, settler: Settler): RelayResult {
    const { attempt, placement } = opened
    if (result.isOk()) {
      settler.settle(placement, result.value, 'completed')
      return this.#completeResponse(head, result.value)
    }
    if (result.error.isAborted) {
      this.#settleLater(attempt, placement, settler)
      return { kind: 'gone' }
    }
    settler.settle(placement, result.error.settlement, 'lost')
    return this.#response.isDisconnected ? { kind: 'gone' } : { kind: 'broken', failure: { ...result.error.failure, verdict: ran } }
  }

  /** Ends the response, except when the back end broke it off: such a response must not look complete. */
  #completeResponse (head: UpstreamHead, settlement: Settlement | undefined): RelayResult {
    if (settlement !== undefined && settlement.outcome !== 'completed') {
      return { kind: 'broken', failure: { verdict: ran, reason: 'backEndFailed', detail: 'the back end did not finish its answer' } }
    }
    if (head.status < 500) this.#deps.crashTracker.recordCompletion(this.#plan.contentHash)
    this.#response.end()
    return this.#response.isDisconnected ? { kind: 'gone' } : { kind: 'answered', status: head.status }
  }

  #handleFailure (opened: OpenedAttempt, error: AttemptFailure, settler: Settler): RelayResult {
    const { attempt, placement } = opened
    if (error.isAborted) return this.#handleAbort(attempt, placement, settler)
    const { failure } = error
    if (failure.reason === 'endpointFull') this.#deps.endpointSelector.recordFull(placement.endpoint)
    if (failure.reason === 'endpointLeaving') this.#deps.endpointSelector.recordLeaving(placement.endpoint)
    if (failure.reason === 'backEndFailed' || failure.reason === 'endpointLost') this.#deps.endpointSelector.recordFailure(placement.endpoint)
    if (failure.reason === 'backEndFailed' && failure.verdict.kind !== 'notRun') {
      this.#reportFailure(placement)
      this.#deps.crashTracker.expectReport(this.#plan.contentHash)
    }
    const isCrash = failure.verdict.kind !== 'notRun' && (failure.reason === 'backEndFailed' || error.isEndpointDead)
    return { kind: 'failed', failure, isCrash, settlement: error.settlement }
  }

  #handleAttachFailure (error: AttemptFailure): RelayResult {
    if (!error.isAborted) return { kind: 'failed', failure: error.failure, isCrash: false, settlement: error.settlement }
    return this.#response.isDisconnected ? { kind: 'gone' } : { kind: 'refused', failure: deadlineExceeded(mayHaveRun) }
  }

  /** Handles an attempt that was aborted at the deadline or after a disconnect. Its cost is settled in the background, so that the result does not wait for it. */
  #handleAbort (attempt: Attempt, placement: Placement, settler: Settler): RelayResult {
    if (attempt.wasSent) this.#settleLater(attempt, placement, settler)
    else settler.release()
    if (this.#response.isDisconnected) return { kind: 'gone' }
    return { kind: 'refused', failure: deadlineExceeded(attempt.wasSent ? mayHaveRun : notRun) }
  }

  #settleLater (attempt: Attempt, placement: Placement, settler: Settler): void {
    this.#deps.deferredSettler.start({
      request: this.#requestFor(placement.endpoint, placement.requestId, {}),
      offsetBytes: attempt.offsetBytes,
      placement,
      settler,
      canAbandon: this.#plan.keyHash === undefined
    })
  }

  #reportOutcome (placement: Placement, status: number, result: AttemptResult, headMs: number): void {
    if (result.isErr() && result.error.isAborted) return
    const { service, route } = this.#plan
    const totalMs = this.#deps.timers.monotonicMs() - this.#startedMs
    const isSuccess = result.isOk() && status < 500 && (result.value?.outcome ?? 'completed') === 'completed'
    this.#deps.versions.recordOutcome(service.name, placement.version, route, isSuccess, service.kind === 'model' ? headMs : totalMs)
    if (isSuccess && service.kind === 'plain' && this.#plan.idempotent) this.#deps.retryTracker.recordHeadLatency(service.name, route, headMs)
  }

  #reportFailure (placement: Placement): void {
    const { service, route } = this.#plan
    this.#deps.versions.recordOutcome(service.name, placement.version, route, false, this.#deps.timers.monotonicMs() - this.#startedMs)
  }
}

function deadlineExceeded (verdict: Verdict): Failure {
  return { verdict, reason: 'deadlineExceeded', detail: 'the deadline passed before an answer began' }
}
