/** Objects of the platform's object API, in memory: versions, conditional updates, change history. */

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

/** `version` is the new one when written, and the present one (0 for none) on conflict. */
export interface TableWrite {
  readonly isApplied: boolean
  readonly version: number
}

export interface TableChanges {
  readonly revision: number
  /** Newest change of each object; `undefined` when the history no longer reaches back to the revision asked for. */
  readonly changes: readonly TableChange[] | undefined
}

/** Changes kept for watches; a watch from an older revision is answered 410. */
const defaultHistoryLimit = 10_000

/** Versions are revisions of the whole table, so an object written again after its removal stays above its old versions. */
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

  /** Writes if the present version is `expectedVersion`; 0 means that there must be no object. */
  write (name: string, value: unknown, expectedVersion: number): TableWrite {
    const present = this.#objects.get(name)?.version ?? 0
    if (present !== expectedVersion) return { isApplied: false, version: present }
    const version = this.#revision + 1
    this.#objects.set(name, { version, value })
    this.#record({ revision: version, name, version, isRemoved: false })
    return { isApplied: true, version }
  }

  remove (name: string, expectedVersion: number): TableWrite {
    const present = this.#objects.get(name)?.version ?? 0
    if (present === 0 || present !== expectedVersion) return { isApplied: false, version: present }
    this.#objects.delete(name)
    const version = this.#revision + 1
    this.#record({ revision: version, name, version, isRemoved: true })
    return { isApplied: true, version }
  }

  /** Names below `prefix` and after `after` in code unit order. */
  list (prefix: string, after: string, limit: number): ReadonlyArray<{ readonly name: string, readonly version: number }> {
    const names = [...this.#objects.keys()].filter(name => name.startsWith(prefix) && name > after).sort()
    return names.slice(0, limit).map(name => ({ name, version: this.#objects.get(name)?.version ?? 0 }))
  }

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
    // Trims in halves, so that the cost per write stays constant.
    if (this.#history.length > this.#historyLimit * 2) {
      this.#history = this.#history.slice(-this.#historyLimit)
      this.#oldestRevision = (this.#history[0]?.revision ?? 1) - 1
    }
    for (const listener of [...this.#listeners]) listener()
  }
}
