/**
 * A holder's view of the stored shard: the last known version, and whether a
 * write without a reply may still take effect.
 */
import { findSlice, type BudgetShard } from './shard.ts'
import type { HeldBudget } from './heldBudget.ts'
import type { WritePlan } from './writePlan.ts'

export class StoredView {
  #known: { readonly version: number, readonly shard: BudgetShard, readonly asOfMs: number } | undefined
  /** Expected version of the last write without a reply. That write can take effect while the stored version is this one. */
  #unresolvedVersion: number | undefined
  #flushedSeq = 0
  readonly #holder: string

  constructor (holder: string) {
    this.#holder = holder
  }

  get known (): { readonly version: number, readonly shard: BudgetShard, readonly asOfMs: number } | undefined {
    return this.#known
  }

  /** Settled sequence that is confirmed to be stored. */
  get flushedSeq (): number {
    return this.#flushedSeq
  }

  /** Whether a write without a reply may still take effect. */
  get isUnresolved (): boolean {
    return this.#unresolvedVersion !== undefined
  }

  /** Discards the known shard because it is out of date. */
  invalidate (): void {
    this.#known = undefined
  }

  /** Applies smaller caps before their write is sent, so that the holder never spends beyond the stored cap. */
  beginWrite (plan: WritePlan, held: ReadonlyMap<string, HeldBudget>): void {
    for (const change of plan.changes) {
      const budget = held.get(change.budget)
      if (budget === undefined) continue
      budget.usableCapTokens = Math.min(budget.usableCapTokens, change.capTokens)
      if (change.isClosed) budget.isClosing = true
    }
  }

  /** Applies a confirmed write; larger caps may be used from now on. */
  confirmWrite (plan: WritePlan, version: number, held: ReadonlyMap<string, HeldBudget>, asOfMs: number): void {
    this.#known = { version, shard: plan.value, asOfMs }
    this.#unresolvedVersion = undefined
    this.#flushedSeq = plan.settledSeq
    for (const change of plan.changes) {
      const budget = held.get(change.budget)
      if (budget === undefined) continue
      if (change.isClosed) {
        budget.clearSlice()
        continue
      }
      budget.hasStoredSlice = true
      budget.isClosing = false
      budget.storedCapTokens = change.capTokens
      budget.usableCapTokens = change.capTokens
    }
  }

  /** Records that a write had no definite result: it got no reply or was reported as a conflict. */
  markUnresolved (expectedVersion: number): void {
    this.#unresolvedVersion = expectedVersion
    this.#known = undefined
  }

  /** Restores the caps after a write that had no effect and will have none, unless an earlier write is still unresolved. */
  markRefused (held: ReadonlyMap<string, HeldBudget>): void {
    if (this.#unresolvedVersion !== undefined) return
    for (const budget of held.values()) {
      budget.usableCapTokens = budget.storedCapTokens
      budget.isClosing = false
    }
  }

  /**
   * Applies a read of the shard. Returns false when another process closed a
   * slice of this holder. While the version is the one that an unresolved write
   * expects, that write can still take effect, so the usable caps do not grow.
   */
  applyRead (version: number, shard: BudgetShard, held: ReadonlyMap<string, HeldBudget>, asOfMs: number): boolean {
    const isResolved = this.#unresolvedVersion === undefined || version > this.#unresolvedVersion
    if (isResolved) this.#unresolvedVersion = undefined
    this.#known = { version, shard, asOfMs }
    for (const [name, budget] of held) {
      const stored = findSlice(shard.budgets.get(name), this.#holder)
      if (stored === undefined) {
        if (budget.hasStoredSlice && !budget.isClosing) return false
        if (budget.hasStoredSlice) budget.clearSlice()
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
