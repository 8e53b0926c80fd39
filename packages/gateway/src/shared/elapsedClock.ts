/**
 * Time that includes suspensions of the VM. The monotonic clock of Node.js
 * stands still while a VM is suspended, so a deadline measured by it alone
 * would be too long by the suspension.
 */

/** Lead of the wall clock over the monotonic clock that is taken for a suspension. */
const suspensionMs = 400

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

  /** Time in ms from an arbitrary origin; never goes back. */
  nowMs (): number {
    const monotonicMs = this.#source.monotonicMs()
    const offsetMs = this.#source.wallMs() - monotonicMs
    const leadMs = offsetMs - this.#offsetMs
    // Small differences are corrections of the wall clock; a step back is never a suspension.
    if (leadMs > suspensionMs) this.#suspendedMs += leadMs
    this.#offsetMs = offsetMs
    return monotonicMs + this.#suspendedMs
  }
}
