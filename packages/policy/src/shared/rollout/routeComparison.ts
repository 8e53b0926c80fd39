/** Statistical comparison of a target version with its baseline on one route. */
import { quantileBucket } from './latencyBuckets.ts'
import { addEvidence, evidenceOf } from './changeDetector.ts'

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
  /** What the last interval added to each evidence. */
  readonly failureGain: number
  readonly slowGain: number
  readonly gapGain: number
  /** Requests of the target on this route so far. */
  readonly targetRequests: number
}

export const emptyComparison: RouteComparison = { baseline: emptyCounts, recentBaseline: emptyCounts, failureEvidence: 0, slowEvidence: 0, gapEvidence: 0, failureGain: 0, slowGain: 0, gapGain: 0, targetRequests: 0 }

/** Decay factor of the baseline's counts per interval with traffic. With intervals of 1 s, about the last minute counts. */
const baselineDecay = 0.98

/** Decay factor while the baseline fails much less often than before, so that a fault of the whole fleet is forgotten soon after its end. */
const improvedDecay = 0.8

/** Decay factor of the recent counts per interval; about the last three intervals count. */
const recentDecay = 0.7

/** Weight of the least expected failure rate against the requests of the baseline. It is small, so that few requests suffice to tell a route on which the baseline fails too. */
const priorRequests = 5
/** Single failures of a good version are expected, also where the baseline has shown none. */
const minExpectedFailureRate = 0.01

/** A target is bad if its failure rate is the expected rate times this factor, plus this margin. */
const badFailureFactor = 2
const badFailureMargin = 0.1
/** A target is also bad if it fails this share of the requests that would succeed otherwise. This is the lower bound where requests fail often at either version. */
const badFailureShare = 0.3
/** From this failure rate of the baseline on, failures on a route say nothing about the target. */
const maxComparableFailureRate = 0.6

/** Above which duration a request is slow, and how many are at a good and at a bad version. */
interface SlowLimit {
  /** Quantile of the baseline. */
  readonly quantile: number
  /** Buckets above that quantile. */
  readonly toleranceBuckets: number
  readonly expectedShare: number
  /** By how much more requests of a bad version are slow. */
  readonly badMargin: number
}

/** The first event of a few requests is late at a good version too, when a long prompt is read before them. */
const latencyLimit: SlowLimit = { quantile: 0.95, toleranceBuckets: 0, expectedShare: 0.06, badMargin: 0.14 }
/** The time between events depends on the load of the endpoint, so that of the baseline spreads widely, and a slow endpoint with little load may stay below its 95th percentile. */
const gapLimit: SlowLimit = { quantile: 0.75, toleranceBuckets: 2, expectedShare: 0.15, badMargin: 0.35 }

/**
 * While the baseline has fewer recent requests than the target, as when the target has all of them, a change of the load
 * shows at the target alone. Only latencies above twice the usual limit count as slow then: the limit is this many buckets higher.
 */
const unpairedToleranceBuckets = 4

/** Number of requests at which a recent rate has the same weight as the expected rate. */
const recentPriorRequests = 10

/** Upper bounds of the expected and the bad rate, which keep the two hypotheses distinguishable when the baseline fails often or is slow. */
const maxExpectedRate = 0.6
const maxBadRate = 0.9

/** Minimum number of baseline requests for a latency comparison. */
const minBaselineForLatency = 40

/** Buckets by which durations at the target may exceed the usual limit, because its endpoints bear more load. */
export interface DurationTolerance {
  readonly latencyBuckets: number
  /** For the time between events. */
  readonly gapBuckets: number
}

export const noTolerance: DurationTolerance = { latencyBuckets: 0, gapBuckets: 0 }

