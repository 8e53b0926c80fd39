/** Statistical comparison of a target version with its baseline on one route. */
import { quantileBucket } from './latencyBuckets.ts'
import { updateEvidence } from './changeDetector.ts'

/** Counts of one version on one route in one interval. */
export interface RouteCounts {
  readonly completed: number
  readonly failed: number
  /** Requests by the bucket of their latency, see `latencyBucketOf`. A request that its caller gave up counts with the time that it had waited. */
  readonly latencyBuckets: readonly number[]
  /** Streams by the bucket of the mean time between their first events; absent where it is not measured. */
  readonly gapBuckets?: readonly number[]
}

export const emptyCounts: RouteCounts = { completed: 0, failed: 0, latencyBuckets: [] }

export function addCounts (a: RouteCounts, b: RouteCounts): RouteCounts {
  return {
    completed: a.completed + b.completed,
    failed: a.failed + b.failed,
    latencyBuckets: addBuckets(a.latencyBuckets, b.latencyBuckets),
    gapBuckets: addBuckets(a.gapBuckets ?? [], b.gapBuckets ?? [])
  }
}

function addBuckets (a: readonly number[], b: readonly number[]): readonly number[] {
  return Array.from({ length: Math.max(a.length, b.length) }, (_, bucket) => (a[bucket] ?? 0) + (b[bucket] ?? 0))
}

/** State of the comparison on one route. */
export interface RouteComparison {
  /** Exponentially decayed counts of the baseline. They do not decay while the baseline has no traffic. */
  readonly baseline: RouteCounts
  /** Counts of the baseline with a fast decay, which cover the last few intervals. */
  readonly recentBaseline: RouteCounts
  readonly failureEvidence: number
  readonly slowEvidence: number
  /** Evidence that the events of streams follow each other more slowly. */
  readonly gapEvidence: number
  /** Requests of the target on this route so far. */
  readonly targetRequests: number
}

export const emptyComparison: RouteComparison = { baseline: emptyCounts, recentBaseline: emptyCounts, failureEvidence: 0, slowEvidence: 0, gapEvidence: 0, targetRequests: 0 }

/** Decay factor of the baseline's counts per interval with traffic. With intervals of 1 s, about the last minute counts. */
const baselineDecay = 0.98

/** Decay factor of the recent counts per interval; about the last three intervals count. */
const recentDecay = 0.7

/** Prior of the baseline's failure rate: half a failure in fifty requests. */
const priorFailures = 0.5
const priorRequests = 50

/** A target is bad if its failure rate is the expected rate times this factor, plus this margin. */
const badFailureFactor = 2
const badFailureMargin = 0.04

/** A request is slow if its latency, or the time between its events, is above the bucket of the baseline's 95th percentile. At most 5% of a good version's requests are. */
const slowQuantile = 0.95
const expectedSlowShare = 0.06
const badSlowMargin = 0.14

/** Without concurrent baseline traffic, only latencies above twice the usual limit count as slow: the limit is this many buckets higher. */
const unpairedToleranceBuckets = 4

/** Number of requests at which a recent rate has the same weight as the expected rate. */
const recentPriorRequests = 10

/** Upper bounds of the expected and the bad rate, which keep the two hypotheses distinguishable when the baseline fails often or is slow. */
const maxExpectedRate = 0.6
const maxBadRate = 0.9

/** Recent requests below which the baseline counts as having no concurrent traffic. */
const minRecentRequests = 1

/** Minimum number of baseline requests for a latency comparison. */
const minBaselineForLatency = 40

/**
 * Adds the counts of both versions in one interval to the comparison. The time
 * between events may exceed that of the baseline by `gapToleranceBuckets` more.
 */
