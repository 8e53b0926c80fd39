/** Routers and model endpoints in simulated time, with the real decision logic. */
import { build } from 'hdr-histogram-js'
import { decideRetry, defaultRetryBudget, notRun, RetryBudget, type Hasher } from '@buckthorndrift/policy'
import { EventQueue } from '../../shared/eventQueue.ts'
import { createPolicy, type EndpointView, type Policy, type PolicyName } from './policies.ts'
import { createRandom, type Random } from '../../shared/random.ts'
import { SimulatedEndpoint, type EndpointModel } from './simulatedEndpoint.ts'

export interface SimulationOptions {
  readonly policy: PolicyName
  /** Offered load as a share of the capacity without any cache hit. */
  readonly load: number
  readonly seed: number
  readonly durationMs: number
  readonly hasher: Hasher
}

export interface SimulationResult {
  readonly policy: PolicyName
  readonly load: number
  readonly requests: number
  readonly p50Ms: number
  readonly p95Ms: number
  readonly p99Ms: number
  readonly refusedShare: number
  /** Share of first tokens whose prompt prefix was cached. */
  readonly cacheHitShare: number
}

export const scenario = {
  routers: 8,
  endpoints: 32,
  failureDomains: 4,
  /** Endpoints that need twice the time, as after a bad placement. */
  slowEndpoints: 2,
  prefixes: 400,
  decodeMeanMs: 400,
  localDelayMs: 0.5,
  remoteDelayMs: 2,
  deadlineMs: 10_000
}

const model: EndpointModel = { limit: 8, queueLimit: 16, cachedPrefixes: 40, prefillMs: 200, cachedPrefillMs: 40 }
const slowFactor = 2
const avoidFullMs = 250
/** The first part of a run fills queues and caches and is not measured. */
const warmUpShare = 0.25

interface Router {
  readonly failureDomain: string
  readonly views: readonly EndpointView[]
  readonly pick: Policy
  readonly retries: RetryBudget
}

/** Requests per ms that all endpoints finish when no prefix is cached. */
function capacityPerMs (): number {
  const normal = scenario.endpoints - scenario.slowEndpoints
  return model.limit / (model.prefillMs + scenario.decodeMeanMs) * (normal + scenario.slowEndpoints / slowFactor)
}

function domainOf (index: number): string {
  return `d${index % scenario.failureDomains}`
}

export class Simulation {
  readonly #options: SimulationOptions
  readonly #events = new EventQueue()
  readonly #random: Random
  readonly #routers: readonly Router[]
  readonly #firstTokens = build({ bitBucketSize: 32, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 })
  #requests = 0
  #refused = 0
  #hits = 0

  constructor (options: SimulationOptions) {
    this.#options = options
    this.#random = createRandom(options.seed)
    const endpoints = Array.from({ length: scenario.endpoints }, (_, index) => new SimulatedEndpoint(
      this.#events, `e${index}`, domainOf(index), model, index < scenario.slowEndpoints ? slowFactor : 1
    ))
    this.#routers = Array.from({ length: scenario.routers }, (_, index) => ({
      failureDomain: domainOf(index),
      views: endpoints.map(endpoint => ({ endpoint, report: undefined, ownInFlight: 0, avoidUntilMs: 0 })),
      pick: createPolicy(options.policy, { hasher: options.hasher, routerId: `r${index}`, routerIndex: index, failureDomain: domainOf(index), endpoints }),
      retries: new RetryBudget(defaultRetryBudget, 0)
    }))
  }

  run (): SimulationResult {
    const { policy, load, durationMs } = this.#options
    this.#arrive(1 / (load * capacityPerMs()))
    this.#events.runUntil(durationMs)
    return {
      policy,
      load,
      requests: this.#requests,
      p50Ms: this.#firstTokens.getValueAtPercentile(50),
      p95Ms: this.#firstTokens.getValueAtPercentile(95),
      p99Ms: this.#firstTokens.getValueAtPercentile(99),
      refusedShare: this.#refused / this.#requests,
      cacheHitShare: this.#hits / this.#firstTokens.totalCount
    }
  }

  get #isMeasured (): boolean {
    return this.#events.nowMs >= this.#options.durationMs * warmUpShare
  }

  #arrive (meanGapMs: number): void {
    this.#events.after(this.#random.exponential(meanGapMs), () => {
      const router = this.#routers[this.#random.below(this.#routers.length)] as Router
      router.retries.recordFirstAttempt()
      if (this.#isMeasured) this.#requests += 1
      // Squaring makes a few prefixes popular, as shared system prompts are.
      const prefix = Math.floor(this.#random.next() ** 2 * scenario.prefixes)
      this.#attempt(router, prefix, this.#events.nowMs, this.#isMeasured, new Set(), 1)
      this.#arrive(meanGapMs)
    })
  }

  #attempt (router: Router, prefix: number, startMs: number, isMeasured: boolean, tried: Set<string>, attempts: number): void {
    const { nowMs } = this.#events
    const view = router.pick({ views: router.views, prefix, tried, nowMs, random: () => this.#random.next() })
    if (view === undefined) { this.#refuse(isMeasured); return }
    tried.add(view.endpoint.id)
    view.ownInFlight += 1
    const delayMs = view.endpoint.failureDomain === router.failureDomain ? scenario.localDelayMs : scenario.remoteDelayMs
    this.#events.after(delayMs, () => {
      const isTaken = view.endpoint.offer({
        prefix,
        decodeMs: this.#random.exponential(scenario.decodeMeanMs),
        onFirstToken: isHit => { this.#events.after(delayMs, () => { this.#firstToken(view, startMs, isMeasured, isHit) }) },
        onEnd: () => { this.#events.after(delayMs, () => { view.ownInFlight -= 1 }) }
      })
      if (isTaken) return
      this.#events.after(delayMs, () => {
        view.ownInFlight -= 1
        this.#report(view)
        view.avoidUntilMs = this.#events.nowMs + avoidFullMs * (0.5 + this.#random.next())
        this.#retry(router, prefix, startMs, isMeasured, tried, attempts)
      })
    })
  }

  #retry (router: Router, prefix: number, startMs: number, isMeasured: boolean, tried: Set<string>, attempts: number): void {
    const decision = decideRetry({
      failure: { verdict: notRun, reason: 'endpointFull', detail: '' },
      idempotent: true,
      attempts,
      remainingMs: startMs + scenario.deadlineMs - this.#events.nowMs,
      random: () => this.#random.next()
    })
    if (decision.kind === 'stop' || !router.retries.tryTake(this.#events.nowMs)) { this.#refuse(isMeasured); return }
    this.#events.after(decision.delayMs, () => { this.#attempt(router, prefix, startMs, isMeasured, tried, attempts + 1) })
  }

  #firstToken (view: EndpointView, startMs: number, isMeasured: boolean, isHit: boolean): void {
    this.#report(view)
    if (!isMeasured) return
    this.#firstTokens.recordValue(Math.round(this.#events.nowMs - startMs))
    if (isHit) this.#hits += 1
  }

  /** The load report that comes with an answer. */
  #report (view: EndpointView): void {
    const { endpoint, ownInFlight } = view
    view.report = {
      inFlight: endpoint.inFlight, limit: endpoint.model.limit, queued: endpoint.queued, leaving: false, healthy: true, atMs: this.#events.nowMs, ownInFlight
    }
  }

  #refuse (isMeasured: boolean): void {
    if (isMeasured) this.#refused += 1
  }
}
