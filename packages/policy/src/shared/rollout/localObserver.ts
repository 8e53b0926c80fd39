/** One router's observations of versions: counts that it reports, and a local stop for a target version that it sees fail. */
import { latencyBucketCount, latencyBucketOf } from './latencyBuckets.ts'
import { noTolerance, type RouteCounts } from './routeComparison.ts'
import { addInterval, findRollbackReason, newEvidence, type RolloutEvidence } from './rollout.ts'

/** Counts of one interval at one router. */
export interface ObservedCounts extends RouteCounts {
  readonly service: string
  readonly version: string
  readonly route: string
}

/** What one request showed about a version. A request may show several of these. */
export type Observation =
  | { readonly kind: 'completed' }
  | { readonly kind: 'failed' }
  /** Latency of the response, or of its first event; at least that long if the caller gave the request up. */
  | { readonly kind: 'latency', readonly durationMs: number }
  /** Mean time between the first events of a stream; at least that long if the caller gave it up. */
  | { readonly kind: 'eventGap', readonly durationMs: number }

interface OpenCounts {
  readonly service: string
  readonly version: string
  readonly route: string
  completed: number
  failed: number
  readonly latencyBuckets: number[]
  readonly gapBuckets: number[]
}

/** Time after which a router tries a locally stopped version again, unless the rollout has been rolled back. */
export const localStopMs = 60_000

export class LocalObserver {
  #openCounts = new Map<string, OpenCounts>()
  readonly #evidence = new Map<string, RolloutEvidence>()
  readonly #stoppedUntilMs = new Map<string, number>()

  /** Counts one finished request. */
  observe (service: string, version: string, route: string, isSuccess: boolean, durationMs: number): void {
    this.record(service, version, route, { kind: isSuccess ? 'completed' : 'failed' })
    if (isSuccess) this.record(service, version, route, { kind: 'latency', durationMs })
  }

  /** Counts what a request showed, which may be known before it ends. */
  record (service: string, version: string, route: string, observation: Observation): void {
    const key = JSON.stringify([service, version, route])
    const counts = this.#openCounts.get(key) ?? { service, version, route, completed: 0, failed: 0, latencyBuckets: newBuckets(), gapBuckets: newBuckets() }
    this.#openCounts.set(key, counts)
    switch (observation.kind) {
      case 'completed':
        counts.completed++
        return
      case 'failed':
        counts.failed++
        return
      case 'latency':
        counts.latencyBuckets[latencyBucketOf(observation.durationMs)]!++
        return
      case 'eventGap':
        counts.gapBuckets[latencyBucketOf(observation.durationMs)]!++
    }
  }

  /** Ends the interval and returns its counts. */
  takeInterval (): readonly ObservedCounts[] {
    const counts = [...this.#openCounts.values()]
    this.#openCounts = new Map()
    return counts
  }

  /** Evaluates the target version of a service by this router's counts alone. If they give a reason for a rollback, stops the version locally and returns the reason. */
  evaluateTarget (service: string, baseline: string, target: string, counts: readonly ObservedCounts[], nowMs: number, tolerance = noTolerance): string | undefined {
    const key = JSON.stringify([service, target])
    const known = this.#evidence.get(key) ?? newEvidence(target)
    const evidence = addInterval(known, {
      baseline: countsByRoute(counts, service, baseline),
      target: countsByRoute(counts, service, target)
    }, tolerance)
    const reason = findRollbackReason(evidence)
    this.#evidence.set(key, reason === undefined ? evidence : newEvidence(target))
    if (reason !== undefined) this.#stoppedUntilMs.set(key, nowMs + localStopMs)
    return reason
  }

  /** Forgets the evidence about a target version, because another version takes its place. */
  forgetTarget (service: string, target: string): void {
    this.#evidence.delete(JSON.stringify([service, target]))
  }

  /** Whether this router has stopped the version locally. */
  isStopped (service: string, version: string, nowMs: number): boolean {
    return nowMs < (this.#stoppedUntilMs.get(JSON.stringify([service, version])) ?? 0)
  }
}

function newBuckets (): number[] {
  return Array<number>(latencyBucketCount).fill(0)
}

/** Counts of one version of a service, by route. */
export function countsByRoute (counts: readonly ObservedCounts[], service: string, version: string): Readonly<Record<string, RouteCounts>> {
  const routes: Record<string, RouteCounts> = {}
  for (const one of counts) {
    if (one.service === service && one.version === version) routes[one.route] = one
  }
  return routes
}