export function compareInterval (comparison: RouteComparison, baseline: RouteCounts, target: RouteCounts, gapToleranceBuckets = 0): RouteComparison {
  const updatedBaseline = hasTraffic(baseline) ? addCounts(decay(comparison.baseline, baselineDecay), baseline) : comparison.baseline
  const recentBaseline = addCounts(decay(comparison.recentBaseline, recentDecay), baseline)
  const next = { ...comparison, baseline: updatedBaseline, recentBaseline }
  if (!hasTraffic(target)) return next
  return {
    ...next,
    failureEvidence: updateFailureEvidence(next, target),
    slowEvidence: updateSlowEvidence(next.slowEvidence, {
      usual: updatedBaseline.latencyBuckets, recent: recentBaseline.latencyBuckets, target: target.latencyBuckets, toleranceBuckets: 0
    }),
    gapEvidence: updateSlowEvidence(next.gapEvidence, {
      usual: updatedBaseline.gapBuckets ?? [], recent: recentBaseline.gapBuckets ?? [], target: target.gapBuckets ?? [], toleranceBuckets: gapToleranceBuckets
    }),
    targetRequests: next.targetRequests + target.completed + target.failed
  }
}

function hasTraffic (counts: RouteCounts): boolean {
  return counts.completed + counts.failed + totalOf(counts.latencyBuckets) + totalOf(counts.gapBuckets ?? []) > 0
}

function decay (counts: RouteCounts, factor: number): RouteCounts {
  return {
    completed: counts.completed * factor,
    failed: counts.failed * factor,
    latencyBuckets: counts.latencyBuckets.map(count => count * factor),
    gapBuckets: (counts.gapBuckets ?? []).map(count => count * factor)
  }
}

/** Event rate in the last intervals, shrunk towards the expected rate, so that few requests have little influence. */
function smoothedRate (events: number, requests: number, expectedRate: number): number {
  return (events + expectedRate * recentPriorRequests) / (requests + recentPriorRequests)
}

function updateFailureEvidence (comparison: RouteComparison, target: RouteCounts): number {
  const { baseline, recentBaseline } = comparison
  const requests = baseline.completed + baseline.failed
  const longTermRate = (baseline.failed + priorFailures) / (requests + priorRequests)
  // The expected rate follows the recent baseline, so that a fault that affects both versions, such as one of a shared dependency, does not count against the target.
  const currentRate = smoothedRate(recentBaseline.failed, recentBaseline.completed + recentBaseline.failed, longTermRate)
  const expectedRate = Math.min(maxExpectedRate, Math.max(longTermRate, currentRate))
  const badRate = Math.min(maxBadRate, expectedRate * badFailureFactor + badFailureMargin)
  return updateEvidence(comparison.failureEvidence, target.failed, target.completed + target.failed, { expectedRate, badRate })
}

/** Requests by the bucket of a duration: of the baseline in the long run and in the last intervals, and of the target in this interval. */
interface DurationSamples {
  readonly usual: readonly number[]
  readonly recent: readonly number[]
  readonly target: readonly number[]
  /** Buckets by which the target may exceed the usual limit. */
  readonly toleranceBuckets: number
}

function updateSlowEvidence (evidence: number, { usual, recent, target, toleranceBuckets }: DurationSamples): number {
  if (totalOf(usual) < minBaselineForLatency) return evidence
  const recentTotal = totalOf(recent)
  const tolerance = recentTotal >= minRecentRequests ? toleranceBuckets : Math.max(toleranceBuckets, unpairedToleranceBuckets)
  const limit = quantileBucket(usual, slowQuantile) + tolerance
  const currentShare = smoothedRate(totalOf(recent.slice(limit + 1)), recentTotal, expectedSlowShare)
  const expectedRate = Math.min(maxExpectedRate, Math.max(expectedSlowShare, currentShare))
  const badRate = Math.min(maxBadRate, expectedRate + badSlowMargin)
  return updateEvidence(evidence, totalOf(target.slice(limit + 1)), totalOf(target), { expectedRate, badRate })
}

function totalOf (buckets: readonly number[]): number {
  return buckets.reduce((sum, count) => sum + count, 0)
}
