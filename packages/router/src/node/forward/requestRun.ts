/** Runs one caller request: reservation, claim, attempts, retries, response. */
import type { Context, Span } from '@opentelemetry/api'
import { Ok, type Result } from 'ts-results-es'
import { contextWithSpan } from '@buckthorndrift/kernel'
import { combineVerdicts, decideRetry, mayHaveRun, notRun, type Failure, type FailureReason, type Verdict } from '@buckthorndrift/policy'
import type { Claim, Member } from '@buckthorndrift/protocol'
import type { CallPlan } from '../../shared/callPlan.ts'
import { endpointKey } from './endpointSelector.ts'
import { Relay, type RelayResult } from './relay.ts'
import type { ResponseSink } from './responseSink.ts'
import type { RunDeps } from './runDeps.ts'
import { Settler, type Placement } from './settler.ts'

/**
 * How a caller request ended. `refused`: nothing was passed on to the caller yet.
 * `broken`: a part of the response was passed on. `gone`: the caller disconnected
 * before the end.
 */
export type RunResult =
  | { readonly kind: 'answered', readonly status: number }
  | { readonly kind: 'gone' }
  | { readonly kind: 'refused', readonly failure: Failure }
  | { readonly kind: 'broken', readonly failure: Failure }

/** `failed`: this attempt failed; another one may succeed. */
type StepResult = RunResult | { readonly kind: 'failed', readonly failure: Failure }

/** Retries for these reasons are exempt from the retry budget, because the failed attempt put no load on a back end. */
const budgetExemptReasons: ReadonlySet<FailureReason> = new Set(['noEndpoint', 'endpointLeaving', 'claimUnavailable', 'sliceFenced'])
/** Crashes during one request after which it is not sent to another endpoint. */
const crashesUntilSuspect = 2
/** Limit of random version picks in the search for a version with an available endpoint. */
const maxVersionPicks = 4
const noEndpointRetryMs = 1000
/**
 * Delay before attaching to the response of another request that holds the claim.
 * An endpoint that gets an attach before the request itself refuses that request
 * permanently when it arrives.
 */
const heldClaimDelayMs = 50
const noEndpoint: Failure = { verdict: notRun, reason: 'noEndpoint', detail: 'no endpoint can take the request now', retryAfterMs: noEndpointRetryMs }
const crashSuspect: Failure = { verdict: notRun, reason: 'crashSuspect', detail: 'endpoints died while they ran this request' }
const keyReused: Failure = { verdict: notRun, reason: 'keyReused', detail: 'the idempotency key was used with another request' }

function isSameClaim (left: Claim, right: Claim): boolean {
  return left.requestId === right.requestId && left.runner.id === right.runner.id && left.runner.incarnation === right.runner.incarnation
}

export class RequestRun {
  readonly #deps: RunDeps
  readonly #plan: CallPlan
  readonly #response: ResponseSink
  readonly #context: Context
  readonly #settler: Settler
  readonly #triedEndpointKeys = new Set<string>()
  readonly #verdicts: Verdict[] = []
  #requestId: string
  /** Request id of an earlier claim that the next claim replaces. */
  #replacedClaimId: string | undefined
  #attemptCount = 0
  #crashCount = 0
  /** True when an attempt may have had a cost that nobody can determine. */
  #isCostUnknown = false
  #lastPlacement: Placement | undefined

  constructor (deps: RunDeps, plan: CallPlan, response: ResponseSink, span: Span) {
    this.#deps = deps
    this.#plan = plan
    this.#response = response
    this.#context = contextWithSpan(span)
    this.#settler = new Settler(deps.settlerDeps, plan)
    this.#requestId = deps.nextRequestId()
  }

  /** Id under which the request was last sent. */
  get requestId (): string {
    return this.#requestId
  }

