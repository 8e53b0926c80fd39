/** In-memory object store with fault injection, for tests. */
import { Err, Ok, type Result } from 'ts-results-es'
import type { TimerService } from '@buckthorndrift/kernel'
import type { ListedVm, ObjectChange, ObjectStore, StoredObject, StoreFailure, WatchAnswer } from './objectStore.ts'

interface Entry {
  readonly version: number
  /** The value as JSON text, so that two callers never get the same JavaScript object. */
  readonly text: string
}

/** Objects and their history of changes, shared by the stores of all processes in a test. */
export class MemoryObjects {
  readonly entries = new Map<string, Entry>()
  readonly changes: ObjectChange[] = []
  readonly listeners = new Set<() => void>()
  vms: readonly ListedVm[] = []
  /** Oldest revision that a watch can continue from. */
  oldestRevision = 0

  get revision (): number {
    return this.changes.length
  }

  /** Discards the history of changes; watches from earlier revisions are reset. */
  discardHistory (): void {
    this.oldestRevision = this.revision
  }

  /** Appends a change to the history. Returns its revision, which is also the object's new version. */
  recordChange (name: string, isRemoved: boolean): number {
    const version = this.revision + 1
    this.changes.push({ name, version, isRemoved })
    return version
  }

  notifyWatches (): void {
    for (const listener of [...this.listeners]) listener()
  }
}

export type MemoryStoreCall = 'read' | 'write' | 'remove' | 'list' | 'watch' | 'vms'

/**
 * Fault injected into one call. `lostRequest` never reaches the API.
 * `lostReply` takes effect but is not answered. `lateRequest` fails for the
 * caller and takes effect `lateMs` later. `unavailable` is refused without
 * taking effect.
 */
export type MemoryStoreFault = 'none' | 'lostRequest' | 'lostReply' | 'lateRequest' | 'unavailable'

export interface MemoryObjectStoreOptions {
  readonly timers: TimerService
  /** Objects shared with other stores; by default the store has its own. */
  readonly objects?: MemoryObjects
  /** Chooses the fault of each call; by default there are none. */
  readonly faultOf?: (call: MemoryStoreCall) => MemoryStoreFault
  /** Returns the duration of a call; 0 ms by default. */
  readonly delayMs?: () => number
  /** Delay after which a `lateRequest` takes effect; 50 ms by default. */
  readonly lateMs?: number
}

const maxValueBytes = 1_000_000

/** Object store of one process, with its own faults and counters. */
export class MemoryObjectStore implements ObjectStore {
  readonly objects: MemoryObjects
  /** While true, every call fails, as in an outage or a network partition. */
  isCutOff = false
  /** Number of successful writes and removals whose replies are still to be lost. */
  loseReplies = 0
  /** Calls so far by kind, including failed ones. */
  readonly counters: Record<MemoryStoreCall, number> = { read: 0, write: 0, remove: 0, list: 0, watch: 0, vms: 0 }
  readonly #options: MemoryObjectStoreOptions

  constructor (options: MemoryObjectStoreOptions) {
    this.#options = options
    this.objects = options.objects ?? new MemoryObjects()
  }

