/** Slice sizes: how many idle tokens a holder aims to have. */
import type { BudgetLimits } from './limits.ts'

/** Rate of spend with exponential decay, in tokens per second. */
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

export interface SliceNeeds {
  readonly tokensPerSecond: number
  /** Largest reservation seen. */
  readonly largestTokens: number
  /** Tokens of the budget in no slice, plus the idle tokens of this slice. */
  readonly leftTokens: number
  /** Slices of other holders in this budget. */
  readonly otherSlices: number
  /** Whether reservations of all failure domains concentrate here. */
  readonly isCollector: boolean
  /** Whether another holder recalled idle tokens a short time ago. */
  readonly isTight: boolean
}

/**
 * Idle tokens to aim for. Near the end of a budget the collector takes all
 * that is left, because tokens in other slices or in none would not help the
 * requests that reach it.
 */
export function sliceTarget (needs: SliceNeeds, limits: BudgetLimits): number {
  if (needs.isTight && !needs.isCollector) return 0
  const spendTokens = Math.ceil(needs.tokensPerSecond * limits.targetMs / 1000)
  const wantedTokens = spendTokens + 2 * needs.largestTokens
  if (!needs.isCollector) return Math.min(wantedTokens, Math.floor(needs.leftTokens * limits.holderShare))
  const isNearEnd = needs.leftTokens <= limits.nearEndFactor * wantedTokens * (1 + needs.otherSlices)
  if (isNearEnd) return needs.leftTokens
  const spareTokens = Math.min(limits.collectorRequests * needs.largestTokens, Math.floor(needs.leftTokens * limits.collectorShare))
  return Math.max(wantedTokens, spareTokens)
}