  async run (): Promise<RunResult> {
    await this.#deps.crashTracker.pendingReports(this.#plan.contentHash)
    if (this.#deps.crashTracker.isSuspect(this.#plan.contentHash)) {
      // An earlier request with the same idempotency key may be one of those that ran.
      return { kind: 'refused', failure: this.#plan.keyHash === undefined ? crashSuspect : { ...crashSuspect, verdict: mayHaveRun } }
    }
    this.#deps.retryTracker.recordFirstAttempt(this.#plan.service.name)
    for (;;) {
      this.#attemptCount += 1
      const result = await this.#runAttempt()
      if (result.kind !== 'failed') return result
      const delayMs = this.#planRetry(result.failure)
      if (delayMs === undefined) return this.#giveUp(result.failure)
      this.#deps.metrics.increment('forward.retries', 1, { service: this.#plan.service.name, reason: result.failure.reason })
      await this.#wait(delayMs)
    }
  }

  async #runAttempt (): Promise<StepResult> {
    const placement = this.#choosePlacement()
    if (placement === undefined) return { kind: 'failed', failure: noEndpoint }
    // The reservation comes before the claim, so that little time passes between a granted claim and the request that it names.
    const reserved = await this.#reserve()
    if (this.#plan.keyHash !== undefined) {
      const claimed = await this.#claim(placement)
      if (claimed.kind === 'failed') return claimed
      // Also with an exhausted budget, the caller gets the response of an earlier request, which is already paid for.
      if (claimed.kind === 'held') return this.#attachTo(claimed.claim)
    }
    if (reserved.isErr()) return { kind: 'refused', failure: this.#withCombinedVerdict(reserved.error) }
    if (this.#response.isDisconnected) {
      this.#settlePastAttempts()
      return { kind: 'gone' }
    }
    return this.#forward(placement)
  }

  /** Picks a version and chooses an endpoint. The pick is random, so it is repeated when the picked version has no available endpoint. */
  #choosePlacement (): Placement | undefined {
    const { service, route, prefix } = this.#plan
    for (let picks = 0; picks < maxVersionPicks; picks++) {
      const version = this.#deps.versions.chooseVersion(service.name, route)
      if (version === undefined) return undefined
      const endpoint = this.#deps.endpointSelector.choose({
        service: service.name, version, limit: service.endpointLimit, prefix, tried: this.#triedEndpointKeys
      })
      if (endpoint !== undefined) return { requestId: this.#requestId, version, endpoint }
    }
    return undefined
  }

  async #claim (placement: Placement): Promise<{ kind: 'granted' } | { kind: 'held', claim: Claim } | { kind: 'failed', failure: Failure }> {
    const { service, contentHash, idempotent, keyHash } = this.#plan
    const { id, incarnation, controlUrl } = placement.endpoint
    const claim: Claim = {
      keyHash: keyHash as string, contentHash, requestId: placement.requestId, runner: { id, incarnation, url: controlUrl }, idempotent
    }
    const claimed = await this.#deps.claims.claim(service.name, claim, this.#replacedClaimId)
    if (claimed.kind === 'failed') return claimed
    const isGranted = claimed.kind === 'granted' || isSameClaim(claimed.claim, claim)
    if (!isGranted) return claimed
    this.#replacedClaimId = claim.requestId
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

  async #forward (placement: Placement): Promise<StepResult> {
    this.#triedEndpointKeys.add(endpointKey(placement.endpoint))
    this.#lastPlacement = placement
    const relay = new Relay(this.#deps, this.#plan, this.#response, this.#context, this.#attemptCount)
    const result = await relay.forward(placement, this.#settler, () => this.#chooseHedgePlacement(placement))
    return this.#toStepResult(result)
  }

  /** Chooses an endpoint for a hedge: one of the same version that was not tried yet. */
  #chooseHedgePlacement (first: Placement): Placement | undefined {
    const { service, prefix } = this.#plan
    const endpoint = this.#deps.endpointSelector.choose({ service: service.name, version: first.version, limit: service.endpointLimit, prefix, tried: this.#triedEndpointKeys })
    if (endpoint === undefined || this.#triedEndpointKeys.has(endpointKey(endpoint))) return undefined
    this.#triedEndpointKeys.add(endpointKey(endpoint))
    return { ...first, endpoint }
  }

  /** Attaches to the response of the request that holds the claim. The router that sent that request settles it. */
  async #attachTo (claim: Claim): Promise<StepResult> {
    if (claim.contentHash !== this.#plan.contentHash) return { kind: 'refused', failure: keyReused }
    this.#settlePastAttempts()
    await this.#wait(heldClaimDelayMs)
    const { id, incarnation, url } = claim.runner
    const endpoint: Member = { id, incarnation, role: 'endpoint', vm: '', failureDomain: '', controlUrl: url, service: this.#plan.service.name, leaving: false }
    const relay = new Relay(this.#deps, this.#plan, this.#response, this.#context, this.#attemptCount)
    const result = await relay.attach(endpoint, claim.requestId)
    if (result.kind !== 'failed') return result
    this.#replacedClaimId = claim.requestId
    // The request that held the claim certainly did not run, so the key can be claimed again at once.
    if (result.failure.verdict.kind === 'notRun') return { kind: 'failed', failure: { ...result.failure, reason: 'claimUnavailable' } }
    return this.#toStepResult(result)
  }

  #toStepResult (result: RelayResult): StepResult {
    if (result.kind !== 'failed') return result
    if (result.isCrash) this.#crashCount += 1
    if (result.settlement === undefined && result.failure.verdict.kind !== 'notRun') this.#isCostUnknown = true
    return result
  }

  /** Records a failed attempt and decides on a retry. Returns the delay before the next attempt in ms; `undefined` when there is none. */
  #planRetry (failure: Failure): number | undefined {
    // The verdict of a failed claim is about earlier requests with the key, not about this attempt.
    if (failure.reason !== 'claimUnavailable') this.#verdicts.push(failure.verdict)
    if (this.#crashCount >= crashesUntilSuspect || this.#response.isDisconnected) return undefined
    const { service, idempotent } = this.#plan
    const decision = decideRetry({
      failure, idempotent, attempts: this.#attemptCount, remainingMs: this.#remainingMs(), random: this.#deps.random
    })
    if (decision.kind === 'stop') return undefined
    if (!budgetExemptReasons.has(failure.reason) && !this.#deps.retryTracker.tryTake(service.name)) {
      this.#deps.metrics.increment('forward.retryBudgetEmpty', 1, { service: service.name })
      return undefined
    }
    const mayHaveRunBefore = combineVerdicts(this.#verdicts).kind !== 'notRun'
    if (failure.reason === 'sliceFenced') {
      // An earlier attempt that may have run still has to be settled with the fenced reservation.
      if (mayHaveRunBefore) return undefined
      this.#settler.release()
    }
    // The next attempt keeps the request id only when an earlier attempt may have run, so that both are billed as one request.
    if (!mayHaveRunBefore) this.#requestId = this.#deps.nextRequestId()
    return decision.delayMs
  }

  /** Settles the attempts made so far. */
  #settlePastAttempts (): void {
    const placement = this.#lastPlacement
    if (combineVerdicts(this.#verdicts).kind === 'notRun' || placement === undefined) {
      this.#settler.release()
    } else if (this.#isCostUnknown) {
      this.#settler.settle(placement, undefined, 'lost')
    } else {
      this.#settler.settle(placement, { requestId: placement.requestId, tokens: 0, outcome: 'failed' }, 'failed')
    }
  }

  async #giveUp (failure: Failure): Promise<RunResult> {
    this.#settlePastAttempts()
    if (this.#crashCount > 0) await this.#deps.crashTracker.awaitReports(this.#plan.contentHash)
    if (this.#response.isDisconnected) return { kind: 'gone' }
    const isSuspect = this.#deps.crashTracker.isSuspect(this.#plan.contentHash)
    return { kind: 'refused', failure: this.#withCombinedVerdict(isSuspect ? crashSuspect : failure) }
  }

  /** Replaces the verdict of a failure by the combined verdict of all attempts, which is what the caller needs. */
  #withCombinedVerdict (failure: Failure): Failure {
    return { ...failure, verdict: combineVerdicts([...this.#verdicts, failure.verdict]) }
  }

  #remainingMs (): number {
    return this.#plan.deadlineAtMs - this.#deps.timers.monotonicMs()
  }

  #wait (delayMs: number): Promise<void> {
    return new Promise(resolve => { this.#deps.timers.after(delayMs, resolve) })
  }
}
