/** What a holder knows of one budget: its slice and the reservations that wait for tokens. */
import { SpendRate } from './sizing.ts'
import type { BudgetLimits } from './limits.ts'

export interface WaitingReservation {
  /** Names the request to whoever asked. */
  readonly id: number
  readonly tokens: number
  readonly arrivedMs: number
  readonly expiresMs: number
}

export class HeldBudget {
  /** Cap in the stored shard as far as it is known; 0 without a slice. */
  storedCapTokens = 0
  hasStoredSlice = false
  /** Most tokens that may be spent: the smallest cap that may be in force. */
  usableCapTokens = 0
  openTokens = 0
  openCount = 0
  /** All settled tokens since the slice was opened. */
  settledTokens = 0
  /** Settled tokens of reservations at or below the settled sequence. */
  coveredTokens = 0
  /** A write that closes the slice was sent and is not known to have failed. */
  isClosing = false
  isRecalled = false
  largestTokens = 0
  lastUsedMs: number
  tightUntilMs = 0
  /** No recall before this time. */
  nextRecallMs = 0
  isRecalling = false
  /** Holders that did not answer the last recall may have idle tokens. */
  hasUnreachableHolder = false
  /** Age up to which the known shard is good enough to refuse. */
  refuseWithinMs = 0
  /** Tokens that were left at the last refusal. */
  refusedTokens = 0
  waiting: WaitingReservation[] = []
  readonly rate: SpendRate

  constructor (nowMs: number, limits: BudgetLimits) {
    this.lastUsedMs = nowMs
    this.rate = new SpendRate(limits.rateWindowMs)
  }

  /** Tokens that are spent or reserved. */
  get usedTokens (): number {
    return this.settledTokens + this.openTokens
  }

  /** Tokens that can be reserved now. */
  get idleTokens (): number {
    return this.isClosing ? 0 : this.usableCapTokens - this.usedTokens
  }

  /** Whether nothing is lost when this state is dropped. */
  get isDisposable (): boolean {
    return !this.hasStoredSlice && !this.isClosing && this.openCount === 0 && this.usedTokens === 0 && this.waiting.length === 0
  }

  noteRequest (tokens: number, nowMs: number): void {
    this.lastUsedMs = nowMs
    this.largestTokens = Math.max(this.largestTokens, tokens)
  }

  /** The slice is closed; a later draw opens a new one. */
  forgetSlice (): void {
    this.storedCapTokens = 0
    this.hasStoredSlice = false
    this.usableCapTokens = 0
    this.settledTokens = 0
    this.coveredTokens = 0
    this.isClosing = false
  }
}
