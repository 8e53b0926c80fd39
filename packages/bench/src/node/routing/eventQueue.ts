/** Events of a simulation in order of their time. */

interface Entry {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

function isBefore (left: Entry, right: Entry): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order)
}

export class EventQueue {
  readonly #heap: Entry[] = []
  #order = 0
  #nowMs = 0

  get nowMs (): number {
    return this.#nowMs
  }

  after (delayMs: number, run: () => void): void {
    this.#heap.push({ atMs: this.#nowMs + delayMs, order: ++this.#order, run })
    let index = this.#heap.length - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.#swapIfBefore(index, parent)) return
      index = parent
    }
  }

  /** Runs events up to `untilMs`, or until none is left. */
  run (untilMs: number): void {
    for (;;) {
      const next = this.#heap[0]
      if (next === undefined || next.atMs > untilMs) return
      this.#removeFirst()
      this.#nowMs = next.atMs
      next.run()
    }
  }

  #removeFirst (): void {
    const last = this.#heap.pop()
    if (last === undefined || this.#heap.length === 0) return
    this.#heap[0] = last
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      const right = left + 1
      if (left >= this.#heap.length) return
      const child = right < this.#heap.length && isBefore(this.#heap[right] as Entry, this.#heap[left] as Entry) ? right : left
      if (!this.#swapIfBefore(child, index)) return
      index = child
    }
  }

  #swapIfBefore (child: number, parent: number): boolean {
    const [lower, upper] = [this.#heap[child] as Entry, this.#heap[parent] as Entry]
    if (!isBefore(lower, upper)) return false
    this.#heap[child] = upper
    this.#heap[parent] = lower
    return true
  }
}
