/** Comparison of a target version against its baseline on one route. */
import { quantileBucket } from './latencyBuckets.ts'
import { updateEvidence } from './changeDetector.ts'

/** Counts of one version on one route in one interval. */
export interface RouteCounts {
  readonly completed: number
  readonly failed: number
  /** By bucket of `latencyBucketOf`, completed requests only. */
  readonly latencyBuckets: readonly number[]
}

export const noCounts: RouteCounts = { completed: 0, failed: 0, latencyBuckets: [] }

/** Adds two counts. */
export function addCounts (a: RouteCounts, b: RouteCounts): RouteCounts {
  const length = Math.max(a.latencyBuckets.length, b.latencyBuckets.length)
  return {
    completed: a.completed + b.completed,
    failed: a.failed + b.failed,
    latencyBuckets: Array.from({ length }, (_, bucket) => (a.latencyBuckets[bucket] ?? 0) + (b.latencyBuckets[bucket] ?? 0))
  }
}

export interface RouteComparison {
  /** Decayed counts of the baseline; frozen while it gets no traffic. */
  readonly baseline: RouteCounts
  /** Counts of the baseline in the last few intervals. */
  readonly recentBaseline: RouteCounts
  readonly failureEvidence: number
  readonly slowEvidence: number
  /** Requests of the target on this route so far. */
  readonly targetRequests: number
}

export const newComparison: RouteComparison = { baseline: noCounts, recentBaseline: noCounts, failureEvidence: 0, slowEvidence: 0, targetRequests: 0 }

/** Weight that the baseline's counts keep per interval in which it had traffic; about the last minute counts at 1 s. */
const baselineDecay = 0.98

/** The same for recent counts; about the last three intervals count. */
const recentDecay = 0.7

/** Prior of the baseline's failure rate: half a failure in fifty requests. */
const priorFailures = 0.5
const priorRequests = 50

/** A target is bad if it fails this much more often than the baseline. */
const badFailureFactor = 2
const badFailureMargin = 0.04

/** Slow means above the bucket of the baseline's 95th percentile, which 5% or fewer of a good version's requests are. */
const slowQuantile = 0.95
const expectedSlowShare = 0.06
const badSlowMargin = 0.14

/** Without traffic of the baseline at the same time, only latencies of more than twice the usual limit count as slow. */
const aloneToleranceBuckets = 4

/** Requests that the recent rate needs to count as much as the expectation. */
const recentPriorRequests = 10

/** Bounds that leave a difference between the two hypotheses. */
const maxExpectedRate = 0.6
const maxBadRate = 0.9

/** Below this, the baseline counts as having no traffic now. */
const minRecentRequests = 1

/** Least completed baseline requests for a latency comparison. */
const minBaselineForLatency = 40

/** Takes one interval's counts of both versions. */
export function compareInterval (comparison: RouteComparison, baseline: RouteCounts, target: RouteCounts): RouteComparison {
  const kept = hasTraffic(baseline) ? addCounts(decay(comparison.baseline, baselineDecay), baseline) : comparison.baseline
  const recentBaseline = addCounts(decay(comparison.recentBaseline, recentDecay), baseline)
  const next = { ...comparison, baseline: kept, recentBaseline }
  if (!hasTraffic(target)) return next
  return {
    ...next,
    failureEvidence: failureEvidence(next, target),
    slowEvidence: slowEvidence(next, target),
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

/** Rate in the last intervals, drawn towards the expected one, so that few requests say little. */
function recentRate (events: number, requests: number, expectedRate: number): number {
  return (events + expectedRate * recentPriorRequests) / (requests + recentPriorRequests)
}

function failureEvidence (comparison: RouteComparison, target: RouteCounts): number {
  const { baseline, recentBaseline } = comparison
  const requests = baseline.completed + baseline.failed
  const usualRate = (baseline.failed + priorFailures) / (requests + priorRequests)
  // A fault of both versions at once, such as one of a service that both depend on, is not the target's.
  const presentRate = recentRate(recentBaseline.failed, recentBaseline.completed + recentBaseline.failed, usualRate)
  const expectedRate = Math.min(maxExpectedRate, Math.max(usualRate, presentRate))
  const badRate = Math.min(maxBadRate, expectedRate * badFailureFactor + badFailureMargin)
  return updateEvidence(comparison.failureEvidence, target.failed, target.completed + target.failed, { expectedRate, badRate })
}

function slowEvidence (comparison: RouteComparison, target: RouteCounts): number {
  const { baseline, recentBaseline } = comparison
  if (baseline.completed < minBaselineForLatency) return comparison.slowEvidence
  const usual = quantileBucket(baseline.latencyBuckets, slowQuantile)
  const isCompared = recentBaseline.completed >= minRecentRequests
  const limit = isCompared ? usual : usual + aloneToleranceBuckets
  const presentShare = recentRate(countAbove(recentBaseline, limit), recentBaseline.completed, expectedSlowShare)
  const expectedRate = Math.min(maxExpectedRate, Math.max(expectedSlowShare, presentShare))
  const badRate = Math.min(maxBadRate, expectedRate + badSlowMargin)
  return updateEvidence(comparison.slowEvidence, countAbove(target, limit), target.completed, { expectedRate, badRate })
}

function countAbove (counts: RouteCounts, bucket: number): number {
  return counts.latencyBuckets.slice(bucket + 1).reduce((sum, count) => sum + count, 0)
}
