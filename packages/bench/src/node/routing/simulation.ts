/** Simulates routers and model endpoints in simulated time, with the retry logic of @buckthorndrift/policy. */
import { build } from 'hdr-histogram-js'
import { decideRetry, defaultRetryBudget, notRun, RetryBudget, type Hasher } from '@buckthorndrift/policy'
import { EventQueue } from '../../shared/eventQueue.ts'
import { createPolicy, type EndpointView, type Policy, type PolicyName } from './policies.ts'
import { createRandom, type Random } from '../../shared/random.ts'
import { SimulatedEndpoint, type EndpointModel } from './simulatedEndpoint.ts'

export interface SimulationOptions {
  readonly policy: PolicyName
  /** Offered load as a share of the capacity without cache hits. */
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
  /** Share of answered requests whose prompt prefix was cached. */
  readonly cacheHitShare: number
}

export const scenario = {
  routers: 8,
  endpoints: 32,
  failureDomains: 4,
  /** Number of endpoints that take twice as long for each request, for example because of unfavourable placement. */
  slowEndpoints: 2,
  prefixes: 400,
  decodeMeanMs: 400,
  localDelayMs: 0.5,
  remoteDelayMs: 2,
  deadlineMs: 10_000
}

const model: EndpointModel = { concurrencyLimit: 8, queueLimit: 16, cachedPrefixes: 40, prefillMs: 200, cachedPrefillMs: 40 }
const slowEndpointFactor = 2
/** Mean time for which a router avoids an endpoint whose queue was full. */
const fullEndpointAvoidanceMs = 250
/** Share of a run, at its start, that only fills queues and caches and is not measured. */
const warmUpShare = 0.25

interface Router {
  readonly failureDomain: string
  readonly views: readonly EndpointView[]
  readonly choose: Policy
  readonly retryBudget: RetryBudget
}

/** Requests per ms that all endpoints finish when no prefix is cached. */
function capacityPerMs (): number {
  const normal = scenario.endpoints - scenario.slowEndpoints
  return model.concurrencyLimit / (model.prefillMs + scenario.decodeMeanMs) * (normal + scenario.slowEndpoints / slowEndpointFactor)
}

function failureDomainOf (index: number): string {
  return `d${index % scenario.failureDomains}`
}

export class Simulation {
  readonly #options: SimulationOptions
  readonly #events = new EventQueue()
  readonly #random: Random
  readonly #routers: readonly Router[]
  readonly #timesToFirstToken = build({ bitBucketSize: 32, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 })
  #requests = 0
  #refusals = 0
  #cacheHits = 0

