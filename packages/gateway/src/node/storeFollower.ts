/** Follows the objects of one kind: lists them once, then watches for changes, and lists them again when the change history was compacted. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import type { FleetStore, ObjectKind, StoredObject, StoreFailure } from '../shared/store.ts'

export interface FollowerListener {
  /** A new or changed object. */
  onObject (object: StoredObject): void
  onRemoved (name: string): void
  /** Called after each full list with the names of all its objects, once they were reported. */
  onListed (names: ReadonlySet<string>): void
  /** Called when the store stops or resumes responding. */
  onContact (isInContact: boolean, detail: string): void
}

export interface FollowerOptions {
  readonly kind: ObjectKind
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  readonly random: () => number
  readonly listener: FollowerListener
  /** Longest wait of one watch call. It bounds how long a silent connection goes undetected. */
  waitMs (): number
  /** Pause after each response, so that one call returns a whole burst of changes. */
  readonly pauseMs: number
  /** Lists the objects after a failure, and does not go on with the watch. This is for large objects of which only the latest state counts; a watch would send each state that was missed. */
  readonly listsAfterFailure?: boolean
}

const initialRetryMs = 100
const maxRetryMs = 800

export class StoreFollower {
  readonly #options: FollowerOptions
  #revision: number | undefined
  #failures = 0
  #isStopped = false
  #isRelistDue = false
  #wake: (() => void) | undefined

  constructor (options: FollowerOptions) {
    this.#options = options
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
    this.#wake?.()
  }

  /** Lists all objects again after the current call. */
  relist (): void {
    this.#isRelistDue = true
  }

  get isInContact (): boolean {
    return this.#failures === 0 && this.#revision !== undefined
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      if (this.#isRelistDue) this.#revision = undefined
      const failure = this.#revision === undefined ? await this.#list() : await this.#watch(this.#revision)
      if (failure === undefined) {
        this.#noteContact()
        await this.#pause(this.#options.pauseMs)
      } else {
        await this.#handle(failure)
      }
    }
  }

  async #list (): Promise<StoreFailure | undefined> {
    const { kind, store, listener } = this.#options
    const result = await store.list(kind)
    if (result.isErr()) return result.error
    this.#isRelistDue = false
    this.#noteContact()
    for (const object of result.value.objects) this.#apply(object)
    listener.onListed(new Set(result.value.objects.map(object => object.name)))
    this.#revision = result.value.revision
    return undefined
  }

  async #watch (revision: number): Promise<StoreFailure | undefined> {
    const { kind, store, listener, waitMs } = this.#options
    // The first call after a failure does not wait for changes, so that the recovery of the store is detected at once.
    const result = await store.watch(kind, revision, this.#failures > 0 ? 0 : waitMs())
    if (result.isErr()) return result.error
    this.#noteContact()
    for (const event of result.value.events) {
      if (event.isRemoved) listener.onRemoved(event.object.name)
      else this.#apply(event.object)
    }
    this.#revision = result.value.revision
    return undefined
  }

  /** Applies one object. An object that another writer left must not keep the others from being followed. */
  #apply (object: StoredObject): void {
    const { kind, log, listener } = this.#options
    try {
      listener.onObject(object)
    } catch (error) {
      log.event('objectNotApplied', { kind, object: object.name, revision: object.revision, cause: String(error) })
    }
  }

  async #handle (failure: StoreFailure): Promise<void> {
    if (failure.kind === 'compacted') {
      this.#revision = undefined
      return
    }
    const detail = failure.kind === 'unavailable' || failure.kind === 'rejected' ? failure.detail : failure.kind
    if (this.#failures === 0) this.#options.listener.onContact(false, detail)
    if (this.#options.listsAfterFailure === true) this.#revision = undefined
    const retryMs = Math.min(maxRetryMs, initialRetryMs * 2 ** this.#failures)
    this.#failures++
    await this.#pause(retryMs * (0.5 + this.#options.random()))
  }

  #noteContact (): void {
    if (this.#failures > 0) this.#options.listener.onContact(true, '')
    this.#failures = 0
  }

  #pause (durationMs: number): Promise<void> {
    if (durationMs <= 0) return Promise.resolve()
    return new Promise(resolve => {
      this.#wake = resolve
      this.#options.timers.after(durationMs, resolve)
    })
  }
}
