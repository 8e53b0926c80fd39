/** The part of an organisation's budget that this router may spend by itself. */

/** Time constant of the spending rate. */
const rateTimeMs = 3000

export class BudgetSlice {
  #grantedTokens = 0
  #spentTokens = 0
  #reservedTokens = 0
  #ratePerMs = 0
  #rateUpdatedMs: number

  constructor (nowMs: number) {
    this.#rateUpdatedMs = nowMs
  }

  get grantedTokens (): number {
    return this.#grantedTokens
  }

  /** Tokens spent or reserved; the grant never falls below it. */
  get committedTokens (): number {
    return this.#spentTokens + this.#reservedTokens
  }

  get availableTokens (): number {
    return this.#grantedTokens - this.committedTokens
  }

  /** Takes over what the store has confirmed. */
  setGranted (tokens: number): void {
    this.#grantedTokens = tokens
  }

  /** Reserves the largest size of a request; false when the slice does not cover it. */
  tryReserve (tokens: number, nowMs: number): boolean {
    if (tokens > this.availableTokens) return false
    this.#reservedTokens += tokens
    this.#noteRate(tokens, nowMs)
    return true
  }

  /** Ends a reservation with what was consumed. */
  settle (reservedTokens: number, consumedTokens: number): void {
    this.#reservedTokens -= reservedTokens
    this.#spentTokens += Math.min(reservedTokens, consumedTokens)
  }

  /** Tokens per ms reserved lately. */
  ratePerMs (nowMs: number): number {
    return this.#ratePerMs * Math.exp(-(nowMs - this.#rateUpdatedMs) / rateTimeMs)
  }

  #noteRate (tokens: number, nowMs: number): void {
    this.#ratePerMs = this.ratePerMs(nowMs) + tokens / rateTimeMs
    this.#rateUpdatedMs = nowMs
  }
}
