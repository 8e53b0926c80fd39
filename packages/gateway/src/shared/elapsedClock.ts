/**
 * Clock that also counts the time for which the VM was suspended. The monotonic
 * clock of Node.js stops during a suspension, so a deadline measured only with
 * the monotonic clock would expire too late by the length of the suspension.
 */

/** A suspension is assumed when the wall clock advances by more than this time beyond the monotonic clock between two readings. */
const minSuspensionMs = 400

export interface ClockSource {
  wallMs (): number
  monotonicMs (): number
}

export class ElapsedClock {
  readonly #source: ClockSource
  #offsetMs: number
  #suspendedMs = 0

  constructor (source: ClockSource) {
    this.#source = source
    this.#offsetMs = source.wallMs() - source.monotonicMs()
  }

  /** Time in ms since an arbitrary origin; never decreases. */
  nowMs (): number {
    const monotonicMs = this.#source.monotonicMs()
    const offsetMs = this.#source.wallMs() - monotonicMs
    const leadMs = offsetMs - this.#offsetMs
    // Small differences are adjustments of the wall clock. A step backwards is never a suspension.
    if (leadMs > minSuspensionMs) this.#suspendedMs += leadMs
    this.#offsetMs = offsetMs
    return monotonicMs + this.#suspendedMs
  }
}
