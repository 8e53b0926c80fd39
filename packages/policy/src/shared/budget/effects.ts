/** What a holder asks of the process around it, and what it gets back. */
import type { BudgetShard } from './shard.ts'

export type ReserveAnswer =
  /** `settledSeq` is the flushed one. */
  | { readonly kind: 'reserved', readonly seq: number, readonly settledSeq: number }
  | { readonly kind: 'exhausted', readonly retryAfterMs: number }
  | { readonly kind: 'unavailable', readonly retryAfterMs: number }

export type HolderEffect =
  /** Read the shard; answer with `readDone`. */
  | { readonly kind: 'read' }
  /** Write the shard; answer with `writeDone`. */
  | { readonly kind: 'write', readonly value: BudgetShard, readonly expectedVersion: number }
  /** Ask the holders to return idle tokens; answer with `recallDone`. */
  | { readonly kind: 'recall', readonly holders: readonly string[], readonly budgets: readonly string[] }
  | { readonly kind: 'answer', readonly id: number, readonly answer: ReserveAnswer }
  /** The recall by another holder is written, or nothing was to return. */
  | { readonly kind: 'recalled', readonly id: number }
  /** Somebody closed a slice of this holder: it may use none of its slices any more. */
  | { readonly kind: 'fenced' }
  /** A reservation that nobody settled was counted as wholly spent. */
  | { readonly kind: 'orphan', readonly budget: string, readonly seq: number, readonly tokens: number }
  /** A write was stopped by an invariant. */
  | { readonly kind: 'invariant', readonly detail: string }
  /** The shard has slices of these holders. */
  | { readonly kind: 'holdersSeen', readonly holders: readonly string[] }

export type ReadOutcome =
  | { readonly kind: 'read', readonly version: number, readonly shard: BudgetShard }
  | { readonly kind: 'failed' }

export type WriteOutcome =
  | { readonly kind: 'written', readonly version: number }
  | { readonly kind: 'conflict' }
  /** No reply: the write may take effect, now or later. */
  | { readonly kind: 'unknown' }
  /** The platform took nothing and will not. */
  | { readonly kind: 'refused' }
