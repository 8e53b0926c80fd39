/** One attempt for a caller: forwards or attaches, hedges, relays the answer and settles it. */
import type { Context, Span } from '@opentelemetry/api'
import type { Result } from 'ts-results-es'
import { mayHaveRun, notRun, ran, type Failure, type Verdict } from '@buckthorndrift/policy'
import { callHeader, type Call, type Member, type Settlement } from '@buckthorndrift/protocol'
import type { CallPlan } from '../../shared/callPlan.ts'
import type { ResponseSink } from './responseSink.ts'
import { Attempt, type AttemptEnd, type AttemptFailure, type AttemptRequest } from './attempt.ts'
import { headersForCaller } from './answerHeaders.ts'
import type { RunDeps } from './runDeps.ts'
import type { RunPlace, Settler } from './settler.ts'
import type { UpstreamHead } from './upstream.ts'

export type RelayEnd =
  | { readonly kind: 'answered', readonly status: number }
  | { readonly kind: 'gone' }
  | { readonly kind: 'refused', readonly failure: Failure }
  | { readonly kind: 'broken', readonly failure: Failure }
  /** `isDeath`: the endpoint or its back end died while it had the request. `settlement`: `undefined` when the cost is unknown. */
  | { readonly kind: 'failed', readonly failure: Failure, readonly isDeath: boolean, readonly settlement: Settlement | undefined }

type OpenHead = Result<UpstreamHead, AttemptFailure>

interface Opened {
  readonly attempt: Attempt
  readonly place: RunPlace
  readonly head: OpenHead
}

/** Share of the remaining time kept back, so that the endpoint's own "not run" arrives before the deadline. */
const deadlineMarginShare = 0.05
const maxDeadlineMarginMs = 50

export class Relay {
  readonly #deps: RunDeps
  readonly #plan: CallPlan
  readonly #answer: ResponseSink
  readonly #context: Context
  readonly #attemptNumber: number
  readonly #startedMs: number
  readonly #open = new Set<Attempt>()
  /** Without a key nobody can come back for the answer. */
  #isLeftWhenGone: boolean
  #isPastDeadline = false

  constructor (deps: RunDeps, plan: CallPlan, answer: ResponseSink, context: Context, attemptNumber: number) {
    this.#deps = deps
    this.#plan = plan
    this.#answer = answer
    this.#context = context
    this.#attemptNumber = attemptNumber
    this.#startedMs = deps.timers.monotonicMs()
    this.#isLeftWhenGone = plan.keyHash === undefined
  }

  /** Sends the request to the place; `hedgePlace` names another one for a hedge. */
  async forward (place: RunPlace, settler: Settler, hedgePlace: () => RunPlace | undefined): Promise<RelayEnd> {
    const opened = await this.#guard(() => this.#openHedged(place, settler, hedgePlace))
    if (opened.head.isErr()) return this.#failed(opened, opened.head.error, settler)
    const observed = { service: this.#plan.service.name, version: opened.place.version }
    this.#deps.metrics.timing('forward.headMs', this.#deps.timers.monotonicMs() - this.#startedMs, observed)
    const headMs = this.#deps.timers.monotonicMs() - this.#startedMs
    this.#deps.book.noteSuccess(opened.place.endpoint)
    const end = await this.#relayBody(opened.attempt, opened.head.value, opened.place.requestId)
    this.#observe(opened.place, opened.head.value.status, end, headMs)
    return this.#finish(opened, opened.head.value, end, settler)
  }

  /** Passes on the answer of a request that was sent before. */
  async attach (endpoint: Member, requestId: string): Promise<RelayEnd> {
    // The router that sent the request reads its answer to the end.
    this.#isLeftWhenGone = true
    const attempt = new Attempt(this.#deps.attempts, this.#requestFor(endpoint, requestId, {}))
    const head = await this.#guard(() => {
      this.#open.add(attempt)
      return attempt.attach()
    })
    if (head.isErr()) return this.#attachFailed(head.error)
    const end = await this.#relayBody(attempt, head.value, requestId)
    if (end.isErr()) return this.#answer.isDisconnected ? { kind: 'gone' } : { kind: 'broken', failure: end.error.failure }
    return this.#complete(head.value, end.value)
  }

