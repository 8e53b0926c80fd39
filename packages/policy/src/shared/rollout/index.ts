export { latencyBucketCount, latencyBucketOf, quantileBucket } from './latencyBuckets.ts'
export { addEvidence, alarmThreshold, evidenceOf, maxEvidencePerInterval, updateEvidence, type RateHypotheses } from './changeDetector.ts'
export { addCounts, compareInterval, emptyComparison, emptyCounts, type RouteComparison, type RouteCounts } from './routeComparison.ts'
export {
  addInterval, findRollbackReason, decideRollout, isUnderSuspicion, maxStepMs, minStepMs, newEvidence, shareSteps, startRollout, stepDurationMs,
  type IntervalCounts, type LeaseIdentity, type RolloutEvidence, type RolloutPhase, type RolloutState
} from './rollout.ts'
export { decideTimedRollout, evaluationIntervalMs, gapToleranceBuckets, timedTargetShare, type TargetShareInput, type TimedRolloutDecision, type TimedRolloutInput } from './timedRollout.ts'
export { chooseVersion, findBaselineVersion, type VersionChoiceInput } from './versionChoice.ts'
export { countsByRoute, LocalObserver, localStopMs, type Observation, type ObservedCounts } from './localObserver.ts'
export { poolCounts, PooledIntervals, type OutcomeReport } from './pooledIntervals.ts'
