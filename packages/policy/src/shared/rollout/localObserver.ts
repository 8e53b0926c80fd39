/** One router's own observation of versions: counts for the fleet, and its own stop for what it sees fail. */
import { latencyBucketCount, latencyBucketOf } from './latencyBuckets.ts'
import type { RouteCounts } from './routeComparison.ts'
import { addInterval, badReason, newEvidence, type RolloutEvidence } from './rollout.ts'

export interface ObservedCounts extends RouteCounts {
  readonly service: string
  readonly version: string
  readonly route: string
}

interface OpenCounts {
  readonly service: string
  readonly version: string
  readonly route: string
  completed: number
  failed: number
  readonly latencyBuckets: number[]
}

/** Time after which a router tries a version again that it stopped by itself, when the fleet has not taken it back. */
export const localStopMs = 60_000

export class LocalObserver {
  #open = new Map<string, OpenCounts>()
  readonly #evidence = new Map<string, RolloutEvidence>()
  readonly #stoppedUntilMs = new Map<string, number>()

  /** Counts one finished request. */
  observe (service: string, version: string, route: string, isSuccess: boolean, durationMs: number): void {
    const key = JSON.stringify([service, version, route])
    const counts = this.#open.get(key) ?? { service, version, route, completed: 0, failed: 0, latencyBuckets: Array<number>(latencyBucketCount).fill(0) }
    this.#open.set(key, counts)
    if (!isSuccess) {
      counts.failed++
      return
    }
    counts.completed++
    counts.latencyBuckets[latencyBucketOf(durationMs)]!++
  }

  /** Ends the interval and returns its counts. */
  takeInterval (): readonly ObservedCounts[] {
    const counts = [...this.#open.values()]
    this.#open = new Map()
    return counts
  }

  /** Judges the target of a service by this router's counts alone. Returns the reason when it stops now. */
  evaluateTarget (service: string, baseline: string, target: string, counts: readonly ObservedCounts[], nowMs: number): string | undefined {
    const key = JSON.stringify([service, target])
    const known = this.#evidence.get(key) ?? newEvidence(target)
    const evidence = addInterval(known, {
      baseline: byRoute(counts, service, baseline),
      target: byRoute(counts, service, target)
    })
    const reason = badReason(evidence)
    this.#evidence.set(key, reason === undefined ? evidence : newEvidence(target))
    if (reason !== undefined) this.#stoppedUntilMs.set(key, nowMs + localStopMs)
    return reason
  }

  isStopped (service: string, version: string, nowMs: number): boolean {
    return nowMs < (this.#stoppedUntilMs.get(JSON.stringify([service, version])) ?? 0)
  }
}

/** Counts of one version by route. */
export function byRoute (counts: readonly ObservedCounts[], service: string, version: string): Readonly<Record<string, RouteCounts>> {
  const routes: Record<string, RouteCounts> = {}
  for (const one of counts) {
    if (one.service === service && one.version === version) routes[one.route] = one
  }
  return routes
}
