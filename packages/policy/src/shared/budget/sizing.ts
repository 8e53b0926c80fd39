/** Slice sizes: the target of a holder for its idle tokens. */
import type { BudgetLimits } from './limits.ts'

/** Spending rate as an exponentially decaying average, in tokens per second. */
export class SpendRate {
  #tokens = 0
  #atMs = 0
  readonly #windowMs: number

  constructor (windowMs: number) {
    this.#windowMs = windowMs
  }

  add (tokens: number, nowMs: number): void {
    this.#decay(nowMs)
    this.#tokens += tokens
  }

  tokensPerSecond (nowMs: number): number {
    this.#decay(nowMs)
    return this.#tokens * 1000 / this.#windowMs
  }

  #decay (nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#atMs)
    this.#tokens *= Math.exp(-elapsedMs / this.#windowMs)
    this.#atMs = Math.max(nowMs, this.#atMs)
  }
}

/** Inputs of `sliceTarget`. */
export interface SliceNeeds {
  readonly tokensPerSecond: number
  /** Size of the largest reservation that was requested. */
  readonly largestTokens: number
  /** Tokens of the budget that no slice has, plus the idle tokens of this slice. */
  readonly leftTokens: number
  /** Number of other holders with a slice of this budget. */
  readonly otherSliceCount: number
  /** Whether this router is the shard's collector, to which routers of all failure domains may send reservations. */
  readonly isCollector: boolean
  /** Whether another holder recalled idle tokens a short time ago. */
  readonly isScarce: boolean
}

/**
 * Target for the idle tokens of a slice. When the budget is nearly exhausted, the
 * collector takes all remaining tokens, because requests that reach the collector
 * cannot use tokens outside its slice.
 */
export function sliceTarget (needs: SliceNeeds, limits: BudgetLimits): number {
  if (needs.isScarce && !needs.isCollector) return 0
  const spendTokens = Math.ceil(needs.tokensPerSecond * limits.targetMs / 1000)
  const wantedTokens = spendTokens + 2 * needs.largestTokens
  if (!needs.isCollector) return Math.min(wantedTokens, Math.floor(needs.leftTokens * limits.holderShare))
  const isNearEnd = needs.leftTokens <= limits.nearEndFactor * wantedTokens * (1 + needs.otherSliceCount)
  if (isNearEnd) return needs.leftTokens
  const spareTokens = Math.min(limits.collectorRequests * needs.largestTokens, Math.floor(needs.leftTokens * limits.collectorShare))
  return Math.max(wantedTokens, spareTokens)
}
