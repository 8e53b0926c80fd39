/** Bench `retries`: attempts per request when half of the endpoints fail, with and without the retry budget and the avoidance of failing endpoints. */
import { avoidanceMs, chooseEndpoint, decideRetry, defaultRetryBudget, mayHaveRun, RetryBudget, type Candidate } from '@buckthorndrift/policy'
import { createRandom, type Random } from '../../shared/random.ts'

export interface RetriesOptions {
  readonly seed?: number
  readonly requests?: number
}

export interface RetriesResult {
  readonly hasBudget: boolean
  /** Whether the router temporarily avoids endpoints with consecutive failures. */
  readonly hasAvoidance: boolean
  /** Attempts per request. */
  readonly amplification: number
  /** Share of requests that succeeded. */
  readonly answeredShare: number
}

export interface RetriesReport {
  readonly seed: number
  readonly requests: number
  readonly endpoints: number
  readonly failingEndpoints: number
  readonly results: readonly RetriesResult[]
}

const endpoints = 20
const failingEndpoints = 10
const requestIntervalMs = 2
const deadlineMs = 10_000

interface EndpointState {
  readonly id: string
  avoidUntilMs: number
  consecutiveFailures: number
}

function toCandidate ({ id, avoidUntilMs }: EndpointState): Candidate {
  return { id, failureDomain: 'd0', limit: 8, report: undefined, ownInFlight: 0, avoidUntilMs, isSuspected: false }
}

/** Worst case for retries: all calls are idempotent, and failing endpoints report themselves as healthy. */
class RetrySimulation {
  readonly #random: Random
  readonly #budget: RetryBudget | undefined
  readonly #hasAvoidance: boolean
  readonly #endpointStates: readonly EndpointState[] = Array.from({ length: endpoints }, (_, index) => ({ id: `e${index}`, avoidUntilMs: 0, consecutiveFailures: 0 }))
  #attempts = 0
  #answered = 0

  constructor (seed: number, hasBudget: boolean, hasAvoidance: boolean) {
    this.#random = createRandom(seed)
    this.#budget = hasBudget ? new RetryBudget(defaultRetryBudget, 0) : undefined
    this.#hasAvoidance = hasAvoidance
  }

  run (requests: number): RetriesResult {
    for (let request = 0; request < requests; request++) this.#sendRequest(request * requestIntervalMs)
    return {
      hasBudget: this.#budget !== undefined,
      hasAvoidance: this.#hasAvoidance,
      amplification: this.#attempts / requests,
      answeredShare: this.#answered / requests
    }
  }

  #sendRequest (nowMs: number): void {
    this.#budget?.recordFirstAttempt()
    const triedIds = new Set<string>()
    for (;;) {
      const id = chooseEndpoint({
        candidates: this.#endpointStates.map(toCandidate), failureDomain: 'd0', affinity: [], tried: triedIds, nowMs, random: this.#random.next
      })
      const endpoint = this.#endpointStates.find(other => other.id === id)
      if (endpoint === undefined) return
      triedIds.add(endpoint.id)
      this.#attempts += 1
      if (this.#sendAttempt(endpoint, nowMs)) {
        this.#answered += 1
        return
      }
      const decision = decideRetry({
        failure: { verdict: mayHaveRun, reason: 'backEndFailed', detail: '' },
        idempotent: true,
        attempts: triedIds.size,
        remainingMs: deadlineMs,
        random: this.#random.next
      })
      if (decision.kind === 'stop' || this.#budget?.tryTake(nowMs) === false) return
    }
  }

  /** Sends one attempt; returns whether it succeeds. */
  #sendAttempt (endpoint: EndpointState, nowMs: number): boolean {
    if (Number(endpoint.id.slice(1)) >= failingEndpoints) {
      endpoint.consecutiveFailures = 0
      return true
    }
    endpoint.consecutiveFailures += 1
    if (this.#hasAvoidance) endpoint.avoidUntilMs = nowMs + avoidanceMs(endpoint.consecutiveFailures)
    return false
  }
}

/** Runs the same number of requests in simulated time for each combination of retry budget and avoidance. */
export async function benchRetries ({ seed = 1, requests = 50_000 }: RetriesOptions = {}): Promise<RetriesReport> {
  const results = [false, true].flatMap(hasAvoidance => [false, true].map(hasBudget => new RetrySimulation(seed, hasBudget, hasAvoidance).run(requests)))
  return { seed, requests, endpoints, failingEndpoints, results }
}
