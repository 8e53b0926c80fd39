/**
 * What the calls of one process know together about an outage of the store. One
 * of them tries again at intervals; the others wait for its success, because
 * every call is counted, also one that is refused.
 */

/** Interval of attempts while the store does not answer. */
const probeIntervalMs = 400

export class StoreOutage {
  readonly #random: () => number
  #sinceMs: number | undefined
  #nextProbeMs = 0

  constructor (random: () => number) {
    this.#random = random
  }

  /** When the outage began; `undefined` while the store answers. */
  get sinceMs (): number | undefined {
    return this.#sinceMs
  }

  noteAnswer (): void {
    this.#sinceMs = undefined
  }

  noteFailure (nowMs: number): void {
    this.#sinceMs ??= nowMs
    this.#nextProbeMs = nowMs + probeIntervalMs * (0.75 + this.#random() / 2)
  }

  /** Whether a call may be made now; during an outage only the one that tries again. */
  mayCall (nowMs: number): boolean {
    if (this.#sinceMs === undefined) return true
    if (nowMs < this.#nextProbeMs) return false
    this.#nextProbeMs = nowMs + probeIntervalMs
    return true
  }
}
