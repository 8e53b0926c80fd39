/** Reports of all routers for the holder of the rollout lease; a report counts once. */
import { addCounts, noCounts, type RouteCounts } from './routeComparison.ts'
import type { ObservedCounts } from './localObserver.ts'
import type { IntervalCounts } from './rollout.ts'

export interface OutcomeReport {
  readonly routerId: string
  /** Number of the interval at this router; a repeated or older one is dropped. */
  readonly interval: number
  readonly counts: readonly ObservedCounts[]
}

export class PooledIntervals {
  readonly #lastInterval = new Map<string, number>()
  #counts: ObservedCounts[] = []

  /** Takes a report; returns false for a repeated one. */
  receive (report: OutcomeReport): boolean {
    if (report.interval <= (this.#lastInterval.get(report.routerId) ?? -1)) return false
    this.#lastInterval.set(report.routerId, report.interval)
    this.#counts.push(...report.counts)
    return true
  }

  /** Ends the pooled interval and returns its counts. */
  take (): readonly ObservedCounts[] {
    const counts = this.#counts
    this.#counts = []
    return counts
  }
}

/** Pooled counts of two versions of a service, by route. */
export function poolCounts (counts: readonly ObservedCounts[], service: string, baseline: string, target: string): IntervalCounts {
  const pooled: { readonly baseline: Record<string, RouteCounts>, readonly target: Record<string, RouteCounts> } = { baseline: {}, target: {} }
  for (const one of counts) {
    if (one.service !== service) continue
    const side = one.version === baseline ? pooled.baseline : one.version === target ? pooled.target : undefined
    if (side !== undefined) side[one.route] = addCounts(side[one.route] ?? noCounts, one)
  }
  return pooled
}
