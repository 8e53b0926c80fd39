/** Decisions of a rollout that has to end by a set time: which share of the requests goes to the target version, and when the rollout ends. */
import { findRollbackReason, isUnderSuspicion, type RolloutEvidence } from './rollout.ts'

/** Interval at which outcomes are evaluated. Evidence grows by a limited amount in each, so the interval bounds how fast a fault under load is noticed. */
export const evaluationIntervalMs = 300

/** Share of the requests that the target gets from a part of the duration on. */
interface Step {
  readonly fromShareOfDuration: number
  readonly targetShare: number
  /** Upper limit of `targetShare`, as a multiple of the share of all requests that a version under trial may receive in total. */
  readonly maxTrialShares?: number
}

/**
 * The target gets a small share for almost half of the time, in which most faults show,
 * also those that begin late. The share then doubles, so that a fault that appears only
 * under load is noticed before the target has all requests. The last part is left for
 * requests that still run at the old version, because its endpoints stop when the
 * rollout is completed.
 */
const steps: readonly Step[] = [
  { fromShareOfDuration: 0.75, targetShare: 1 },
  { fromShareOfDuration: 0.67, targetShare: 0.6 },
  { fromShareOfDuration: 0.58, targetShare: 0.3 },
  { fromShareOfDuration: 0.45, targetShare: 0.15, maxTrialShares: 1.5 },
  { fromShareOfDuration: 0, targetShare: 0.07, maxTrialShares: 0.7 }
]
/** Part of the duration after which a rollout without a fault is completed; the rest is a margin for the store. */
const completionShare = 0.92
/** Requests that the target has to have answered, if there were any. */
const minTargetRequests = 10

export interface TargetShareInput {
  readonly elapsedMs: number
  readonly durationMs: number
  /** Share of all requests until the deadline that a bad version may receive. */
  readonly trialShare: number
  /** Share that the target had before it came under suspicion, and keeps meanwhile. */
  readonly heldShare: number | undefined
}

/** Share of the requests that the target gets now. */
export function timedTargetShare ({ elapsedMs, durationMs, trialShare, heldShare = 1 }: TargetShareInput): number {
  const step = steps.find(each => elapsedMs >= each.fromShareOfDuration * durationMs)
  if (step === undefined) return 0
  return Math.min(step.targetShare, heldShare, step.maxTrialShares === undefined ? 1 : step.maxTrialShares * trialShare)
}

/** Share up to which the endpoints of the target bear no more load than those of the baseline. */
const maxLightShare = 0.15
/** Engines send events more slowly the more streams they run, so at larger shares the time between two events at the target may be longer by this factor of 1.4. */
const loadedGapToleranceBuckets = 2

/** Buckets by which the time between events at the target may exceed the usual limit at this share. */
export function gapToleranceBuckets (targetShare: number): number {
  return targetShare <= maxLightShare ? 0 : loadedGapToleranceBuckets
}

export interface TimedRolloutInput {
  readonly evidence: RolloutEvidence
  readonly elapsedMs: number
  readonly durationMs: number
  /** Whether an endpoint of the target accepts requests. */
  readonly hasTargetEndpoint: boolean
}

export type TimedRolloutDecision =
  | { readonly kind: 'continue' }
  | { readonly kind: 'complete' }
  | { readonly kind: 'rollBack', readonly reason: string }

export function decideTimedRollout ({ evidence, elapsedMs, durationMs, hasTargetEndpoint }: TimedRolloutInput): TimedRolloutDecision {
  const reason = findRollbackReason(evidence)
  if (reason !== undefined) return { kind: 'rollBack', reason }
  const comparisons = Object.values(evidence.routes)
  const targetRequests = comparisons.reduce((sum, route) => sum + route.targetRequests, 0)
  const hasTraffic = comparisons.some(route => route.baseline.completed + route.baseline.failed > 0)
  const isProven = targetRequests >= minTargetRequests || !hasTraffic
  if (elapsedMs < completionShare * durationMs || !hasTargetEndpoint || !isProven) return { kind: 'continue' }
  // Further requests either confirm a suspicion or end it, so a good version is completed a little later.
  return isUnderSuspicion(evidence) ? { kind: 'continue' } : { kind: 'complete' }
}
