/** Interfaces of the platform's object API and of the documents that each process replicates from it. */
import type { Result } from 'ts-results-es'
import { serviceKey, type Unsubscribe } from '@buckthorndrift/kernel'

export interface StoredObject {
  readonly name: string
  /** Increases with each write, also when a removed object is created again. */
  readonly version: number
  readonly value: unknown
}

export type StoreFailure =
  /** The object is not at the expected version. `version` is its current version, or 0 if it does not exist. */
  | { readonly kind: 'conflict', readonly version: number }
  /** The API did not respond, or responded that it cannot serve the call now. If `mayHaveApplied` is true, a write may have taken effect. */
  | { readonly kind: 'unavailable', readonly mayHaveApplied: boolean, readonly detail: string }
  /** The API rejected the call, for example because the value exceeds a megabyte. */
  | { readonly kind: 'rejected', readonly detail: string }

export interface ObjectChange {
  readonly name: string
  readonly version: number
  readonly isRemoved: boolean
}

export interface WatchAnswer {
  /** Revision to pass to the next watch call. */
  readonly revision: number
  readonly changes: readonly ObjectChange[]
  /** True if the API no longer has all changes after the given revision; the caller must list the prefix again. */
  readonly isReset?: boolean
}

/** An entry of the platform's VM list. */
export interface ListedVm {
  readonly vm: string
  readonly state: 'live' | 'leaving'
}

export interface ObjectStore {
  /** Reads an object; `undefined` if it does not exist. */
  read (name: string): Promise<Result<StoredObject | undefined, StoreFailure>>
  /** Writes the object if its current version is `expectedVersion`; 0 means that it must not exist. Returns the new version. */
  write (name: string, value: unknown, expectedVersion: number): Promise<Result<number, StoreFailure>>
  /** Removes the object if its current version is `expectedVersion`. */
  remove (name: string, expectedVersion: number): Promise<Result<void, StoreFailure>>
  /** Returns names and versions of the objects below a prefix, ordered by name: those after `after`, at most `limit`. */
  list (prefix: string, options?: { readonly after?: string, readonly limit?: number }): Promise<Result<readonly ObjectChange[], StoreFailure>>
  /** Waits up to `waitMs` for changes below a prefix that are newer than `revision`. */
  watch (prefix: string, revision: number, waitMs: number): Promise<Result<WatchAnswer, StoreFailure>>
  /** Reads the list of VMs, which lags behind their actual state. */
  vms (): Promise<Result<readonly ListedVm[], StoreFailure>>
}

export const objectStoreKey = serviceKey<ObjectStore>('objectStore')

/**
 * Documents: platform objects, such as configuration and member lists, that
 * every process holds a copy of. Copies are updated by watching the platform
 * and by exchanges between processes; see docs/design.md section 9.
 */
export interface Documents {
  /** Returns the newest version known to this process, or `undefined`. */
  get (name: string): StoredObject | undefined
  /** Calls `listener` for each newer version of a document whose name starts with `prefix`. */
  subscribe (prefix: string, listener: (document: StoredObject) => void): Unsubscribe
  /** Stores a document that this process read from or wrote to the platform, and pushes it to other processes. */
  learn (document: StoredObject): void
  /** Reads a document from the platform, for decisions that need its current version. */
  refresh (name: string): Promise<Result<StoredObject | undefined, StoreFailure>>
}

export const documentsKey = serviceKey<Documents>('documents')
