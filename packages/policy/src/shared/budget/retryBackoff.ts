/** Growing pauses between failed calls to the platform. */

/** The pause grows to this many times its first length. */
const maxFactor = 16

export class RetryPause {
  #untilMs = 0
  #factor = 1
  readonly #pauseMs: number

  constructor (pauseMs: number) {
    this.#pauseMs = pauseMs
  }

  isOver (nowMs: number): boolean {
    return nowMs >= this.#untilMs
  }

  noteFailure (nowMs: number): void {
    this.#untilMs = nowMs + this.#pauseMs * this.#factor
    this.#factor = Math.min(maxFactor, this.#factor * 2)
  }

  noteSuccess (): void {
    this.#factor = 1
  }
}
