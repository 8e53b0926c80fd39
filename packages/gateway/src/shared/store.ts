/** The object store as the gateway uses it. */
import type { Result } from 'ts-results-es'

/** Kinds of objects that the gateway reads or writes. */
export type ObjectKind = 'configuration' | 'endpoints' | 'rollouts' | 'budgets' | 'leases' | 'crashes'

export interface StoredObject {
  readonly name: string
  /** Increases with each change of any object. */
  readonly revision: number
  readonly value: unknown
  readonly status: unknown
}

export interface ObjectEvent {
  readonly object: StoredObject
  readonly isRemoved: boolean
}

export type StoreFailure =
  /** Another write came first; carries the object as it is, if the store sent it. */
  | { readonly kind: 'conflict', readonly object: StoredObject | undefined }
  | { readonly kind: 'notFound' }
  /** The history after the requested revision is gone. */
  | { readonly kind: 'compacted' }
  | { readonly kind: 'rejected', readonly detail: string }
  /** No answer, or one that says the store is overloaded. */
  | { readonly kind: 'unavailable', readonly mayHaveApplied: boolean, readonly detail: string }

export interface ObjectPage {
  readonly objects: readonly StoredObject[]
  readonly revision: number
}

export interface WatchPage {
  readonly events: readonly ObjectEvent[]
  /** Revision to continue from. */
  readonly revision: number
}

export type StoreResult<Value> = Promise<Result<Value, StoreFailure>>

export interface FleetStore {
  /** Every object of a kind. An answer that may be seconds old costs less. */
  list (kind: ObjectKind, options?: { readonly mayBeStale?: boolean }): StoreResult<ObjectPage>
  /** Changes after `revision`; waits up to `waitMs` for the first one. */
  watch (kind: ObjectKind, revision: number, waitMs: number): StoreResult<WatchPage>
  /** One object. An answer that may be seconds old costs less. */
  read (kind: ObjectKind, name: string, options?: { readonly mayBeStale?: boolean }): StoreResult<StoredObject>
  create (kind: ObjectKind, name: string, value: unknown): StoreResult<StoredObject>
  /** Replaces the value if the object is still at `revision`. */
  replace (kind: ObjectKind, name: string, value: unknown, revision: number): StoreResult<StoredObject>
  /** Replaces the status if the object is still at `revision`. */
  replaceStatus (kind: ObjectKind, name: string, status: unknown, revision: number): StoreResult<StoredObject>
}
