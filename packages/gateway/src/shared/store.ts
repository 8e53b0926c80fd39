/** Interface of the object store. */
import type { Unsubscribe } from '@buckthorndrift/kernel'
import type { Result } from 'ts-results-es'

/** Kinds of objects that the gateway reads or writes. */
export type ObjectKind = 'configuration' | 'endpoints' | 'rollouts' | 'budgets' | 'holderReports' | 'leases' | 'crashes' | 'routers' | 'evacuations'

export interface StoredObject {
  readonly name: string
  /** Revision of the last change of this object. Revisions increase with each change of any object, also when the store was restored from a copy: they contain the era. */
  readonly revision: number
  readonly value: unknown
  readonly status: unknown
}

export interface ObjectEvent {
  readonly object: StoredObject
  readonly isRemoved: boolean
}

export type StoreFailure =
  /** The object changed since the expected revision; `object` is its present state, if the store sent it. */
  | { readonly kind: 'conflict', readonly object: StoredObject | undefined }
  | { readonly kind: 'notFound' }
  /** The change history after the requested revision has been compacted, or the store was restored from an older copy. */
  | { readonly kind: 'compacted' }
  | { readonly kind: 'rejected', readonly detail: string }
  /** The store did not respond, or responded that it is overloaded. */
  | { readonly kind: 'unavailable', readonly mayHaveApplied: boolean, readonly detail: string }

export interface ObjectPage {
  readonly objects: readonly StoredObject[]
  readonly revision: number
}

export interface WatchPage {
  readonly events: readonly ObjectEvent[]
  /** Revision from which the next watch continues. */
  readonly revision: number
}

export type StoreResult<Value> = Promise<Result<Value, StoreFailure>>

export interface FleetStore {
  /** Number of times that the store was restored from a copy, as far as it says. A restore loses the changes since the copy was made. */
  era (): number
  /** Calls `listener` when a response shows that the store was restored from a copy. */
  onRestored (listener: () => void): Unsubscribe
  /** All objects of a kind. With `mayBeStale` the result may be seconds old, and the call costs the store less. */
  list (kind: ObjectKind, options?: { readonly mayBeStale?: boolean }): StoreResult<ObjectPage>
  /** Changes after `revision`. Waits up to `waitMs` for the first one. */
  watch (kind: ObjectKind, revision: number, waitMs: number): StoreResult<WatchPage>
  /** One object. With `mayBeStale` the result may be seconds old, and the call costs the store less. */
  read (kind: ObjectKind, name: string, options?: { readonly mayBeStale?: boolean }): StoreResult<StoredObject>
  create (kind: ObjectKind, name: string, value: unknown): StoreResult<StoredObject>
  /** Compare-and-set of the value: replaces it if the object is still at `revision`. */
  replace (kind: ObjectKind, name: string, value: unknown, revision: number): StoreResult<StoredObject>
  /** Compare-and-set of the status: replaces it if the object is still at `revision`. */
  replaceStatus (kind: ObjectKind, name: string, status: unknown, revision: number): StoreResult<StoredObject>
  /** Removes the object, whatever its revision. */
  remove (kind: ObjectKind, name: string): StoreResult<void>
}
