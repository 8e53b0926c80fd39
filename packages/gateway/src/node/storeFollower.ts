/** Follows the objects of one kind: lists them once, then waits for changes, and lists again when the history is gone. */
import type { TimerService } from '@buckthorndrift/kernel'
import type { FleetStore, ObjectKind, StoredObject, StoreFailure } from '../shared/store.ts'

export interface FollowerListener {
  /** A new or changed object. */
  onObject (object: StoredObject): void
  onRemoved (name: string): void
  /** All names of a full list, after its objects were reported. */
  onListed (names: ReadonlySet<string>): void
  /** The store stopped or began to answer. */
  onContact (isInContact: boolean, detail: string): void
}

export interface FollowerOptions {
  readonly kind: ObjectKind
  readonly store: FleetStore
  readonly timers: TimerService
  readonly random: () => number
  readonly listener: FollowerListener
  /** Longest wait of one call. It bounds how long a silent connection goes unnoticed. */
  readonly waitMs: number
  /** Pause after an answer, so that a run of changes costs one call. */
  readonly pauseMs: number
}

const firstRetryMs = 100
const longestRetryMs = 800

export class StoreFollower {
  readonly #options: FollowerOptions
  #revision: number | undefined
  #failures = 0
  #isStopped = false
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

  get isInContact (): boolean {
    return this.#failures === 0 && this.#revision !== undefined
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
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
    const answer = await store.list(kind)
    if (answer.isErr()) return answer.error
    this.#noteContact()
    for (const object of answer.value.objects) listener.onObject(object)
    listener.onListed(new Set(answer.value.objects.map(object => object.name)))
    this.#revision = answer.value.revision
    return undefined
  }

  async #watch (revision: number): Promise<StoreFailure | undefined> {
    const { kind, store, listener, waitMs } = this.#options
    // After an outage the first call does not wait, so that the return of the store is known at once.
    const answer = await store.watch(kind, revision, this.#failures > 0 ? 0 : waitMs)
    if (answer.isErr()) return answer.error
    this.#noteContact()
    for (const event of answer.value.events) {
      if (event.isRemoved) listener.onRemoved(event.object.name)
      else listener.onObject(event.object)
    }
    this.#revision = answer.value.revision
    return undefined
  }

  async #handle (failure: StoreFailure): Promise<void> {
    if (failure.kind === 'compacted') {
      this.#revision = undefined
      return
    }
    const detail = failure.kind === 'unavailable' || failure.kind === 'rejected' ? failure.detail : failure.kind
    if (this.#failures === 0) this.#options.listener.onContact(false, detail)
    const retryMs = Math.min(longestRetryMs, firstRetryMs * 2 ** this.#failures)
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
