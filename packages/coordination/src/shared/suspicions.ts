/** Tracks processes that did not answer this process. A suspicion ends on contact, or expires without a further report. */
import type { TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { serviceKey } from '@buckthorndrift/kernel'

export class Suspicions {
  readonly #timers: TimerService
  readonly #expiryMs: number
  readonly #cancelExpiryById = new Map<string, Unsubscribe>()
  readonly #listeners = new Set<() => void>()

  /** A suspicion expires `expiryMs` after the last report, so that the process is tried again. */
  constructor (timers: TimerService, expiryMs: number) {
    this.#timers = timers
    this.#expiryMs = expiryMs
  }

  /** Reports that a process did not answer; starts or extends its suspicion. */
  noteUnreachable (id: string): void {
    const isNew = !this.#cancelExpiryById.has(id)
    this.#cancelExpiryById.get(id)?.()
    this.#cancelExpiryById.set(id, this.#timers.after(this.#expiryMs, () => { this.noteAlive(id) }))
    if (isNew) this.#notify()
  }

  /** Reports that a process answered; ends its suspicion. */
  noteAlive (id: string): void {
    const cancel = this.#cancelExpiryById.get(id)
    if (cancel === undefined) return
    cancel()
    this.#cancelExpiryById.delete(id)
    this.#notify()
  }

  isSuspected (id: string): boolean {
    return this.#cancelExpiryById.has(id)
  }

  /** Calls `listener` when a suspicion starts or ends. */
  subscribe (listener: () => void): Unsubscribe {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  #notify (): void {
    for (const listener of [...this.#listeners]) listener()
  }
}

/** Shared by the documents service, which contacts a router every 2 s and reports the outcome, and the membership service. */
export const suspicionsKey = serviceKey<Suspicions>('suspicions')
