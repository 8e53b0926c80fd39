/** Simulated time: events in order of their due time, then of their insertion. */

interface SimulatedEvent {
  readonly atMs: number
  readonly order: number
  run (): void
}

function isBefore (a: SimulatedEvent, b: SimulatedEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)
}

/** A binary heap; the manual timers of the kernel look at every entry for each event. */
export class EventQueue {
  nowMs = 0
  #order = 0
  readonly #heap: SimulatedEvent[] = []

  after (delayMs: number, run: () => void): void {
    const heap = this.#heap
    heap.push({ atMs: this.nowMs + delayMs, order: ++this.#order, run })
    for (let index = heap.length - 1; index > 0;) {
      const parent = (index - 1) >> 1
      if (!this.#swapIfBefore(index, parent)) break
      index = parent
    }
  }

  /** Runs all events up to `endMs`. */
  runUntil (endMs: number): void {
    for (let next = this.#heap[0]; next !== undefined && next.atMs <= endMs; next = this.#heap[0]) {
      this.#removeFirst()
      this.nowMs = next.atMs
      next.run()
    }
    this.nowMs = endMs
  }

  #removeFirst (): void {
    const heap = this.#heap
    const last = heap.pop()
    if (last === undefined || heap.length === 0) return
    heap[0] = last
    for (let index = 0; ;) {
      const child = this.#earlierChild(index)
      if (child === undefined || !this.#swapIfBefore(child, index)) return
      index = child
    }
  }

  #earlierChild (index: number): number | undefined {
    const [left, right] = [2 * index + 1, 2 * index + 2]
    const [first, second] = [this.#heap[left], this.#heap[right]]
    if (first === undefined) return undefined
    return second !== undefined && isBefore(second, first) ? right : left
  }

  #swapIfBefore (a: number, b: number): boolean {
    const [first, second] = [this.#heap[a], this.#heap[b]]
    if (first === undefined || second === undefined || !isBefore(first, second)) return false
    this.#heap[a] = second
    this.#heap[b] = first
    return true
  }
}
