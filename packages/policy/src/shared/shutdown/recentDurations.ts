/** Longest durations of recent requests by route, in memory that is bounded by the routes in use. */

/** Durations count for one to two of these periods. */
const periodMs = 30_000

export class RecentDurations {
  #current = new Map<string, number>()
  #previous: ReadonlyMap<string, number> = new Map()
  #periodStartMs = -Infinity

  record (route: string, durationMs: number, nowMs: number): void {
    this.#advance(nowMs)
    this.#current.set(route, Math.max(durationMs, this.#current.get(route) ?? 0))
  }

  longestMs (route: string, nowMs: number): number | undefined {
    this.#advance(nowMs)
    const [current, previous] = [this.#current.get(route), this.#previous.get(route)]
    return current === undefined || previous === undefined ? current ?? previous : Math.max(current, previous)
  }

  #advance (nowMs: number): void {
    const elapsedMs = nowMs - this.#periodStartMs
    if (elapsedMs < periodMs) return
    this.#previous = elapsedMs < 2 * periodMs ? this.#current : new Map()
    this.#current = new Map()
    this.#periodStartMs = nowMs
  }
}
