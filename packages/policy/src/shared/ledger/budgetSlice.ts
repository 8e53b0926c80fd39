/** The part of an organisation's budget that this router may spend without asking the ledger. */

/** Time constant of the moving average of the spending rate. */
const rateTimeConstantMs = 6000
/** The rate is averaged over at least this time, also shortly after the start. */
const minRateTimeMs = 1000

/**
 * Share of a slice that requests of a rank may not use, indexed by rank; it is left
 * for more urgent requests. Rank 0 is the most urgent. It matters when a slice
 * cannot be refilled: the urgent requests of most organisations are small, and
 * large requests would use up the slice before them.
 */
const withheldShares: readonly number[] = [0, 0.08, 0.16]

/** The slice is nearly spent when at most this share of its last fill is available. */
const nearlySpentFillShare = 0.2

export class BudgetSlice {
  /** Tokens that the ledger grants to this router. */
  #ownTokens = 0
  /** Tokens borrowed from other routers. */
  #borrowedTokens = 0
  #spentTokens = 0
  #reservedTokens = 0
  /** Idle tokens when the slice was last filled. */
  #filledTokens = 0
  #largestRequestTokens = 0
  #ratePerMs = 0
  #rateUpdatedMs: number
  readonly #startedMs: number
  readonly #releaseLimit: () => number

  /** `releaseLimit` returns the own tokens that may be committed now, see `ReleaseLine`. */
  constructor (nowMs: number, releaseLimit: () => number = () => Infinity) {
    this.#rateUpdatedMs = nowMs
    this.#startedMs = nowMs
    this.#releaseLimit = releaseLimit
  }

  /** Time since the slice was created, in ms. */
  ageMs (nowMs: number): number {
    return nowMs - this.#startedMs
  }

  get grantedTokens (): number {
    return this.#ownTokens + this.#borrowedTokens
  }

  get ownTokens (): number {
    return this.#ownTokens
  }

  /** The part of the own tokens that is spent or reserved; own tokens are used before borrowed ones. */
  get ownCommittedTokens (): number {
    return Math.min(this.#ownTokens, this.committedTokens)
  }

  /** Tokens that are spent or reserved; a plan never lowers the grant below them. */
  get committedTokens (): number {
    return this.#spentTokens + this.#reservedTokens
  }

  /** Granted tokens that are neither spent nor reserved. */
  get idleTokens (): number {
    return this.grantedTokens - this.committedTokens
  }

  /** Idle tokens that may be committed now. */
  get availableTokens (): number {
    return Math.min(this.#ownTokens, this.#releaseLimit()) + this.#borrowedTokens - this.committedTokens
  }

  /** Own tokens that are committed at least: all that exceed the borrowed ones. */
  get minOwnCommittedTokens (): number {
    return Math.max(0, this.committedTokens - this.#borrowedTokens)
  }

  /** Size of the largest request that was reserved. */
  get largestRequestTokens (): number {
    return this.#largestRequestTokens
  }

  get isNearlySpent (): boolean {
    return this.idleTokens <= this.#filledTokens * nearlySpentFillShare
  }

  /** Sets the tokens that the ledger grants. */
  setOwnTokens (tokens: number): void {
    this.#ownTokens = tokens
  }

  /** Sets the tokens borrowed from other routers, in total. */
  setBorrowedTokens (tokens: number): void {
    this.#borrowedTokens = tokens
  }

  /** Sets the idle tokens after a refill; 0 when tokens are granted for each request separately. */
  setFilledTokens (tokens: number): void {
    this.#filledTokens = tokens
  }

  /**
   * Reserves the maximum size of a request. Returns false when the slice does not
   * cover it, or withholds the rest for more urgent requests. Rank 0 is the most
   * urgent. If `nowMs` is undefined, the spending rate does not count the request.
   */
  tryReserve (tokens: number, rank: number, nowMs: number | undefined): boolean {
    const withheldShare = withheldShares[Math.min(rank, withheldShares.length - 1)] ?? 0
    if (tokens > this.availableTokens || tokens > this.idleTokens - withheldShare * this.#filledTokens) return false
    this.#reservedTokens += tokens
    this.#largestRequestTokens = Math.max(this.#largestRequestTokens, tokens)
    if (nowMs !== undefined) this.recordSpending(tokens, nowMs)
    return true
  }

  /** Reserves tokens that are lent to another router; the spending rate does not count them. */
  tryLend (tokens: number): boolean {
    if (tokens > this.availableTokens) return false
    this.#reservedTokens += tokens
    return true
  }

  /** Settles a reservation at the consumed tokens, limited to the reserved ones. */
  settle (reservedTokens: number, consumedTokens: number): void {
    this.#reservedTokens -= reservedTokens
    this.#spentTokens += Math.min(reservedTokens, consumedTokens)
  }

  /** Spending rate: moving average of the tokens per ms that this router reserves for its own requests or its borrowers spend. */
  ratePerMs (nowMs: number): number {
    // Corrects for the time before the start, which the moving average counts as time without spending.
    const elapsedMs = Math.max(minRateTimeMs, nowMs - this.#startedMs)
    return this.#movingRate(nowMs) / (1 - Math.exp(-elapsedMs / rateTimeConstantMs))
  }

  /** Adds tokens to the spending rate. */
  recordSpending (tokens: number, nowMs: number): void {
    this.#ratePerMs = this.#movingRate(nowMs) + tokens / rateTimeConstantMs
    this.#rateUpdatedMs = nowMs
  }

  #movingRate (nowMs: number): number {
    return this.#ratePerMs * Math.exp(-(nowMs - this.#rateUpdatedMs) / rateTimeConstantMs)
  }
}
