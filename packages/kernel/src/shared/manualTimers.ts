/** Timer service for tests and simulations, whose clock moves only on `advance`. */
import type { TimerService, Unsubscribe } from './timers.ts'

interface TimerEntry {
  readonly dueMs: number
  /** Order of scheduling; timers with the same due time run in this order. */
  readonly sequence: number
  /** `undefined` for a timer that runs once. */
  readonly intervalMs: number | undefined
  readonly listener: () => void
}

export class ManualTimers implements TimerService {
  #currentMs: number
  #lastId = 0
  readonly #entries = new Map<number, TimerEntry>()

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
    return this.#schedule(delayMs, undefined, listener)
  }

  every (intervalMs: number, listener: () => void): Unsubscribe {
    return this.#schedule(intervalMs, intervalMs, listener)
  }

  /** Advances the clock by `durationMs` and calls the listeners that become due, in order of their due time. */
  advance (durationMs: number): void {
    const endMs = this.#currentMs + durationMs
    for (let next = this.#findNextDue(endMs); next !== undefined; next = this.#findNextDue(endMs)) {
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

  #schedule (delayMs: number, intervalMs: number | undefined, listener: () => void): Unsubscribe {
    const id = ++this.#lastId
    this.#entries.set(id, { dueMs: this.#currentMs + delayMs, sequence: id, intervalMs, listener })
    return () => { this.#entries.delete(id) }
  }

  #findNextDue (endMs: number): readonly [number, TimerEntry] | undefined {
    let earliest: readonly [number, TimerEntry] | undefined
    for (const [id, entry] of this.#entries) {
      if (entry.dueMs > endMs) continue
      const isEarlier = earliest === undefined || entry.dueMs < earliest[1].dueMs ||
        (entry.dueMs === earliest[1].dueMs && entry.sequence < earliest[1].sequence)
      if (isEarlier) earliest = [id, entry]
    }
    return earliest
  }
}
