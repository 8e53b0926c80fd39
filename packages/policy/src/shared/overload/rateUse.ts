/** Use of a resource with a fixed rate, such as a network link or a processor share, from a count that only grows. */

/** Time constant of the moving rate: long enough for one large body, short against the time in which a queue becomes noticeable. */
const rateTimeMs = 700

export class RateUse {
  readonly #capacityPerMs: number
  #lastTotal: number
  #lastMs: number
  #ratePerMs = 0

  constructor (capacityPerMs: number, total: number, nowMs: number) {
    this.#capacityPerMs = capacityPerMs
    this.#lastTotal = total
    this.#lastMs = nowMs
  }

  /** Used share of the resource lately. */
  get share (): number {
    return this.#ratePerMs / this.#capacityPerMs
  }

  note (total: number, nowMs: number): void {
    const elapsedMs = nowMs - this.#lastMs
    if (elapsedMs <= 0) return
    const weight = 1 - Math.exp(-elapsedMs / rateTimeMs)
    this.#ratePerMs += weight * ((total - this.#lastTotal) / elapsedMs - this.#ratePerMs)
    this.#lastTotal = total
    this.#lastMs = nowMs
  }
}
