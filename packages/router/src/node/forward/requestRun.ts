/** The run of one caller request: claim, reservation, attempts, retries, answer. */
import type { Context, Span } from '@opentelemetry/api'
import { Ok, type Result } from 'ts-results-es'
import { contextWithSpan } from '@buckthorndrift/kernel'
import { combineVerdicts, decideRetry, mayHaveRun, notRun, type Failure, type FailureReason, type Verdict } from '@buckthorndrift/policy'
import type { Claim, Member } from '@buckthorndrift/protocol'
import type { CallPlan } from '../../shared/callPlan.ts'
import { entryKey } from './endpointBook.ts'
import { Relay, type RelayEnd } from './relay.ts'
import type { ResponseSink } from './responseSink.ts'
import type { RunDeps } from './runDeps.ts'
import { Settler, type RunPlace } from './settler.ts'

/**
 * How a caller request ended. `refused`: the caller has seen nothing yet.
 * `broken`: a part of the answer was passed on. `gone`: the caller left first.
 */
export type RunEnd =
  | { readonly kind: 'answered', readonly status: number }
  | { readonly kind: 'gone' }
  | { readonly kind: 'refused', readonly failure: Failure }
  | { readonly kind: 'broken', readonly failure: Failure }

/** `failed`: this attempt did not work out; another one may. */
type StepEnd = RunEnd | { readonly kind: 'failed', readonly failure: Failure }

/** Retries of these put no load on a back end, so they need no retry budget. */
const freeReasons: ReadonlySet<FailureReason> = new Set(['noEndpoint', 'endpointLeaving', 'claimUnavailable', 'sliceFenced'])
/** Deaths under one request after which it is not sent to another endpoint. */
const deathsUntilSuspect = 2
/** Picks of a version until one with an endpoint is found. */
const versionPicks = 4
const noEndpointRetryMs = 1000
/**
 * Delay before attaching to a claim that another request holds. An attach that
 * overtakes the request itself makes the endpoint refuse it for good.
 */
const heldDelayMs = 50
const noEndpoint: Failure = { verdict: notRun, reason: 'noEndpoint', detail: 'no endpoint can take the request now', retryAfterMs: noEndpointRetryMs }
const suspect: Failure = { verdict: notRun, reason: 'crashSuspect', detail: 'endpoints died while they ran this request' }
const keyReused: Failure = { verdict: notRun, reason: 'keyReused', detail: 'the idempotency key was used with another request' }

function isSameClaim (left: Claim, right: Claim): boolean {
  return left.requestId === right.requestId && left.runner.id === right.runner.id && left.runner.incarnation === right.runner.incarnation
}

export class RequestRun {
  readonly #deps: RunDeps
  readonly #plan: CallPlan
  readonly #answer: ResponseSink
  readonly #context: Context
  readonly #settler: Settler
  readonly #tried = new Set<string>()
  readonly #verdicts: Verdict[] = []
  #requestId: string
  #replaces: string | undefined
  #attempts = 0
  #deaths = 0
  /** True when an attempt may have cost something that nobody can tell. */
  #isCostUnknown = false
  #lastPlace: RunPlace | undefined

  constructor (deps: RunDeps, plan: CallPlan, answer: ResponseSink, span: Span) {
    this.#deps = deps
    this.#plan = plan
    this.#answer = answer
    this.#context = contextWithSpan(span)
    this.#settler = new Settler(deps.settler, plan)
    this.#requestId = deps.nextRequestId()
  }

  /** Id under which the request was sent last. */
  get requestId (): string {
    return this.#requestId
  }