  /** Aborts the open attempts at the deadline, or when the caller goes and nobody can come back for the answer. */
  async #guard<Value> (open: () => Promise<Value>): Promise<Value> {
    const remainingMs = Math.max(0, this.#plan.deadlineAtMs - this.#startedMs)
    const stopDeadline = this.#deps.timers.after(remainingMs, () => {
      this.#isPastDeadline = true
      this.#abortAll()
    })
    const stopGone = this.#isLeftWhenGone ? this.#answer.onDisconnect(() => { this.#abortAll() }) : () => {}
    try {
      return await open()
    } finally {
      stopDeadline()
      stopGone()
    }
  }

  #abortAll (): void {
    for (const attempt of this.#open) attempt.abort()
  }

  async #openHedged (place: RunPlace, settler: Settler, hedgePlace: () => RunPlace | undefined): Promise<Opened> {
    const first = this.#openAt(place, settler)
    const delayMs = this.#hedgeDelayMs()
    if (delayMs === undefined) return first
    const early = await this.#within(first, delayMs)
    if (early !== undefined) return early
    if (this.#answer.isDisconnected || this.#isPastDeadline || !this.#deps.retries.tryTake(this.#plan.service.name)) return first
    const secondPlace = hedgePlace()
    if (secondPlace === undefined) return first
    this.#deps.metrics.increment('forward.hedges', 1, { service: this.#plan.service.name })
    const second = this.#openAt(secondPlace, settler)
    const fastest = await Promise.race([first, second])
    const winner = fastest.head.isOk() ? fastest : await (fastest.place === place ? second : first)
    for (const attempt of this.#open) if (attempt !== winner.attempt) attempt.abort()
    return winner
  }

  /** A keyed call runs at the endpoint that its claim names, so only calls without a key are hedged. */
  #hedgeDelayMs (): number | undefined {
    const { service, route, idempotent, keyHash } = this.#plan
    if (service.kind !== 'plain' || !idempotent || keyHash !== undefined) return undefined
    return this.#deps.retries.hedgeDelayMs(service.name, route)
  }

  async #within<Value> (promise: Promise<Value>, limitMs: number): Promise<Value | undefined> {
    let stop: () => void = () => {}
    const timeout = new Promise<undefined>(resolve => { stop = this.#deps.timers.after(limitMs, () => { resolve(undefined) }) })
    const value = await Promise.race([promise, timeout])
    stop()
    return value
  }

  async #openAt (place: RunPlace, settler: Settler): Promise<Opened> {
    const { book, crashes, metrics, tracing } = this.#deps
    const span = tracing.tracer.startSpan('forward', {
      attributes: { endpoint: place.endpoint.id, version: place.version, attempt: this.#attemptNumber, requestId: place.requestId }
    }, this.#context)
    metrics.increment('forward.attempts', 1, { service: this.#plan.service.name, version: place.version })
    const attempt = new Attempt(this.#deps.attempts, this.#requestFor(place.endpoint, place.requestId, this.#headersFor(place, settler, span)))
    this.#open.add(attempt)
    const endOwn = book.begin(place.endpoint)
    const endRunning = crashes.begin(place.endpoint, place.requestId, this.#plan.contentHash)
    attempt.onClosed = () => { endOwn(); endRunning(); span.end() }
    const head = await attempt.open()
    span.setAttribute('outcome', head.isOk() ? String(head.value.status) : head.error.failure.reason)
    if (head.isErr()) attempt.close()
    return { attempt, place, head }
  }

  #requestFor (endpoint: Member, requestId: string, headers: Readonly<Record<string, string>>): AttemptRequest {
    const { method, path, body, idempotent } = this.#plan
    return { endpoint, requestId, method, path, headers, body, idempotent }
  }

  #headersFor (place: RunPlace, settler: Settler, span: Span): Readonly<Record<string, string>> {
    const plan = this.#plan
    const deps = this.#deps
    const held = settler.held
    if (held === undefined) throw new Error('a request is forwarded without a reservation')
    const remainingMs = Math.max(0, plan.deadlineAtMs - deps.timers.monotonicMs())
    const call: Call = {
      requestId: place.requestId,
      organisation: plan.organisation,
      budget: plan.budget,
      service: plan.service.name,
      version: place.version,
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
      authorization: `Bearer ${deps.attempts.fleetSecret}`
    }
  }

  async #relayBody (attempt: Attempt, head: UpstreamHead, requestId: string): Promise<AttemptEnd> {
    this.#answer.writeHead(head.status, headersForCaller(head.headers, requestId))
    this.#answer.onDrain(() => { attempt.resume() })
    const stopGone = this.#isLeftWhenGone ? this.#answer.onDisconnect(() => { attempt.abort() }) : () => {}
    if (this.#answer.isDisconnected && this.#isLeftWhenGone) attempt.abort()
    const end = await attempt.read(chunk => this.#answer.write(chunk))
    stopGone()
    attempt.close()
    return end
  }

  #finish (opened: Opened, head: UpstreamHead, end: AttemptEnd, settler: Settler): RelayEnd {
    const { attempt, place } = opened
    if (end.isOk()) {
      settler.finish(place, end.value, 'completed')
      return this.#complete(head, end.value)
    }
    if (end.error.isAborted) {
      this.#chase(attempt, place, settler)
      return { kind: 'gone' }
    }
    settler.finish(place, end.error.settlement, 'lost')
    return this.#answer.isDisconnected ? { kind: 'gone' } : { kind: 'broken', failure: { ...end.error.failure, verdict: ran } }
  }

  /** An answer that the back end broke off must not look complete. */
  #complete (head: UpstreamHead, settlement: Settlement | undefined): RelayEnd {
    if (settlement !== undefined && settlement.outcome !== 'completed') {
      return { kind: 'broken', failure: { verdict: ran, reason: 'backEndFailed', detail: 'the back end did not finish its answer' } }
    }
    if (head.status < 500) this.#deps.crashes.complete(this.#plan.contentHash)
    this.#answer.end()
    return this.#answer.isDisconnected ? { kind: 'gone' } : { kind: 'answered', status: head.status }
  }

  #failed (opened: Opened, error: AttemptFailure, settler: Settler): RelayEnd {
    const { attempt, place } = opened
    if (error.isAborted) return this.#givenUp(attempt, place, settler)
    const { failure } = error
    if (failure.reason === 'endpointFull') this.#deps.book.noteFull(place.endpoint)
    if (failure.reason === 'endpointLeaving') this.#deps.book.noteLeaving(place.endpoint)
    if (failure.reason === 'backEndFailed' || failure.reason === 'endpointLost') this.#deps.book.noteFailure(place.endpoint)
    if (failure.reason === 'backEndFailed' && failure.verdict.kind !== 'notRun') {
      this.#observeFailure(place)
      this.#deps.crashes.noteFailure(this.#plan.contentHash)
    }
    const isDeath = failure.verdict.kind !== 'notRun' && (failure.reason === 'backEndFailed' || error.isGone)
    return { kind: 'failed', failure, isDeath, settlement: error.settlement }
  }

  #attachFailed (error: AttemptFailure): RelayEnd {
    if (!error.isAborted) return { kind: 'failed', failure: error.failure, isDeath: false, settlement: error.settlement }
    return this.#answer.isDisconnected ? { kind: 'gone' } : { kind: 'refused', failure: pastDeadline(mayHaveRun) }
  }

  /** The caller gets its final answer at once; what the request cost is learned afterwards. */
  #givenUp (attempt: Attempt, place: RunPlace, settler: Settler): RelayEnd {
    if (attempt.wasSent) this.#chase(attempt, place, settler)
    else settler.release()
    if (this.#answer.isDisconnected) return { kind: 'gone' }
    return { kind: 'refused', failure: pastDeadline(attempt.wasSent ? mayHaveRun : notRun) }
  }

  #chase (attempt: Attempt, place: RunPlace, settler: Settler): void {
    this.#deps.chaser.start({
      request: this.#requestFor(place.endpoint, place.requestId, {}),
      offsetBytes: attempt.offsetBytes,
      place,
      settler,
      canAbandon: this.#plan.keyHash === undefined
    })
  }

  #observe (place: RunPlace, status: number, end: AttemptEnd, headMs: number): void {
    if (end.isErr() && end.error.isAborted) return
    const { service, route } = this.#plan
    const totalMs = this.#deps.timers.monotonicMs() - this.#startedMs
    const isSuccess = end.isOk() && status < 500 && (end.value?.outcome ?? 'completed') === 'completed'
    this.#deps.versions.recordOutcome(service.name, place.version, route, isSuccess, service.kind === 'model' ? headMs : totalMs)
    if (isSuccess && service.kind === 'plain' && this.#plan.idempotent) this.#deps.retries.observe(service.name, route, headMs)
  }

  #observeFailure (place: RunPlace): void {
    const { service, route } = this.#plan
    this.#deps.versions.recordOutcome(service.name, place.version, route, false, this.#deps.timers.monotonicMs() - this.#startedMs)
  }
}

function pastDeadline (verdict: Verdict): Failure {
  return { verdict, reason: 'deadlineExceeded', detail: 'the deadline passed before an answer began' }
}
