/**
 * Circuit breaker for the store, shared by all budget ledgers of one process.
 * During an outage one call probes the store at intervals. Other calls are not
 * made until a probe succeeds, because every call to the store is counted,
 * including refused ones.
 */

/** Interval of probe calls while the store does not respond. */
const probeIntervalMs = 400

export class StoreOutage {
  readonly #random: () => number
  #sinceMs: number | undefined
  #nextProbeMs = 0
  #endedMs = -Infinity

  constructor (random: () => number) {
    this.#random = random
  }

  /** Start of the outage; `undefined` while the store responds. */
  get sinceMs (): number | undefined {
    return this.#sinceMs
  }

  /** End of the last outage; `-Infinity` if there was none. What was read before it may be out of date. */
  get endedMs (): number {
    return this.#endedMs
  }

  recordResponse (nowMs: number): void {
    if (this.#sinceMs !== undefined) this.#endedMs = nowMs
    this.#sinceMs = undefined
  }

  recordFailure (nowMs: number): void {
    this.#sinceMs ??= nowMs
    this.#nextProbeMs = nowMs + probeIntervalMs * (0.75 + this.#random() / 2)
  }

  /** Whether a call may be made now. During an outage this admits one probe for each interval. */
  mayCall (nowMs: number): boolean {
    if (this.#sinceMs === undefined) return true
    if (nowMs < this.#nextProbeMs) return false
    this.#nextProbeMs = nowMs + probeIntervalMs
    return true
  }
}
