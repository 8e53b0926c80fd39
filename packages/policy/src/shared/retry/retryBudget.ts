/** Retry budget: retries stay a share of first attempts, so that a failing service is not flooded. */

export interface RetryBudgetSettings {
  /** Retries earned by each first attempt. */
  readonly share: number
  /** Most retries saved up. */
  readonly limit: number
  /** Retries earned per second without traffic, so that a quiet service may retry too. */
  readonly perSecond: number
}

export const defaultRetryBudget: RetryBudgetSettings = { share: 0.1, limit: 20, perSecond: 0.5 }

export class RetryBudget {
  readonly #settings: RetryBudgetSettings
  #balance: number
  #earnedAtMs: number

  constructor (settings: RetryBudgetSettings, nowMs: number) {
    this.#settings = settings
    this.#balance = settings.limit
    this.#earnedAtMs = nowMs
  }

  recordFirstAttempt (): void {
    this.#balance = Math.min(this.#settings.limit, this.#balance + this.#settings.share)
  }

  /** Takes one retry; false when the budget is used up. */
  tryTake (nowMs: number): boolean {
    this.#earn(nowMs)
    if (this.#balance < 1) return false
    this.#balance -= 1
    return true
  }

  #earn (nowMs: number): void {
    const earned = Math.max(0, nowMs - this.#earnedAtMs) / 1000 * this.#settings.perSecond
    this.#balance = Math.min(this.#settings.limit, this.#balance + earned)
    this.#earnedAtMs = nowMs
  }
}
