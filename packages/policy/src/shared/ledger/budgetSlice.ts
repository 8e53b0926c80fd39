/** The part of an organisation's budget that this router may spend by itself. */

/** Time constant of the spending rate. */
const rateTimeMs = 6000
/** The rate is estimated from this time after the start at the earliest. */
const leastRateTimeMs = 1000

/**
 * Share of a slice that requests of a rank leave to more urgent ones, by rank.
 * It matters when a slice cannot be refilled: the urgent requests of most
 * organisations are small, and would otherwise find it spent on large ones.
 */
const keptShares: readonly number[] = [0, 0.08, 0.16]

const nearlySpentShare = 0.2

export class BudgetSlice {
  /** Granted to this router by the ledger. */
  #ownTokens = 0
  /** Borrowed from other routers. */
  #borrowedTokens = 0
  #spentTokens = 0
  #reservedTokens = 0
  /** Size of the slice when it was last filled. */
  #filledTokens = 0
  #ratePerMs = 0
  #rateUpdatedMs: number
  readonly #startedMs: number

  constructor (nowMs: number) {
    this.#rateUpdatedMs = nowMs
    this.#startedMs = nowMs
  }

  get grantedTokens (): number {
    return this.#ownTokens + this.#borrowedTokens
  }

  get ownTokens (): number {
    return this.#ownTokens
  }

  /** Tokens spent or reserved of the own ones, which are used up before borrowed ones. */
  get ownCommittedTokens (): number {
    return Math.min(this.#ownTokens, this.committedTokens)
  }

  /** Tokens spent or reserved; the grant never falls below it. */
  get committedTokens (): number {
    return this.#spentTokens + this.#reservedTokens
  }

  get availableTokens (): number {
    return this.grantedTokens - this.committedTokens
  }

  /** Whether little is left of what the slice held when it was last filled. */
  get isNearlySpent (): boolean {
    return this.availableTokens <= this.#filledTokens * nearlySpentShare
  }

  /** Takes over what the ledger grants. */
  setOwnTokens (tokens: number): void {
    this.#ownTokens = tokens
  }

  setBorrowedTokens (tokens: number): void {
    this.#borrowedTokens = tokens
  }

  /** Notes that the slice was filled for the coming seconds; 0 when tokens are granted for each request. */
  setFilledTokens (tokens: number): void {
    this.#filledTokens = tokens
  }

  /**
   * Reserves the largest size of a request; false when the slice does not cover
   * it, or keeps the rest for more urgent ones. Rank 0 is the most urgent. Without
   * a time the request does not count as spending of this router.
   */
  tryReserve (tokens: number, rank: number, nowMs: number | undefined): boolean {
    const keptShare = keptShares[Math.min(rank, keptShares.length - 1)] ?? 0
    if (tokens > this.availableTokens - keptShare * this.#filledTokens) return false
    this.#reservedTokens += tokens
    if (nowMs !== undefined) this.recordSpending(tokens, nowMs)
    return true
  }

  /** Sets tokens aside for another router, whose spending is not this router's. */
  tryLend (tokens: number): boolean {
    if (tokens > this.availableTokens) return false
    this.#reservedTokens += tokens
    return true
  }

  /** Ends a reservation with what was consumed. */
  settle (reservedTokens: number, consumedTokens: number): void {
    this.#reservedTokens -= reservedTokens
    this.#spentTokens += Math.min(reservedTokens, consumedTokens)
  }

  /** Tokens per ms reserved lately. */
  ratePerMs (nowMs: number): number {
    // A moving rate that began at 0 is too low by the part of it that lies before the start.
    const elapsedMs = Math.max(leastRateTimeMs, nowMs - this.#startedMs)
    return this.#movingRate(nowMs) / (1 - Math.exp(-elapsedMs / rateTimeMs))
  }

  /** Counts tokens as spent at this time. */
  recordSpending (tokens: number, nowMs: number): void {
    this.#ratePerMs = this.#movingRate(nowMs) + tokens / rateTimeMs
    this.#rateUpdatedMs = nowMs
  }

  #movingRate (nowMs: number): number {
    return this.#ratePerMs * Math.exp(-(nowMs - this.#rateUpdatedMs) / rateTimeMs)
  }
}
