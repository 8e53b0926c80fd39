/** A timer service that moves only when told to, for tests and randomised runs. */
import type { TimerService, Unsubscribe } from './timers.ts'

interface Entry {
  readonly dueMs: number
  readonly order: number
  readonly intervalMs: number | undefined
  readonly listener: () => void
}

export class ManualTimers implements TimerService {
  #currentMs: number
  #order = 0
  readonly #entries = new Map<number, Entry>()

  constructor (startMs = 0) {
    this.#currentMs = startMs
  }

  nowMs (): number {
    return this.#currentMs
  }

  monotonicMs (): number {
    return this.#currentMs
  }

  after (delayMs: number, listener: () => void): Unsubscribe {
    return this.#add(delayMs, undefined, listener)
  }

  every (intervalMs: number, listener: () => void): Unsubscribe {
    return this.#add(intervalMs, intervalMs, listener)
  }

  /** Moves time on by `durationMs` and calls due listeners in order of their due time. */
  advance (durationMs: number): void {
    const endMs = this.#currentMs + durationMs
    for (let next = this.#nextDue(endMs); next !== undefined; next = this.#nextDue(endMs)) {
      const [id, entry] = next
      this.#currentMs = Math.max(this.#currentMs, entry.dueMs)
      if (entry.intervalMs === undefined) {
        this.#entries.delete(id)
      } else {
        this.#entries.set(id, { ...entry, dueMs: entry.dueMs + entry.intervalMs })
      }
      entry.listener()
    }
    this.#currentMs = endMs
  }

  #add (delayMs: number, intervalMs: number | undefined, listener: () => void): Unsubscribe {
    const id = ++this.#order
    this.#entries.set(id, { dueMs: this.#currentMs + delayMs, order: id, intervalMs, listener })
    return () => { this.#entries.delete(id) }
  }

  #nextDue (endMs: number): readonly [number, Entry] | undefined {
    let best: readonly [number, Entry] | undefined
    for (const [id, entry] of this.#entries) {
      if (entry.dueMs > endMs) continue
      const isEarlier = best === undefined || entry.dueMs < best[1].dueMs ||
        (entry.dueMs === best[1].dueMs && entry.order < best[1].order)
      if (isEarlier) best = [id, entry]
    }
    return best
  }
}
