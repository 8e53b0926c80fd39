/** Pools the reports of all routers at the holder of the rollout lease. Each report counts once. */
import { addCounts, emptyCounts, type RouteCounts } from './routeComparison.ts'
import type { ObservedCounts } from './localObserver.ts'
import type { IntervalCounts } from './rollout.ts'

export interface OutcomeReport {
  readonly routerId: string
  /** Sequence number of the interval at this router. Reports with a repeated or lower number are dropped. */
  readonly interval: number
  readonly counts: readonly ObservedCounts[]
}

export class PooledIntervals {
  readonly #lastInterval = new Map<string, number>()
  #counts: ObservedCounts[] = []

  /** Adds a report; returns false when it is dropped. */
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

/** Pools the counts of two versions of a service, by route. */
export function poolCounts (counts: readonly ObservedCounts[], service: string, baseline: string, target: string): IntervalCounts {
  const pooled: { readonly baseline: Record<string, RouteCounts>, readonly target: Record<string, RouteCounts> } = { baseline: {}, target: {} }
  for (const one of counts) {
    if (one.service !== service) continue
    const side = one.version === baseline ? pooled.baseline : one.version === target ? pooled.target : undefined
    if (side !== undefined) side[one.route] = addCounts(side[one.route] ?? emptyCounts, one)
  }
  return pooled
}

/** Part of the counts, such as a share of those of a longer time. */
export function scaleCounts (counts: ObservedCounts, factor: number): ObservedCounts {
  const scale = (count: number): number => count * factor
  return { ...counts, completed: scale(counts.completed), failed: scale(counts.failed), latencyBuckets: counts.latencyBuckets.map(scale), gapBuckets: (counts.gapBuckets ?? []).map(scale) }
}
