/** Simulated clock: runs events in order of their due time, and in order of insertion for equal times. */
import TinyQueue from 'tinyqueue'

interface SimulatedEvent {
  readonly atMs: number
  readonly sequence: number
  run (): void
}

function compare (a: SimulatedEvent, b: SimulatedEvent): number {
  return a.atMs - b.atMs || a.sequence - b.sequence
}

/** Event queue on a binary heap, because the manual timers of the kernel scan every entry for each event. */
export class EventQueue {
  #nowMs = 0
  #sequence = 0
  readonly #events = new TinyQueue<SimulatedEvent>([], compare)

  get nowMs (): number {
    return this.#nowMs
  }

  after (delayMs: number, run: () => void): void {
    this.#events.push({ atMs: this.#nowMs + delayMs, sequence: ++this.#sequence, run })
  }

  /** Runs all events due up to `endMs`; the clock stops at the time of the last one. */
  runUntil (endMs: number): void {
    for (let next = this.#events.peek(); next !== undefined && next.atMs <= endMs; next = this.#events.peek()) {
      this.#events.pop()
      this.#nowMs = next.atMs
      next.run()
    }
  }
}