  constructor (options: SimulationOptions) {
    this.#options = options
    this.#random = createRandom(options.seed)
    const endpoints = Array.from({ length: scenario.endpoints }, (_, index) => new SimulatedEndpoint(
      this.#events, `e${index}`, failureDomainOf(index), model, index < scenario.slowEndpoints ? slowEndpointFactor : 1
    ))
    this.#routers = Array.from({ length: scenario.routers }, (_, index) => ({
      failureDomain: failureDomainOf(index),
      views: endpoints.map(endpoint => ({ endpoint, report: undefined, ownInFlight: 0, avoidUntilMs: 0 })),
      choose: createPolicy(options.policy, { hasher: options.hasher, routerId: `r${index}`, routerIndex: index, failureDomain: failureDomainOf(index), endpoints }),
      retryBudget: new RetryBudget(defaultRetryBudget, 0)
    }))
  }

  run (): SimulationResult {
    const { policy, load, durationMs } = this.#options
    this.#scheduleArrival(1 / (load * capacityPerMs()))
    this.#events.runUntil(durationMs)
    return {
      policy,
      load,
      requests: this.#requests,
      p50Ms: this.#timesToFirstToken.getValueAtPercentile(50),
      p95Ms: this.#timesToFirstToken.getValueAtPercentile(95),
      p99Ms: this.#timesToFirstToken.getValueAtPercentile(99),
      refusedShare: this.#refusals / this.#requests,
      cacheHitShare: this.#cacheHits / this.#timesToFirstToken.totalCount
    }
  }

  get #isMeasured (): boolean {
    return this.#events.nowMs >= this.#options.durationMs * warmUpShare
  }

  #scheduleArrival (meanGapMs: number): void {
    this.#events.after(this.#random.exponential(meanGapMs), () => {
      const router = this.#routers[this.#random.below(this.#routers.length)] as Router
      router.retryBudget.recordFirstAttempt()
      if (this.#isMeasured) this.#requests += 1
      // Squaring makes a few prefixes popular, like shared system prompts.
      const prefix = Math.floor(this.#random.next() ** 2 * scenario.prefixes)
      this.#attempt(router, prefix, this.#events.nowMs, this.#isMeasured, new Set(), 1)
      this.#scheduleArrival(meanGapMs)
    })
  }

  #attempt (router: Router, prefix: number, startMs: number, isMeasured: boolean, triedIds: Set<string>, attempts: number): void {
    const { nowMs } = this.#events
    const view = router.choose({ views: router.views, prefix, triedIds, nowMs, random: () => this.#random.next() })
    if (view === undefined) { this.#recordRefusal(isMeasured); return }
    triedIds.add(view.endpoint.id)
    view.ownInFlight += 1
    const delayMs = view.endpoint.failureDomain === router.failureDomain ? scenario.localDelayMs : scenario.remoteDelayMs
    this.#events.after(delayMs, () => {
      const isAccepted = view.endpoint.offer({
        prefix,
        decodeMs: this.#random.exponential(scenario.decodeMeanMs),
        onFirstToken: isCacheHit => { this.#events.after(delayMs, () => { this.#recordFirstToken(view, startMs, isMeasured, isCacheHit) }) },
        onEnd: () => { this.#events.after(delayMs, () => { view.ownInFlight -= 1 }) }
      })
      if (isAccepted) return
      this.#events.after(delayMs, () => {
        view.ownInFlight -= 1
        this.#updateLoadReport(view)
        view.avoidUntilMs = this.#events.nowMs + fullEndpointAvoidanceMs * (0.5 + this.#random.next())
        this.#retry(router, prefix, startMs, isMeasured, triedIds, attempts)
      })
    })
  }

  #retry (router: Router, prefix: number, startMs: number, isMeasured: boolean, triedIds: Set<string>, attempts: number): void {
    const decision = decideRetry({
      failure: { verdict: notRun, reason: 'endpointFull', detail: '' },
      idempotent: true,
      attempts,
      remainingMs: startMs + scenario.deadlineMs - this.#events.nowMs,
      random: () => this.#random.next()
    })
    if (decision.kind === 'stop' || !router.retryBudget.tryTake(this.#events.nowMs)) { this.#recordRefusal(isMeasured); return }
    this.#events.after(decision.delayMs, () => { this.#attempt(router, prefix, startMs, isMeasured, triedIds, attempts + 1) })
  }

  #recordFirstToken (view: EndpointView, startMs: number, isMeasured: boolean, isCacheHit: boolean): void {
    this.#updateLoadReport(view)
    if (!isMeasured) return
    this.#timesToFirstToken.recordValue(Math.round(this.#events.nowMs - startMs))
    if (isCacheHit) this.#cacheHits += 1
  }

  /** Stores the load report that comes with a response. */
  #updateLoadReport (view: EndpointView): void {
    const { endpoint, ownInFlight } = view
    view.report = {
      inFlight: endpoint.inFlight, limit: endpoint.model.concurrencyLimit, queued: endpoint.queued, leaving: false, healthy: true, atMs: this.#events.nowMs, ownInFlight
    }
  }

  #recordRefusal (isMeasured: boolean): void {
    if (isMeasured) this.#refusals += 1
  }
}
