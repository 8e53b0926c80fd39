/** Token bucket whose capacity is the number of calls allowed per second. */
export class RateLimit {
  #available: number
  #lastMs: number
  #perSecond: number

  constructor (perSecond: number, nowMs: number) {
    this.#perSecond = perSecond
    this.#available = perSecond
    this.#lastMs = nowMs
  }

  setRate (value: number): void {
    this.#perSecond = value
    this.#available = Math.min(this.#available, value)
  }

  /** Takes a token for one call. Returns 0 if there was one, otherwise the time in ms until there is one. */
  take (nowMs: number): number {
    this.#available = Math.min(this.#perSecond, this.#available + (nowMs - this.#lastMs) / 1000 * this.#perSecond)
    this.#lastMs = nowMs
    if (this.#available < 1) return Math.max(1, Math.ceil((1 - this.#available) / this.#perSecond * 1000))
    this.#available -= 1
    return 0
  }
}
