/** Reads the objects below one prefix from the platform, and follows their changes while active. */
import type { Result } from 'ts-results-es'
import type { TimerService } from '@buckthorndrift/kernel'
import type { ObjectChange, ObjectStore, StoredObject, StoreFailure } from './objectStore.ts'

export interface PlatformWatchOptions {
  readonly prefix: string
  readonly store: ObjectStore
  readonly timers: TimerService
  /** Returns a random number in [0, 1), for the jitter of retries. */
  readonly random: () => number
  /** Version of the object that this process holds, 0 for none. Objects that are not newer are not read. */
  readonly versionOf: (name: string) => number
  /** Called for each object that was read from the platform. */
  readonly onObject: (object: StoredObject) => void
  /** Called for the first of several consecutive failures. */
  readonly onFailure: (detail: string) => void
  /** Longest time that one watch call waits for a change. */
  readonly maxWaitMs: number
}

/** Pause between watch calls. It debounces bursts: an object that changes often is read once per pause. */
const watchPauseMs = 50
const initialRetryDelayMs = 250
const maxRetryDelayMs = 10_000
const listPageSize = 1000

function unwrap<Value> (result: Result<Value, StoreFailure>): Value {
  if (result.isOk()) return result.value
  throw new Error(result.error.kind === 'unavailable' ? result.error.detail : `the object API call failed: ${result.error.kind}`)
}

export class PlatformWatch {
  readonly #options: PlatformWatchOptions
  #revision: number | undefined
  #isActive = false
  #isRunning = false

  constructor (options: PlatformWatchOptions) {
    this.#options = options
  }

  /** Starts or stops watching. A watch call in progress is not aborted. */
  setActive (isActive: boolean): void {
    this.#isActive = isActive
    if (!isActive || this.#isRunning) return
    this.#isRunning = true
    this.#run().finally(() => { this.#isRunning = false }).catch(() => {})
  }

  get prefix (): string {
    return this.#options.prefix
  }

  /** Whether all objects below the prefix have been read, so that watching can continue from the revision of that read. */
  get isLoaded (): boolean {
    return this.#revision !== undefined
  }

  /** Reads every object below the prefix that is newer than the version held. Throws if a call fails. */
  async readAll (): Promise<void> {
    // The revision is read before the list, so that no change between the two is missed.
    const { store, prefix } = this.#options
    const start = unwrap(await store.watch(prefix, 0, 0))
    if (start.isReset === true) await this.#readListed()
    else await this.#readChanged(start.changes)
    this.#revision = start.revision
  }

  /** Reads the changes since the last read, or all objects at first, without waiting for further changes. Does nothing while watching. Throws if a call fails. */
  async catchUp (): Promise<void> {
    if (!this.#isRunning) await this.#poll(0)
  }

  async #run (): Promise<void> {
    let failures = 0
    while (this.#isActive) {
      try {
        await this.#poll(this.#options.maxWaitMs)
        failures = 0
        await this.#delay(watchPauseMs)
      } catch (error) {
        if (failures === 0) this.#options.onFailure(error instanceof Error ? error.message : String(error))
        const retryMs = Math.min(maxRetryDelayMs, initialRetryDelayMs * 2 ** failures)
        failures += 1
        await this.#delay(retryMs * (0.5 + this.#options.random()))
      }
    }
  }

  async #poll (waitMs: number): Promise<void> {
    if (this.#revision === undefined) {
      await this.readAll()
      return
    }
    const answer = unwrap(await this.#options.store.watch(this.#options.prefix, this.#revision, waitMs))
    if (answer.isReset === true) {
      this.#revision = undefined
      return
    }
    await this.#readChanged(answer.changes)
    // The revision advances only after all reads have succeeded, so that a failed one is retried.
    this.#revision = answer.revision
  }

  async #readListed (): Promise<void> {
    let after = ''
    for (;;) {
      const page = unwrap(await this.#options.store.list(this.#options.prefix, { after, limit: listPageSize }))
      await this.#readChanged(page)
      const last = page.at(-1)
      if (last === undefined || page.length < listPageSize) return
      after = last.name
    }
  }

  async #readChanged (changes: readonly ObjectChange[]): Promise<void> {
    for (const change of changes) {
      if (change.isRemoved || change.version <= this.#options.versionOf(change.name)) continue
      const object = unwrap(await this.#options.store.read(change.name))
      if (object !== undefined) this.#options.onObject(object)
    }
  }

  #delay (durationMs: number): Promise<void> {
    return new Promise(resolve => { this.#options.timers.after(durationMs, resolve) })
  }
}