  async run (): Promise<RunEnd> {
    await this.#deps.crashes.pendingReports(this.#plan.contentHash)
    if (this.#deps.crashes.isSuspect(this.#plan.contentHash)) {
      // An earlier request with the same key may be one of those that ran.
      return { kind: 'refused', failure: this.#plan.keyHash === undefined ? suspect : { ...suspect, verdict: mayHaveRun } }
    }
    this.#deps.retries.noteFirstAttempt(this.#plan.service.name)
    for (;;) {
      this.#attempts += 1
      const end = await this.#step()
      if (end.kind !== 'failed') return end
      const delayMs = this.#noteFailure(end.failure)
      if (delayMs === undefined) return this.#giveUp(end.failure)
      this.#deps.metrics.increment('forward.retries', 1, { service: this.#plan.service.name, reason: end.failure.reason })
      await this.#wait(delayMs)
    }
  }

  async #step (): Promise<StepEnd> {
    const place = this.#choosePlace()
    if (place === undefined) return { kind: 'failed', failure: noEndpoint }
    // Reserving comes first, so that little time passes between a granted claim and the request it names.
    const reserved = await this.#reserve()
    if (this.#plan.keyHash !== undefined) {
      const claimed = await this.#claim(place)
      if (claimed.kind === 'failed') return claimed
      // A budget that is used up does not keep a caller from an answer that is paid for.
      if (claimed.kind === 'held') return this.#attachTo(claimed.claim)
    }
    if (reserved.isErr()) return { kind: 'refused', failure: this.#withEarlierVerdicts(reserved.error) }
    if (this.#answer.isDisconnected) {
      this.#settleEarlier()
      return { kind: 'gone' }
    }
    return this.#forward(place)
  }

  /** Version and endpoint; a version without an endpoint is picked again, because the pick is random. */
  #choosePlace (): RunPlace | undefined {
    const { service, route, prefix } = this.#plan
    for (let picks = 0; picks < versionPicks; picks++) {
      const version = this.#deps.versions.chooseVersion(service.name, route)
      if (version === undefined) return undefined
      const endpoint = this.#deps.book.choose({
        service: service.name, version, limit: service.endpointLimit, prefix, tried: this.#tried
      })
      if (endpoint !== undefined) return { requestId: this.#requestId, version, endpoint }
    }
    return undefined
  }

  async #claim (place: RunPlace): Promise<{ kind: 'granted' } | { kind: 'held', claim: Claim } | { kind: 'failed', failure: Failure }> {
    const { service, contentHash, idempotent, keyHash } = this.#plan
    const { id, incarnation, controlUrl } = place.endpoint
    const claim: Claim = {
      keyHash: keyHash as string, contentHash, requestId: place.requestId, runner: { id, incarnation, url: controlUrl }, idempotent
    }
    const claimed = await this.#deps.claims.claim(service.name, claim, this.#replaces)
    if (claimed.kind === 'failed') return claimed
    const isGranted = claimed.kind === 'granted' || isSameClaim(claimed.claim, claim)
    if (!isGranted) return claimed
    this.#replaces = claim.requestId
    return { kind: 'granted' }
  }

  async #reserve (): Promise<Result<void, Failure>> {
    if (this.#settler.held !== undefined) return Ok.EMPTY
    const span = this.#deps.tracing.tracer.startSpan('reserve', { attributes: { tokens: this.#plan.maxTokens } }, this.#context)
    const startedMs = this.#deps.timers.monotonicMs()
    const held = await this.#deps.budget.reserve(this.#plan.budget, this.#plan.maxTokens, this.#remainingMs())
    this.#deps.metrics.timing('budget.reserveMs', this.#deps.timers.monotonicMs() - startedMs)
    span.setAttribute('outcome', held.isOk() ? 'reserved' : held.error.reason)
    span.end()
    if (held.isErr()) return held
    this.#settler.hold(held.value)
    return Ok.EMPTY
  }

  async #forward (place: RunPlace): Promise<StepEnd> {
    this.#tried.add(entryKey(place.endpoint))
    this.#lastPlace = place
    const relay = new Relay(this.#deps, this.#plan, this.#answer, this.#context, this.#attempts)
    const end = await relay.forward(place, this.#settler, () => this.#hedgePlace(place))
    return this.#stepOf(end)
  }

  /** Another endpoint of the same version for a hedge. */
  #hedgePlace (first: RunPlace): RunPlace | undefined {
    const { service, prefix } = this.#plan
    const endpoint = this.#deps.book.choose({ service: service.name, version: first.version, limit: service.endpointLimit, prefix, tried: this.#tried })
    if (endpoint === undefined || this.#tried.has(entryKey(endpoint))) return undefined
    this.#tried.add(entryKey(endpoint))
    return { ...first, endpoint }
  }

  /** Attaches to the answer of the request that holds the key; its own router settles it. */
  async #attachTo (claim: Claim): Promise<StepEnd> {
    if (claim.contentHash !== this.#plan.contentHash) return { kind: 'refused', failure: keyReused }
    this.#settleEarlier()
    await this.#wait(heldDelayMs)
    const { id, incarnation, url } = claim.runner
    const endpoint: Member = { id, incarnation, role: 'endpoint', vm: '', failureDomain: '', controlUrl: url, service: this.#plan.service.name, leaving: false }
    const relay = new Relay(this.#deps, this.#plan, this.#answer, this.#context, this.#attempts)
    const end = await relay.attach(endpoint, claim.requestId)
    if (end.kind !== 'failed') return end
    this.#replaces = claim.requestId
    // The request that held the key certainly did not run, so the key may be claimed again at once.
    if (end.failure.verdict.kind === 'notRun') return { kind: 'failed', failure: { ...end.failure, reason: 'claimUnavailable' } }
    return this.#stepOf(end)
  }

  #stepOf (end: RelayEnd): StepEnd {
    if (end.kind !== 'failed') return end
    if (end.isDeath) this.#deaths += 1
    if (end.settlement === undefined && end.failure.verdict.kind !== 'notRun') this.#isCostUnknown = true
    return end
  }

  /** The delay before the next attempt in ms; `undefined` when there is none. */
  #noteFailure (failure: Failure): number | undefined {
    // The verdict of a claim is about earlier requests with the key.
    if (failure.reason !== 'claimUnavailable') this.#verdicts.push(failure.verdict)
    if (this.#deaths >= deathsUntilSuspect || this.#answer.isDisconnected) return undefined
    const { service, idempotent } = this.#plan
    const decision = decideRetry({
      failure, idempotent, attempts: this.#attempts, remainingMs: this.#remainingMs(), random: this.#deps.random
    })
    if (decision.kind === 'stop') return undefined
    if (!freeReasons.has(failure.reason) && !this.#deps.retries.tryTake(service.name)) {
      this.#deps.metrics.increment('forward.retryBudgetEmpty', 1, { service: service.name })
      return undefined
    }
    const mayHaveRunBefore = combineVerdicts(this.#verdicts).kind !== 'notRun'
    if (failure.reason === 'sliceFenced') {
      // The fenced reservation still has to pay for a copy that may have run.
      if (mayHaveRunBefore) return undefined
      this.#settler.release()
    }
    // A request id is used again only while a copy of it may have run, so that both are billed as one.
    if (!mayHaveRunBefore) this.#requestId = this.#deps.nextRequestId()
    return decision.delayMs
  }

  /** Settles the attempts so far. */
  #settleEarlier (): void {
    const place = this.#lastPlace
    if (combineVerdicts(this.#verdicts).kind === 'notRun' || place === undefined) {
      this.#settler.release()
    } else if (this.#isCostUnknown) {
      this.#settler.finish(place, undefined, 'lost')
    } else {
      this.#settler.finish(place, { requestId: place.requestId, tokens: 0, outcome: 'failed' }, 'failed')
    }
  }

  async #giveUp (failure: Failure): Promise<RunEnd> {
    this.#settleEarlier()
    if (this.#deaths > 0) await this.#deps.crashes.awaitReports(this.#plan.contentHash)
    if (this.#answer.isDisconnected) return { kind: 'gone' }
    const isSuspect = this.#deps.crashes.isSuspect(this.#plan.contentHash)
    return { kind: 'refused', failure: this.#withEarlierVerdicts(isSuspect ? suspect : failure) }
  }

  /** The caller's verdict covers all attempts. */
  #withEarlierVerdicts (failure: Failure): Failure {
    return { ...failure, verdict: combineVerdicts([...this.#verdicts, failure.verdict]) }
  }

  #remainingMs (): number {
    return this.#plan.deadlineAtMs - this.#deps.timers.monotonicMs()
  }

  #wait (delayMs: number): Promise<void> {
    return new Promise(resolve => { this.#deps.timers.after(delayMs, resolve) })
  }
}
