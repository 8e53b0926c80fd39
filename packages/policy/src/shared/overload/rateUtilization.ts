/** Utilization of a resource with a fixed capacity, such as a network link or a processor share, from a cumulative counter. */

/** Time constant of the moving average for a link: long enough to smooth out one large body, short compared with the time until a queue becomes noticeable. */
export const linkAveragingMs = 700
/** Time constant for a processor. It is longer, because the processor works off a burst without loss. */
export const processorAveragingMs = 1000

export class RateUtilization {
  readonly #capacityPerMs: number
  readonly #averagingMs: number
  #lastTotal: number
  #lastMs: number
  #ratePerMs = 0

  constructor (capacityPerMs: number, averagingMs: number, total: number, nowMs: number) {
    this.#averagingMs = averagingMs
    this.#capacityPerMs = capacityPerMs
    this.#lastTotal = total
    this.#lastMs = nowMs
  }

  /** Share of the capacity that was used recently. */
  get share (): number {
    return this.#ratePerMs / this.#capacityPerMs
  }

  /** Adds a sample of the cumulative counter. */
  addSample (total: number, nowMs: number): void {
    const elapsedMs = nowMs - this.#lastMs
    if (elapsedMs <= 0) return
    const weight = 1 - Math.exp(-elapsedMs / this.#averagingMs)
    this.#ratePerMs += weight * ((total - this.#lastTotal) / elapsedMs - this.#ratePerMs)
    this.#lastTotal = total
    this.#lastMs = nowMs
  }
}
