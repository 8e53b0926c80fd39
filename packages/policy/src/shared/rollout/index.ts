export { latencyBucketCount, latencyBucketOf, quantileBucket } from './latencyBuckets.ts'
export { addEvidence, alarmThreshold, evidenceOf, maxEvidencePerInterval, updateEvidence, type RateHypotheses } from './changeDetector.ts'
export { addCounts, compareInterval, emptyComparison, emptyCounts, noTolerance, type DurationTolerance, type RouteComparison, type RouteCounts } from './routeComparison.ts'
export {
  addInterval, findRollbackReason, decideRollout, isUnderSuspicion, maxStepMs, minStepMs, newEvidence, shareSteps, startRollout, stepDurationMs, strongestEvidence,
  type IntervalCounts, type LeaseIdentity, type RolloutEvidence, type RolloutPhase, type RolloutState
} from './rollout.ts'
export { canFill, hasLoadTrialBegun, loadTrialShare, loadWindowAt, maxLoadedRequests, maxRequestsPerInterval, trialAllowance, type AllowanceInput, type LoadInput, type LoadWindow } from './loadTrial.ts'
export {
  decideTimedRollout, durationTolerance, evaluationIntervalMs, initialStage, stageShare,
  type RolloutStage, type TimedRolloutDecision, type TimedRolloutInput
} from './timedRollout.ts'
export { chooseVersion, findBaselineVersion, type VersionChoiceInput } from './versionChoice.ts'
export { countsByRoute, LocalObserver, localStopMs, type Observation, type ObservedCounts } from './localObserver.ts'
export { poolCounts, PooledIntervals, scaleCounts, type OutcomeReport } from './pooledIntervals.ts'
