/** Retry budgets by service, and hedge delays by service and route. */
import type { TimerService } from '@buckthorndrift/kernel'
import { defaultRetryBudget, HedgeDelay, RetryBudget, type RetryBudgetSettings } from '@buckthorndrift/policy'

export class RetryTracker {
  readonly #timers: TimerService
  readonly #settings: RetryBudgetSettings
  readonly #budgets = new Map<string, RetryBudget>()
  readonly #hedgeDelays = new Map<string, HedgeDelay>()

  constructor (timers: TimerService, settings: RetryBudgetSettings = defaultRetryBudget) {
    this.#timers = timers
    this.#settings = settings
  }

  recordFirstAttempt (service: string): void {
    this.#budgetOf(service).recordFirstAttempt()
  }

  /** Takes one retry or hedge from the budget of the service; false when the budget is used up. */
  tryTake (service: string): boolean {
    return this.#budgetOf(service).tryTake(this.#timers.monotonicMs())
  }

  /** Records the time to the response head of an idempotent plain call. */
  recordHeadLatency (service: string, route: string, headMs: number): void {
    this.#hedgeDelayOf(service, route).observe(headMs, this.#timers.monotonicMs())
  }

  /** Delay in ms after which a call is hedged, which is about the p95 of its latency; `undefined` until enough calls were measured. */
  hedgeDelayMs (service: string, route: string): number | undefined {
    return this.#hedgeDelayOf(service, route).delayMs()
  }

  #budgetOf (service: string): RetryBudget {
    const existing = this.#budgets.get(service)
    if (existing !== undefined) return existing
    const budget = new RetryBudget(this.#settings, this.#timers.monotonicMs())
    this.#budgets.set(service, budget)
    return budget
  }

  #hedgeDelayOf (service: string, route: string): HedgeDelay {
    const name = `${service} ${route}`
    const existing = this.#hedgeDelays.get(name)
    if (existing !== undefined) return existing
    const delay = new HedgeDelay(this.#timers.monotonicMs())
    this.#hedgeDelays.set(name, delay)
    return delay
  }
}
