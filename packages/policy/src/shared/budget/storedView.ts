/** What a holder knows of the stored shard, and which of its writes may still take effect. */
import { findSlice, type BudgetShard } from './shard.ts'
import type { HeldBudget } from './heldBudget.ts'
import type { WritePlan } from './writePlan.ts'

export class StoredView {
  #known: { readonly version: number, readonly shard: BudgetShard, readonly asOfMs: number } | undefined
  /** Version that the last write without a reply expected; it can take effect as long as this version is the present one. */
  #unresolvedVersion: number | undefined
  #flushedSeq = 0
  readonly #holder: string

  constructor (holder: string) {
    this.#holder = holder
  }

  get known (): { readonly version: number, readonly shard: BudgetShard, readonly asOfMs: number } | undefined {
    return this.#known
  }

  /** Settled sequence that the platform has for certain. */
  get flushedSeq (): number {
    return this.#flushedSeq
  }

  /** Whether a write without a reply may still take effect. */
  get isUnresolved (): boolean {
    return this.#unresolvedVersion !== undefined
  }

  /** The known shard is out of date. */
  invalidate (): void {
    this.#known = undefined
  }

  /** A smaller cap counts before its write is sent. */
  beginWrite (plan: WritePlan, held: ReadonlyMap<string, HeldBudget>): void {
    for (const change of plan.changes) {
      const budget = held.get(change.budget)
      if (budget === undefined) continue
      budget.usableCapTokens = Math.min(budget.usableCapTokens, change.capTokens)
      if (change.isClosed) budget.isClosing = true
    }
  }

  /** The write is confirmed: a larger cap counts from now on. */
  confirmWrite (plan: WritePlan, version: number, held: ReadonlyMap<string, HeldBudget>, asOfMs: number): void {
    this.#known = { version, shard: plan.value, asOfMs }
    this.#unresolvedVersion = undefined
    this.#flushedSeq = plan.settledSeq
    for (const change of plan.changes) {
      const budget = held.get(change.budget)
      if (budget === undefined) continue
      if (change.isClosed) {
        budget.forgetSlice()
        continue
      }
      budget.hasStoredSlice = true
      budget.isClosing = false
      budget.storedCapTokens = change.capTokens
      budget.usableCapTokens = change.capTokens
    }
  }

  /** The write got no reply. */
  noteUnresolved (expectedVersion: number): void {
    this.#unresolvedVersion = expectedVersion
    this.#known = undefined
  }

  /** The write had no effect and will have none. */
  noteRefused (held: ReadonlyMap<string, HeldBudget>): void {
    if (this.#unresolvedVersion !== undefined) return
    for (const budget of held.values()) {
      budget.usableCapTokens = budget.storedCapTokens
      budget.isClosing = false
    }
  }

  /**
   * Takes a read. Returns false when a slice of this holder was closed by
   * somebody else. While the version is the one that an unresolved write
   * expects, that write can still take effect, so caps do not grow.
   */
  takeRead (version: number, shard: BudgetShard, held: ReadonlyMap<string, HeldBudget>, asOfMs: number): boolean {
    const isResolved = this.#unresolvedVersion === undefined || version > this.#unresolvedVersion
    if (isResolved) this.#unresolvedVersion = undefined
    this.#known = { version, shard, asOfMs }
    for (const [name, budget] of held) {
      const stored = findSlice(shard.budgets.get(name), this.#holder)
      if (stored === undefined) {
        if (budget.hasStoredSlice && !budget.isClosing) return false
        if (budget.hasStoredSlice) budget.forgetSlice()
        continue
      }
      budget.hasStoredSlice = true
      budget.storedCapTokens = stored.capTokens
      if (!isResolved) continue
      budget.usableCapTokens = stored.capTokens
      budget.isClosing = false
    }
    if (isResolved) this.#flushedSeq = Math.max(this.#flushedSeq, shard.settledSeqs.get(this.#holder) ?? 0)
    return true
  }
}
