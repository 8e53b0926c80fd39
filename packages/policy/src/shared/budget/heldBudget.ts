/** A holder's state for one budget: its slice, and the reservations that wait for tokens. */
import { SpendRate } from './sizing.ts'
import type { BudgetLimits } from './limits.ts'

export interface WaitingReservation {
  /** Id that the caller of `reserve` chose; the `answer` effect has the same id. */
  readonly id: number
  readonly tokens: number
  readonly arrivedMs: number
  readonly expiresMs: number
}

export class HeldBudget {
  /** Cap of the slice in the last known version of the stored shard; 0 without a slice. */
  storedCapTokens = 0
  hasStoredSlice = false
  /** Maximum tokens that may be spent. While the result of a write is unknown, this is the smallest cap that the platform may have stored. */
  usableCapTokens = 0
  /** Tokens of the open reservations. */
  openTokens = 0
  /** Number of open reservations. */
  openCount = 0
  /** Tokens settled since the slice was opened. */
  settledTokens = 0
  /** The part of `settledTokens` whose reservations are at or below the holder's settled sequence. */
  coveredTokens = 0
  /** A write that closes the slice was sent and is not known to have failed. */
  isClosing = false
  /** Another holder asked for the idle tokens, and they are not returned yet. */
  isRecalled = false
  /** Size of the largest reservation that was requested. */
  largestTokens = 0
  lastUsedMs: number
  /** Time until which the budget counts as scarce, because another holder recalled its idle tokens. */
  scarceUntilMs = 0
  /** Earliest time of this holder's next recall. */
  nextRecallMs = 0
  /** This holder asked the others for their idle tokens, and not all have answered. */
  isRecalling = false
  /** Whether a holder did not answer the last recall; it may have idle tokens. */
  hasUnreachableHolder = false
  /** A reservation is refused without another read while the known version of the shard is at most this old. */
  refusalMaxAgeMs = 0
  /** Tokens that were available at the last refusal. */
  leftTokensAtRefusal = 0
  waiting: WaitingReservation[] = []
  readonly rate: SpendRate

  constructor (nowMs: number, limits: BudgetLimits) {
    this.lastUsedMs = nowMs
    this.rate = new SpendRate(limits.rateWindowMs)
  }

  /** Tokens that are settled or reserved. */
  get usedTokens (): number {
    return this.settledTokens + this.openTokens
  }

  /** Tokens that can be reserved now. */
  get idleTokens (): number {
    return this.isClosing ? 0 : this.usableCapTokens - this.usedTokens
  }

  /** Whether this state can be deleted without losing information. */
  get isDisposable (): boolean {
    return !this.hasStoredSlice && !this.isClosing && this.openCount === 0 && this.usedTokens === 0 && this.waiting.length === 0
  }

  recordRequest (tokens: number, nowMs: number): void {
    this.lastUsedMs = nowMs
    this.largestTokens = Math.max(this.largestTokens, tokens)
  }

  /** Resets the state of the slice after it was closed; a later write may open a new one. */
  clearSlice (): void {
    this.storedCapTokens = 0
    this.hasStoredSlice = false
    this.usableCapTokens = 0
    this.settledTokens = 0
    this.coveredTokens = 0
    this.isClosing = false
  }
}
