/** Follows one prefix of the platform's objects while this process is chosen to watch. */
import type { Result } from 'ts-results-es'
import type { TimerService } from '@buckthorndrift/kernel'
import type { ObjectChange, ObjectStore, StoredObject, StoreFailure } from './objectStore.ts'

export interface PlatformWatchOptions {
  readonly prefix: string
  readonly store: ObjectStore
  readonly timers: TimerService
  /** Numbers from 0 below 1, for the jitter of retries. */
  readonly random: () => number
  /** Version held here, 0 for none; objects up to it are not read. */
  readonly versionOf: (name: string) => number
  readonly onObject: (object: StoredObject) => void
  readonly onFailure: (detail: string) => void
  /** Longest wait of one watch call, 30 000 ms. */
  readonly waitMs: number
}

/** Pause between watch calls, so that a burst of changes costs one read per object and pause. */
const pauseMs = 50
const firstRetryMs = 250
const longestRetryMs = 10_000
const listLimit = 1000

function unwrap<Value> (result: Result<Value, StoreFailure>): Value {
  if (result.isOk()) return result.value
  throw new Error(result.error.kind === 'unavailable' ? result.error.detail : `the object API answered ${result.error.kind}`)
}

export class PlatformWatch {
  readonly #options: PlatformWatchOptions
  #revision: number | undefined
  #isActive = false
  #isRunning = false

  constructor (options: PlatformWatchOptions) {
    this.#options = options
  }

  /** Starts or ends watching; a call in progress is finished first. */
  setActive (isActive: boolean): void {
    this.#isActive = isActive
    if (!isActive || this.#isRunning) return
    this.#isRunning = true
    this.#run().finally(() => { this.#isRunning = false }).catch(() => {})
  }

  get prefix (): string {
    return this.#options.prefix
  }

  /** Whether all objects below the prefix were read once; changes since then are known from the revision. */
  get isLoaded (): boolean {
    return this.#revision !== undefined
  }

  /** Reads every object below the prefix that is newer than the one held. Throws when the platform does not answer. */
  async readAll (): Promise<void> {
    // The revision is taken before the list, so that no change falls between the two.
    const { store, prefix } = this.#options
    const start = unwrap(await store.watch(prefix, 0, 0))
    if (start.isReset === true) await this.#readListed()
    else await this.#readChanged(start.changes)
    this.#revision = start.revision
  }

  /** Reads what changed since the last call without waiting. Throws when the platform does not answer. */
  async catchUp (): Promise<void> {
    if (!this.#isRunning) await this.#step(0)
  }

  async #run (): Promise<void> {
    let failures = 0
    while (this.#isActive) {
      try {
        await this.#step(this.#options.waitMs)
        failures = 0
        await this.#pause(pauseMs)
      } catch (error) {
        if (failures === 0) this.#options.onFailure(error instanceof Error ? error.message : String(error))
        const retryMs = Math.min(longestRetryMs, firstRetryMs * 2 ** failures)
        failures += 1
        await this.#pause(retryMs * (0.5 + this.#options.random()))
      }
    }
  }

  async #step (waitMs: number): Promise<void> {
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
    // Not moved on before all reads succeeded, so that a failed one is repeated.
    this.#revision = answer.revision
  }

  async #readListed (): Promise<void> {
    let after = ''
    for (;;) {
      const page = unwrap(await this.#options.store.list(this.#options.prefix, { after, limit: listLimit }))
      await this.#readChanged(page)
      const last = page.at(-1)
      if (last === undefined || page.length < listLimit) return
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

  #pause (durationMs: number): Promise<void> {
    return new Promise(resolve => { this.#options.timers.after(durationMs, resolve) })
  }
}
