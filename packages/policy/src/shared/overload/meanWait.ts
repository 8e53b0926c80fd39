/** Mean time for which work waits for the processor, from samples of a timer that runs late while other work is done. */

/** Time constant of the moving average. It is short, so that callers are accepted again soon after the backlog is gone. */
const averagingMs = 300

export class MeanWait {
  #waitMs = 0
  #sampledMs: number

  constructor (nowMs: number) {
    this.#sampledMs = nowMs
  }

  get waitMs (): number {
    return this.#waitMs
  }

  /** Adds a sample: `waitMs` is how late the timer ran. A sample stands for the time since the one before. */
  addSample (waitMs: number, nowMs: number): void {
    const weight = 1 - Math.exp(-(nowMs - this.#sampledMs) / averagingMs)
    this.#waitMs += weight * (waitMs - this.#waitMs)
    this.#sampledMs = nowMs
  }
}
