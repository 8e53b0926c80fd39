/** Times at which parts of a response arrived from its endpoints. */

export class ResponseTimings {
  #firstByteMs: number | undefined
  #firstEventMs: number | undefined
  #lastEventMs: number | undefined
  #longestGapMs = 0

  /** Longest time between two events of a stream. */
  get longestGapMs (): number {
    return this.#longestGapMs
  }

  /** Time from `startMs` to the first byte; `undefined` if there was none. */
  firstByteAfterMs (startMs: number): number | undefined {
    return this.#firstByteMs === undefined ? undefined : this.#firstByteMs - startMs
  }

  /** Time since the first event; 0 if there was none. */
  sinceFirstEventMs (nowMs: number): number {
    return nowMs - (this.#firstEventMs ?? nowMs)
  }

  recordBytes (nowMs: number): void {
    this.#firstByteMs ??= nowMs
  }

  recordEvent (nowMs: number): void {
    this.#longestGapMs = Math.max(this.#longestGapMs, nowMs - (this.#lastEventMs ?? nowMs))
    this.#firstEventMs ??= nowMs
    this.#lastEventMs = nowMs
  }
}
