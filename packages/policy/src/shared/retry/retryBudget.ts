/** Retry budget: limits retries to a share of first attempts, so that a failing service is not flooded. */

export interface RetryBudgetSettings {
  /** Retries earned by each first attempt. */
  readonly share: number
  /** Maximum number of retries saved up. */
  readonly limit: number
  /** Retries earned per second regardless of traffic, so that a service with little traffic may retry too. */
  readonly perSecond: number
}

export const defaultRetryBudget: RetryBudgetSettings = { share: 0.1, limit: 20, perSecond: 0.5 }

export class RetryBudget {
  readonly #settings: RetryBudgetSettings
  #balance: number
  #refilledAtMs: number

  constructor (settings: RetryBudgetSettings, nowMs: number) {
    this.#settings = settings
    this.#balance = settings.limit
    this.#refilledAtMs = nowMs
  }

  recordFirstAttempt (): void {
    this.#balance = Math.min(this.#settings.limit, this.#balance + this.#settings.share)
  }

  /** Takes one retry; false when the budget is exhausted. */
  tryTake (nowMs: number): boolean {
    this.#refill(nowMs)
    if (this.#balance < 1) return false
    this.#balance -= 1
    return true
  }

  #refill (nowMs: number): void {
    const earned = Math.max(0, nowMs - this.#refilledAtMs) / 1000 * this.#settings.perSecond
    this.#balance = Math.min(this.#settings.limit, this.#balance + earned)
    this.#refilledAtMs = nowMs
  }
}
