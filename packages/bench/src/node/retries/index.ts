/** Bench `retries`: attempts per request when half of the endpoints fail, with and without retry budget and avoidance. */
import { avoidanceMs, chooseEndpoint, decideRetry, defaultRetryBudget, mayHaveRun, RetryBudget, type Candidate } from '@buckthorndrift/policy'
import { createRandom, type Random } from '../../shared/random.ts'

export interface RetriesOptions {
  readonly seed?: number
  readonly requests?: number
}

export interface RetriesResult {
  readonly hasBudget: boolean
  /** Whether endpoints that keep failing are avoided for a while. */
  readonly hasAvoidance: boolean
  /** Attempts per request. */
  readonly amplification: number
  /** Share of requests that got an answer. */
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
const requestGapMs = 2
const deadlineMs = 10_000

interface View {
  readonly id: string
  avoidUntilMs: number
  consecutiveFailures: number
}

function candidateOf ({ id, avoidUntilMs }: View): Candidate {
  return { id, failureDomain: 'd0', limit: 8, report: undefined, ownInFlight: 0, avoidUntilMs, isSuspected: false }
}

/** The worst case: idempotent calls, and failing endpoints that say they are healthy. */
class Run {
  readonly #random: Random
  readonly #budget: RetryBudget | undefined
  readonly #hasAvoidance: boolean
  readonly #views: readonly View[] = Array.from({ length: endpoints }, (_, index) => ({ id: `e${index}`, avoidUntilMs: 0, consecutiveFailures: 0 }))
  #attempts = 0
  #answered = 0

  constructor (seed: number, hasBudget: boolean, hasAvoidance: boolean) {
    this.#random = createRandom(seed)
    this.#budget = hasBudget ? new RetryBudget(defaultRetryBudget, 0) : undefined
    this.#hasAvoidance = hasAvoidance
  }

  run (requests: number): RetriesResult {
    for (let request = 0; request < requests; request++) this.#request(request * requestGapMs)
    return {
      hasBudget: this.#budget !== undefined,
      hasAvoidance: this.#hasAvoidance,
      amplification: this.#attempts / requests,
      answeredShare: this.#answered / requests
    }
  }

  #request (nowMs: number): void {
    this.#budget?.recordFirstAttempt()
    const tried = new Set<string>()
    for (;;) {
      const id = chooseEndpoint({
        candidates: this.#views.map(candidateOf), failureDomain: 'd0', affinity: [], tried, nowMs, random: this.#random.next
      })
      const view = this.#views.find(other => other.id === id)
      if (view === undefined) return
      tried.add(view.id)
      this.#attempts += 1
      if (this.#isAnswered(view, nowMs)) {
        this.#answered += 1
        return
      }
      const decision = decideRetry({
        failure: { verdict: mayHaveRun, reason: 'backEndFailed', detail: '' },
        idempotent: true,
        attempts: tried.size,
        remainingMs: deadlineMs,
        random: this.#random.next
      })
      if (decision.kind === 'stop' || this.#budget?.tryTake(nowMs) === false) return
    }
  }

  #isAnswered (view: View, nowMs: number): boolean {
    if (Number(view.id.slice(1)) >= failingEndpoints) {
      view.consecutiveFailures = 0
      return true
    }
    view.consecutiveFailures += 1
    if (this.#hasAvoidance) view.avoidUntilMs = nowMs + avoidanceMs(view.consecutiveFailures)
    return false
  }
}

/** Runs the same requests in each case, in simulated time. */
export async function benchRetries ({ seed = 1, requests = 50_000 }: RetriesOptions = {}): Promise<RetriesReport> {
  const results = [false, true].flatMap(hasAvoidance => [false, true].map(hasBudget => new Run(seed, hasBudget, hasAvoidance).run(requests)))
  return { seed, requests, endpoints, failingEndpoints, results }
}