/** Adds the counts of both versions in one interval to the comparison. */
export function compareInterval (comparison: RouteComparison, baseline: RouteCounts, target: RouteCounts, tolerance = noTolerance): RouteComparison {
  const recentBaseline = addCounts(decay(comparison.recentBaseline, recentDecay), baseline)
  const updatedBaseline = hasTraffic(baseline) ? addCounts(decayUsual(comparison.baseline, recentBaseline), baseline) : comparison.baseline
  const next = { ...comparison, baseline: updatedBaseline, recentBaseline, failureGain: 0, slowGain: 0, gapGain: 0 }
  if (!hasTraffic(target)) return next
  const failureGain = failureEvidenceOf(next, target)
  const slowGain = slowEvidenceOf(latencyLimit, {
    usual: updatedBaseline.latencyBuckets, recent: recentBaseline.latencyBuckets, target: target.latencyBuckets, toleranceBuckets: tolerance.latencyBuckets
  })
  const gapGain = slowEvidenceOf(gapLimit, {
    usual: updatedBaseline.gapBuckets ?? [], recent: recentBaseline.gapBuckets ?? [], target: target.gapBuckets ?? [], toleranceBuckets: tolerance.gapBuckets
  })
  return {
    ...next,
    failureEvidence: addEvidence(next.failureEvidence, failureGain),
    failureGain,
    slowEvidence: addEvidence(next.slowEvidence, slowGain),
    gapEvidence: addEvidence(next.gapEvidence, gapGain),
    slowGain,
    gapGain,
    targetRequests: next.targetRequests + target.completed + target.failed
  }
}

function hasTraffic (counts: RouteCounts): boolean {
  return counts.completed + counts.failed + totalOf(counts.latencyBuckets) + totalOf(counts.gapBuckets ?? []) > 0
}

/** Counts of the baseline in the long run after one more interval. Failures are forgotten faster once it fails much less often. */
function decayUsual (usual: RouteCounts, recent: RouteCounts): RouteCounts {
  const hasImproved = requestsOf(recent) >= recentPriorRequests && failureRateOf(recent) < failureRateOf(usual) / 2
  return { ...decay(usual, baselineDecay), failed: usual.failed * (hasImproved ? improvedDecay : baselineDecay) }
}

function requestsOf ({ completed, failed }: RouteCounts): number {
  return completed + failed
}

function failureRateOf (counts: RouteCounts): number {
  return Math.max(minExpectedFailureRate, (counts.failed + minExpectedFailureRate * priorRequests) / (requestsOf(counts) + priorRequests))
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

/** Evidence that the target fails more often than the baseline. */
function failureEvidenceOf ({ baseline, recentBaseline }: RouteComparison, target: RouteCounts): number {
  const longTermRate = failureRateOf(baseline)
  // The expected rate follows the recent baseline, so that a fault that affects both versions, such as one of a shared dependency, does not count against the target.
  const currentRate = smoothedRate(recentBaseline.failed, requestsOf(recentBaseline), longTermRate)
  const expectedRate = Math.max(longTermRate, currentRate)
  if (expectedRate > maxComparableFailureRate) return 0
  const badRate = Math.min(expectedRate * badFailureFactor + badFailureMargin, expectedRate + (1 - expectedRate) * badFailureShare)
  return evidenceOf(target.failed, requestsOf(target), { expectedRate, badRate })
}

/** Requests by the bucket of a duration: of the baseline in the long run and in the last intervals, and of the target in this interval. */
interface DurationSamples {
  readonly usual: readonly number[]
  readonly recent: readonly number[]
  readonly target: readonly number[]
  /** Buckets by which the target may exceed the usual limit. */
  readonly toleranceBuckets: number
}

/** Evidence that the target is slow; 0 while the baseline is too small to compare. */
function slowEvidenceOf ({ quantile, toleranceBuckets: usualToleranceBuckets, expectedShare, badMargin }: SlowLimit, { usual, recent, target, toleranceBuckets }: DurationSamples): number {
  if (totalOf(usual) < minBaselineForLatency) return 0
  const recentTotal = totalOf(recent)
  const tolerance = recentTotal >= totalOf(target) ? toleranceBuckets : Math.max(toleranceBuckets, unpairedToleranceBuckets)
  const limit = quantileBucket(usual, quantile) + usualToleranceBuckets + tolerance
  const currentShare = smoothedRate(totalOf(recent.slice(limit + 1)), recentTotal, expectedShare)
  const expectedRate = Math.min(maxExpectedRate, Math.max(expectedShare, currentShare))
  const badRate = Math.min(maxBadRate, expectedRate + badMargin)
  return evidenceOf(totalOf(target.slice(limit + 1)), totalOf(target), { expectedRate, badRate })
}

function totalOf (buckets: readonly number[]): number {
  return buckets.reduce((sum, count) => sum + count, 0)
}
