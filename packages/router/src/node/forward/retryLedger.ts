/** Retry budgets by service and hedge delays by call. */
import type { TimerService } from '@buckthorndrift/kernel'
import { defaultRetryBudget, HedgeDelay, RetryBudget, type RetryBudgetSettings } from '@buckthorndrift/policy'

export class RetryLedger {
  readonly #timers: TimerService
  readonly #settings: RetryBudgetSettings
  readonly #budgets = new Map<string, RetryBudget>()
  readonly #delays = new Map<string, HedgeDelay>()

  constructor (timers: TimerService, settings: RetryBudgetSettings = defaultRetryBudget) {
    this.#timers = timers
    this.#settings = settings
  }

  noteFirstAttempt (service: string): void {
    this.#budget(service).recordFirstAttempt()
  }

  /** Takes a retry or a hedge from the budget of the service; false when it is used up. */
  tryTake (service: string): boolean {
    return this.#budget(service).tryTake(this.#timers.monotonicMs())
  }

  /** Notes how long the whole answer of an idempotent plain call took. */
  observe (service: string, route: string, durationMs: number): void {
    this.#delay(service, route).observe(durationMs, this.#timers.monotonicMs())
  }

  /** Delay in ms after which a call is hedged; `undefined` until its p95 is known. */
  hedgeDelayMs (service: string, route: string): number | undefined {
    return this.#delay(service, route).delayMs()
  }

  #budget (service: string): RetryBudget {
    const known = this.#budgets.get(service)
    if (known !== undefined) return known
    const budget = new RetryBudget(this.#settings, this.#timers.monotonicMs())
    this.#budgets.set(service, budget)
    return budget
  }

  #delay (service: string, route: string): HedgeDelay {
    const name = `${service} ${route}`
    const known = this.#delays.get(name)
    if (known !== undefined) return known
    const delay = new HedgeDelay(this.#timers.monotonicMs())
    this.#delays.set(name, delay)
    return delay
  }
}
