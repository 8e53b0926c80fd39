/** Statistical comparison of a target version with its baseline on one route. */
import { quantileBucket } from './latencyBuckets.ts'
import { updateEvidence } from './changeDetector.ts'

/** Counts of one version on one route in one interval. */
export interface RouteCounts {
  readonly completed: number
  readonly failed: number
  /** Completed requests by latency bucket, see `latencyBucketOf`. */
  readonly latencyBuckets: readonly number[]
}

export const emptyCounts: RouteCounts = { completed: 0, failed: 0, latencyBuckets: [] }

export function addCounts (a: RouteCounts, b: RouteCounts): RouteCounts {
  const length = Math.max(a.latencyBuckets.length, b.latencyBuckets.length)
  return {
    completed: a.completed + b.completed,
    failed: a.failed + b.failed,
    latencyBuckets: Array.from({ length }, (_, bucket) => (a.latencyBuckets[bucket] ?? 0) + (b.latencyBuckets[bucket] ?? 0))
  }
}

/** State of the comparison on one route. */
export interface RouteComparison {
  /** Exponentially decayed counts of the baseline. They do not decay while the baseline has no traffic. */
  readonly baseline: RouteCounts
  /** Counts of the baseline with a fast decay, which cover the last few intervals. */
  readonly recentBaseline: RouteCounts
  readonly failureEvidence: number
  readonly slowEvidence: number
  /** Requests of the target on this route so far. */
  readonly targetRequests: number
}

export const emptyComparison: RouteComparison = { baseline: emptyCounts, recentBaseline: emptyCounts, failureEvidence: 0, slowEvidence: 0, targetRequests: 0 }

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

/** A request is slow if its latency is above the bucket of the baseline's 95th percentile. At most 5% of a good version's requests are. */
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

/** Recent completed requests below which the baseline counts as having no concurrent traffic. */
const minRecentRequests = 1

/** Minimum number of completed baseline requests for a latency comparison. */
const minBaselineForLatency = 40

/** Adds the counts of both versions in one interval to the comparison. */
export function compareInterval (comparison: RouteComparison, baseline: RouteCounts, target: RouteCounts): RouteComparison {
  const updatedBaseline = hasTraffic(baseline) ? addCounts(decay(comparison.baseline, baselineDecay), baseline) : comparison.baseline
  const recentBaseline = addCounts(decay(comparison.recentBaseline, recentDecay), baseline)
  const next = { ...comparison, baseline: updatedBaseline, recentBaseline }
  if (!hasTraffic(target)) return next
  return {
    ...next,
    failureEvidence: updateFailureEvidence(next, target),
    slowEvidence: updateSlowEvidence(next, target),
    targetRequests: next.targetRequests + target.completed + target.failed
  }
}

function hasTraffic (counts: RouteCounts): boolean {
  return counts.completed + counts.failed > 0
}

function decay (counts: RouteCounts, factor: number): RouteCounts {
  return {
    completed: counts.completed * factor,
    failed: counts.failed * factor,
    latencyBuckets: counts.latencyBuckets.map(count => count * factor)
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

function updateSlowEvidence (comparison: RouteComparison, target: RouteCounts): number {
  const { baseline, recentBaseline } = comparison
  if (baseline.completed < minBaselineForLatency) return comparison.slowEvidence
  const usualBucket = quantileBucket(baseline.latencyBuckets, slowQuantile)
  const hasRecentBaseline = recentBaseline.completed >= minRecentRequests
  const limit = hasRecentBaseline ? usualBucket : usualBucket + unpairedToleranceBuckets
  const currentShare = smoothedRate(countAbove(recentBaseline, limit), recentBaseline.completed, expectedSlowShare)
  const expectedRate = Math.min(maxExpectedRate, Math.max(expectedSlowShare, currentShare))
  const badRate = Math.min(maxBadRate, expectedRate + badSlowMargin)
  return updateEvidence(comparison.slowEvidence, countAbove(target, limit), target.completed, { expectedRate, badRate })
}

function countAbove (counts: RouteCounts, bucket: number): number {
  return counts.latencyBuckets.slice(bucket + 1).reduce((sum, count) => sum + count, 0)
}
