/** Simulated time: events in order of their due time, then of their insertion. */
import TinyQueue from 'tinyqueue'

interface SimulatedEvent {
  readonly atMs: number
  readonly order: number
  run (): void
}

function compare (a: SimulatedEvent, b: SimulatedEvent): number {
  return a.atMs - b.atMs || a.order - b.order
}

/** A heap; the manual timers of the kernel look at every entry for each event. */
export class EventQueue {
  #nowMs = 0
  #order = 0
  readonly #events = new TinyQueue<SimulatedEvent>([], compare)

  get nowMs (): number {
    return this.#nowMs
  }

  after (delayMs: number, run: () => void): void {
    this.#events.push({ atMs: this.#nowMs + delayMs, order: ++this.#order, run })
  }

  /** Runs all events up to `endMs`; time stays at the last one. */
  runUntil (endMs: number): void {
    for (let next = this.#events.peek(); next !== undefined && next.atMs <= endMs; next = this.#events.peek()) {
      this.#events.pop()
      this.#nowMs = next.atMs
      next.run()
    }
  }
}
