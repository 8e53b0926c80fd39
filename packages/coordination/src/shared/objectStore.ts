/** The platform's object API as the rest of the system sees it. */
import type { Result } from 'ts-results-es'
import { serviceKey, type Unsubscribe } from '@buckthorndrift/kernel'

export interface StoredObject {
  readonly name: string
  /** Increases with each write of the object, and stays above old versions when a removed object is written again. */
  readonly version: number
  readonly value: unknown
}

export type StoreFailure =
  /** Another write came first; `version` is the present one, 0 when there is no object. */
  | { readonly kind: 'conflict', readonly version: number }
  /** No answer, or an answer that the API is overloaded. A write may have taken effect when `mayHaveApplied` is true. */
  | { readonly kind: 'unavailable', readonly mayHaveApplied: boolean, readonly detail: string }
  /** The API rejected the call, for example a value above a megabyte. */
  | { readonly kind: 'rejected', readonly detail: string }

export interface ObjectChange {
  readonly name: string
  readonly version: number
  readonly isRemoved: boolean
}

export interface WatchAnswer {
  /** Revision to continue from. */
  readonly revision: number
  readonly changes: readonly ObjectChange[]
  /** True when changes after the given revision are no longer known; the caller lists the prefix again. */
  readonly isReset?: boolean
}

export interface ListedVm {
  readonly vm: string
  readonly state: 'live' | 'leaving'
}

export interface ObjectStore {
  /** Reads an object; `undefined` when there is none. */
  read (name: string): Promise<Result<StoredObject | undefined, StoreFailure>>
  /** Writes if the present version is `expectedVersion` (0: there must be no object). Returns the new version. */
  write (name: string, value: unknown, expectedVersion: number): Promise<Result<number, StoreFailure>>
  /** Removes if the present version is `expectedVersion`. */
  remove (name: string, expectedVersion: number): Promise<Result<void, StoreFailure>>
  /** Names and versions below a prefix, in order, after `after`, at most `limit`. */
  list (prefix: string, options?: { readonly after?: string, readonly limit?: number }): Promise<Result<readonly ObjectChange[], StoreFailure>>
  /** Waits up to `waitMs` for changes below a prefix after `revision`. */
  watch (prefix: string, revision: number, waitMs: number): Promise<Result<WatchAnswer, StoreFailure>>
  /** The lagging list of VMs. */
  vms (): Promise<Result<readonly ListedVm[], StoreFailure>>
}

export const objectStoreKey = serviceKey<ObjectStore>('objectStore')

/** Documents held by this process, see docs/design.md section 9. */
export interface Documents {
  /** The newest known version, or `undefined`. */
  get (name: string): StoredObject | undefined
  /** Calls `listener` for each newer version of a document whose name begins with `prefix`. */
  subscribe (prefix: string, listener: (document: StoredObject) => void): Unsubscribe
  /** Takes a document learned from the platform, for example by the process's own write, and passes it on. */
  learn (document: StoredObject): void
  /** Reads a document from the platform now; used before decisions that need the present version. */
  refresh (name: string): Promise<Result<StoredObject | undefined, StoreFailure>>
}

export const documentsKey = serviceKey<Documents>('documents')
