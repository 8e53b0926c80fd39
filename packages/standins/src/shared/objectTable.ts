/** In-memory objects of the platform's object API, with versions, conditional updates and a change history. */

export interface TableChange {
  readonly revision: number
  readonly name: string
  readonly version: number
  readonly isRemoved: boolean
}

export interface TableObject {
  readonly version: number
  readonly value: unknown
}

/** Result of a write or removal. `version` is the revision of the change if it was applied. Otherwise it is the current version of the object, or 0 if the object does not exist. */
export interface TableWriteResult {
  readonly isApplied: boolean
  readonly version: number
}

export interface TableChanges {
  readonly revision: number
  /** Newest change of each object since the requested revision; `undefined` when that revision is older than the kept history or newer than the current revision. */
  readonly changes: readonly TableChange[] | undefined
}

/** Minimum number of recent changes kept for watches; a watch from an older revision gets 410. */
const defaultHistoryLimit = 10_000

/** An object's version is the revision of the whole table at its last write. An object that is removed and created again therefore gets a version above its old ones. */
export class ObjectTable {
  #revision = 0
  #oldestRevision = 0
  #history: TableChange[] = []
  readonly #objects = new Map<string, TableObject>()
  readonly #listeners = new Set<() => void>()
  readonly #historyLimit: number

  constructor (historyLimit = defaultHistoryLimit) {
    this.#historyLimit = historyLimit
  }

  get revision (): number {
    return this.#revision
  }

  read (name: string): TableObject | undefined {
    return this.#objects.get(name)
  }

  /** Writes the object if its current version is `expectedVersion`; 0 means that it must not exist. */
  write (name: string, value: unknown, expectedVersion: number): TableWriteResult {
    const currentVersion = this.#objects.get(name)?.version ?? 0
    if (currentVersion !== expectedVersion) return { isApplied: false, version: currentVersion }
    const version = this.#revision + 1
    this.#objects.set(name, { version, value })
    this.#record({ revision: version, name, version, isRemoved: false })
    return { isApplied: true, version }
  }

  /** Removes the object if it exists and its current version is `expectedVersion`. */
  remove (name: string, expectedVersion: number): TableWriteResult {
    const currentVersion = this.#objects.get(name)?.version ?? 0
    if (currentVersion === 0 || currentVersion !== expectedVersion) return { isApplied: false, version: currentVersion }
    this.#objects.delete(name)
    const version = this.#revision + 1
    this.#record({ revision: version, name, version, isRemoved: true })
    return { isApplied: true, version }
  }

  /** Objects whose name starts with `prefix` and sorts after `after`, in order of UTF-16 code units. */
  list (prefix: string, after: string, limit: number): ReadonlyArray<{ readonly name: string, readonly version: number }> {
    const names = [...this.#objects.keys()].filter(name => name.startsWith(prefix) && name > after).sort()
    return names.slice(0, limit).map(name => ({ name, version: this.#objects.get(name)?.version ?? 0 }))
  }

  /** Changes of objects whose name starts with `prefix`, after the revision `since`. */
  changesSince (prefix: string, since: number): TableChanges {
    if (since < this.#oldestRevision || since > this.#revision) return { revision: this.#revision, changes: undefined }
    const newest = new Map<string, TableChange>()
    for (const change of this.#history) {
      if (change.revision > since && change.name.startsWith(prefix)) newest.set(change.name, change)
    }
    return { revision: this.#revision, changes: [...newest.values()] }
  }

  /** Calls `listener` after each change until the returned function is called. */
  subscribe (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  #record (change: TableChange): void {
    this.#revision = change.revision
    this.#history.push(change)
    // Trims only at twice the limit, so that the amortised cost of a write stays constant.
    if (this.#history.length > this.#historyLimit * 2) {
      this.#history = this.#history.slice(-this.#historyLimit)
      this.#oldestRevision = (this.#history[0]?.revision ?? 1) - 1
    }
    for (const listener of [...this.#listeners]) listener()
  }
}
