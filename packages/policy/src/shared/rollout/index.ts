export { latencyBucketCount, latencyBucketOf, quantileBucket } from './latencyBuckets.ts'
export { alarmEvidence, maxEvidencePerInterval, updateEvidence, type RateHypotheses } from './changeDetector.ts'
export { addCounts, compareInterval, newComparison, noCounts, type RouteComparison, type RouteCounts } from './routeComparison.ts'
export {
  addInterval, badReason, decideRollout, maxStepMs, minStepMs, newEvidence, shareSteps, startRollout, stepMs,
  type IntervalCounts, type LeaseIdentity, type RolloutEvidence, type RolloutPhase, type RolloutState
} from './rollout.ts'
export { chooseVersion, findBaselineVersion, type VersionChoiceInput } from './versionChoice.ts'
export { byRoute, LocalObserver, localStopMs, type ObservedCounts } from './localObserver.ts'
export { poolCounts, PooledIntervals, type OutcomeReport } from './pooledIntervals.ts'
