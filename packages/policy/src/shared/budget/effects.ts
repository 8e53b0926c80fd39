/** Effects that a `ShardHolder` returns to its caller, and the results that the caller passes back. */
import type { BudgetShard } from './shard.ts'

export type ReserveAnswer =
  /** `settledSeq` is the sequence up to which all reservations of the holder are settled and stored. Endpoints may drop the entries of these reservations. */
  | { readonly kind: 'reserved', readonly seq: number, readonly settledSeq: number }
  | { readonly kind: 'exhausted', readonly retryAfterMs: number }
  | { readonly kind: 'unavailable', readonly retryAfterMs: number }

export type HolderEffect =
  /** Read the shard, then call `readDone`. */
  | { readonly kind: 'read' }
  /** Write the shard, then call `writeDone`. */
  | { readonly kind: 'write', readonly value: BudgetShard, readonly expectedVersion: number }
  /** Ask the holders to return idle tokens, then call `recallDone`. */
  | { readonly kind: 'recall', readonly holders: readonly string[], readonly budgets: readonly string[] }
  /** The answer to the call of `reserve` with this id. */
  | { readonly kind: 'answer', readonly id: number, readonly answer: ReserveAnswer }
  /** The call of `recall` with this id is complete: the returned tokens are written, or there were none. */
  | { readonly kind: 'recalled', readonly id: number }
  /** The holder must not use its slices any more, because it was fenced or another process closed one of them. */
  | { readonly kind: 'fenced' }
  /** A reservation was not settled within `orphanMs` and now counts as spent in full. */
  | { readonly kind: 'orphan', readonly budget: string, readonly seq: number, readonly tokens: number }
  /** A write was withheld because it would break an invariant. */
  | { readonly kind: 'invariant', readonly detail: string }
  /** The shard, as just read, has slices of these holders and of no others. */
  | { readonly kind: 'holdersSeen', readonly holders: readonly string[] }

export type ReadOutcome =
  | { readonly kind: 'read', readonly version: number, readonly shard: BudgetShard }
  | { readonly kind: 'failed' }

export type WriteOutcome =
  | { readonly kind: 'written', readonly version: number }
  | { readonly kind: 'conflict' }
  /** No reply: the write may have taken effect, or may do so later. */
  | { readonly kind: 'unknown' }
  /** The platform rejected the write; it had no effect and will have none. */
  | { readonly kind: 'refused' }
