/** Exponential backoff after failed calls to the platform. */

/** Upper limit of the delay, as a multiple of the base delay. */
const maxFactor = 16

export class RetryBackoff {
  #untilMs = 0
  #factor = 1
  readonly #baseMs: number

  constructor (baseMs: number) {
    this.#baseMs = baseMs
  }

  isElapsed (nowMs: number): boolean {
    return nowMs >= this.#untilMs
  }

  recordFailure (nowMs: number): void {
    this.#untilMs = nowMs + this.#baseMs * this.#factor
    this.#factor = Math.min(maxFactor, this.#factor * 2)
  }

  recordSuccess (): void {
    this.#factor = 1
  }
}
