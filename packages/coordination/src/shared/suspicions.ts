/** Processes that this process cannot reach; a suspicion ends by contact or after a pause without evidence. */
import type { TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { serviceKey } from '@buckthorndrift/kernel'

export class Suspicions {
  readonly #timers: TimerService
  readonly #pauseMs: number
  readonly #expiries = new Map<string, Unsubscribe>()
  readonly #listeners = new Set<() => void>()

  /** `pauseMs` without further evidence ends a suspicion, so that the process is tried again. */
  constructor (timers: TimerService, pauseMs: number) {
    this.#timers = timers
    this.#pauseMs = pauseMs
  }

  noteUnreachable (id: string): void {
    const isNew = !this.#expiries.has(id)
    this.#expiries.get(id)?.()
    this.#expiries.set(id, this.#timers.after(this.#pauseMs, () => { this.noteAlive(id) }))
    if (isNew) this.#notify()
  }

  noteAlive (id: string): void {
    const cancel = this.#expiries.get(id)
    if (cancel === undefined) return
    cancel()
    this.#expiries.delete(id)
    this.#notify()
  }

  isSuspected (id: string): boolean {
    return this.#expiries.has(id)
  }

  /** Calls `listener` after each change. */
  subscribe (listener: () => void): Unsubscribe {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  #notify (): void {
    for (const listener of [...this.#listeners]) listener()
  }
}

/** Shared by the documents, which gather evidence every 2 s, and the membership. */
export const suspicionsKey = serviceKey<Suspicions>('suspicions')