  read (name: string): Promise<Result<StoredObject | undefined, StoreFailure>> {
    return this.#call('read', () => {
      const entry = this.objects.entries.get(name)
      return Ok(entry === undefined ? undefined : { name, version: entry.version, value: JSON.parse(entry.text) as unknown })
    })
  }

  write (name: string, value: unknown, expectedVersion: number): Promise<Result<number, StoreFailure>> {
    const text = JSON.stringify(value)
    if (new TextEncoder().encode(text).length > maxValueBytes) {
      return Promise.resolve(Err({ kind: 'rejected', detail: `a value has at most ${maxValueBytes} bytes` }))
    }
    return this.#call('write', () => this.#apply(name, expectedVersion, text))
  }

  async remove (name: string, expectedVersion: number): Promise<Result<void, StoreFailure>> {
    const result = await this.#call('remove', () => expectedVersion === 0 ? Err({ kind: 'rejected', detail: 'a removal needs a version' }) : this.#apply(name, expectedVersion, undefined))
    return result.map(() => undefined)
  }

  list (prefix: string, options: { readonly after?: string, readonly limit?: number } = {}): Promise<Result<readonly ObjectChange[], StoreFailure>> {
    return this.#call('list', () => Ok([...this.objects.entries.entries()]
      .filter(([name]) => name.startsWith(prefix) && name > (options.after ?? ''))
      .map(([name, { version }]) => ({ name, version, isRemoved: false }))
      .sort((left, right) => left.name < right.name ? -1 : 1)
      .slice(0, options.limit ?? 1000)))
  }

  async watch (prefix: string, revision: number, waitMs: number): Promise<Result<WatchAnswer, StoreFailure>> {
    const first = await this.#call('watch', () => Ok(this.#changesSince(prefix, revision)))
    const hasAnswer = first.isErr() || first.value.changes.length > 0 || first.value.isReset === true
    if (hasAnswer || waitMs === 0) return first
    await this.#waitForChange(prefix, revision, waitMs)
    return this.isCutOff ? Err(this.#unavailable(false)) : Ok(this.#changesSince(prefix, revision))
  }

  vms (): Promise<Result<readonly ListedVm[], StoreFailure>> {
    return this.#call('vms', () => Ok(this.objects.vms))
  }

  /** Makes pending watches fail while `isCutOff` is true; call it after setting that. */
  interruptWatches (): void {
    this.objects.notifyWatches()
  }

  #unavailable (mayHaveApplied: boolean): StoreFailure {
    return { kind: 'unavailable', mayHaveApplied, detail: 'the object API did not answer' }
  }

  async #call<Value> (call: MemoryStoreCall, serve: () => Result<Value, StoreFailure>): Promise<Result<Value, StoreFailure>> {
    this.counters[call] += 1
    const isWrite = call === 'write' || call === 'remove'
    await this.#delay()
    const fault = this.isCutOff ? 'unavailable' : this.#options.faultOf?.(call) ?? 'none'
    if (fault === 'unavailable') return Err(this.#unavailable(false))
    if (fault === 'lostRequest') return Err(this.#unavailable(isWrite))
    if (fault === 'lateRequest') {
      this.#options.timers.after(this.#options.lateMs ?? 50, () => { serve() })
      return Err(this.#unavailable(isWrite))
    }
    const result = serve()
    const losesReply = fault === 'lostReply' || (isWrite && result.isOk() && this.loseReplies > 0)
    if (fault !== 'lostReply' && losesReply) this.loseReplies -= 1
    await this.#delay()
    return losesReply ? Err(this.#unavailable(isWrite)) : result
  }

  async #delay (): Promise<void> {
    const delayMs = (this.#options.delayMs?.() ?? 0) / 2
    if (delayMs > 0) await new Promise<void>(resolve => { this.#options.timers.after(delayMs, resolve) })
  }

  /** Writes `text`, or removes the object if `text` is `undefined`. */
  #apply (name: string, expectedVersion: number, text: string | undefined): Result<number, StoreFailure> {
    const currentVersion = this.objects.entries.get(name)?.version ?? 0
    if (currentVersion !== expectedVersion) return Err({ kind: 'conflict', version: currentVersion })
    const version = this.objects.recordChange(name, text === undefined)
    if (text === undefined) this.objects.entries.delete(name)
    else this.objects.entries.set(name, { version, text })
    this.objects.notifyWatches()
    return Ok(version)
  }

  #changesSince (prefix: string, revision: number): WatchAnswer {
    const currentRevision = this.objects.revision
    if (revision < this.objects.oldestRevision || revision > currentRevision) return { revision: currentRevision, changes: [], isReset: true }
    const newest = new Map(this.objects.changes.slice(revision)
      .filter(change => change.name.startsWith(prefix))
      .map(change => [change.name, change]))
    return { revision: currentRevision, changes: [...newest.values()] }
  }

  #waitForChange (prefix: string, revision: number, waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const finish = (): void => {
        cancel()
        this.objects.listeners.delete(check)
        resolve()
      }
      const check = (): void => {
        const answer = this.#changesSince(prefix, revision)
        if (this.isCutOff || answer.isReset === true || answer.changes.length > 0) finish()
      }
      const cancel = this.#options.timers.after(waitMs, finish)
      this.objects.listeners.add(check)
    })
  }
}
