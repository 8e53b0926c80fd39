/** How long recent requests took, by route, in memory that is bounded by the routes in use. */

/** Durations count for one to two of these periods. */
const periodMs = 30_000

export interface Durations {
  readonly meanMs: number
  readonly longestMs: number
}

interface PeriodDurations {
  readonly requests: number
  readonly sumMs: number
  readonly longestMs: number
}

const none: PeriodDurations = { requests: 0, sumMs: 0, longestMs: 0 }

function combine (a: PeriodDurations, b: PeriodDurations): PeriodDurations {
  return { requests: a.requests + b.requests, sumMs: a.sumMs + b.sumMs, longestMs: Math.max(a.longestMs, b.longestMs) }
}

export class RecentDurations {
  #current = new Map<string, PeriodDurations>()
  #previous: ReadonlyMap<string, PeriodDurations> = new Map()
  #periodStartMs = -Infinity

  record (route: string, durationMs: number, nowMs: number): void {
    this.#advance(nowMs)
    this.#current.set(route, combine(this.#current.get(route) ?? none, { requests: 1, sumMs: durationMs, longestMs: durationMs }))
  }

  /** `undefined` if no request of the route ended lately. */
  of (route: string, nowMs: number): Durations | undefined {
    this.#advance(nowMs)
    const { requests, sumMs, longestMs } = combine(this.#current.get(route) ?? none, this.#previous.get(route) ?? none)
    return requests === 0 ? undefined : { meanMs: sumMs / requests, longestMs }
  }

  #advance (nowMs: number): void {
    const elapsedMs = nowMs - this.#periodStartMs
    if (elapsedMs < periodMs) return
    this.#previous = elapsedMs < 2 * periodMs ? this.#current : new Map()
    this.#current = new Map()
    this.#periodStartMs = nowMs
  }
}
