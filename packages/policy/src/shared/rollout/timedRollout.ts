/** Decisions of a rollout that has to end by a set time: which share of the requests goes to the target version, and when the rollout ends. */
import type { DurationTolerance } from './routeComparison.ts'
import { findRollbackReason, isUnderSuspicion, strongestEvidence, type RolloutEvidence } from './rollout.ts'

/** Interval at which outcomes are evaluated. Evidence grows by a limited amount in each, so the interval bounds how fast a fault under load is noticed. */
export const evaluationIntervalMs = 300

/** Stage of a rollout without a result. */
export type RolloutStage =
  /** The target gets a small share, and for short times as much as one endpoint bears, see `loadTrial.ts`. */
  | { readonly kind: 'trial' }
  /** The share grows. Progress stops while the target is under suspicion. */
  | { readonly kind: 'ramp', readonly progressMs: number, readonly suspiciousMs: number }

export const initialStage: RolloutStage = { kind: 'trial' }

/** Part of the allowed trial share that the target gets during the trial; the rest is left for the load trial and for a fault that shows late. */
const usedTrialShare = 0.7
/** Part of the duration after which the ramp may begin. Most faults show in the trial, also those that begin late. */
const trialPart = 0.58
/** Share of the requests by the progress of the ramp, as a part of the duration. */
const rampSteps: ReadonlyArray<{ readonly fromPart: number, readonly share: number }> = [
  { fromPart: 0.17, share: 1 },
  { fromPart: 0.09, share: 0.6 },
  { fromPart: 0, share: 0.3 }
]
/** Progress at which the rollout is completed. Its last part is left for requests that still run at the old version, because its endpoints stop when the rollout is completed. */
const completionPart = 0.34
/** Least progress before completion, if the ramp began late and the deadline is near. */
const lateCompletionPart = 0.27
/** Part of the duration after which the deadline is near; the rest is a margin for the store. */
const nearDeadlinePart = 0.92
/** Time for which a share of the ramp is kept under suspicion. A bad version gets enough requests in it to be rolled back. */
const maxSuspiciousRampMs = 2000
/** Evidence against the target from which the ramp does not begin: less than a single failure that nothing explains. In the trial further requests clear a good version soon. */
const maxRampEvidence = 2
/** Requests that the target has to have answered before the ramp, unless the service gets few. */
const minTargetRequests = 10

/** Share of the requests that the target gets in a stage, without the load trial. `trialShare` is the share of all requests until the deadline that a bad version may receive. */
export function stageShare (stage: RolloutStage, durationMs: number, trialShare: number): number {
  switch (stage.kind) {
    case 'trial':
      return Math.min(1, usedTrialShare * trialShare)
    case 'ramp':
      return rampSteps.find(step => stage.progressMs >= step.fromPart * durationMs)?.share ?? 0
  }
}

/** Buckets by which the target may be slower without counting as slow. During the first part of the trial its endpoints bear no more load than those of the baseline. */
export function durationTolerance (stage: RolloutStage, wasLoaded: boolean): DurationTolerance {
  return stage.kind === 'trial' && !wasLoaded ? { latencyBuckets: 0, gapBuckets: 0 } : loadedTolerance
}

/** Engines send events more slowly the more streams they run, and a full endpoint responds later: by factors of 1.4 and 2, these are no faults of a loaded endpoint. */
const loadedTolerance: DurationTolerance = { latencyBuckets: 4, gapBuckets: 2 }

export interface TimedRolloutInput {
  readonly evidence: RolloutEvidence
  readonly stage: RolloutStage
  readonly elapsedMs: number
  readonly durationMs: number
  readonly trialShare: number
  /** Whether an endpoint of the target accepts requests. */
  readonly hasTargetEndpoint: boolean
}

export type TimedRolloutDecision =
  | { readonly kind: 'continue', readonly stage: RolloutStage }
  | { readonly kind: 'complete' }
  | { readonly kind: 'rollBack', readonly reason: string }

/** Decides after one interval. */
export function decideTimedRollout (input: TimedRolloutInput): TimedRolloutDecision {
  const { evidence, stage, durationMs } = input
  const reason = findRollbackReason(evidence)
  if (reason !== undefined) return { kind: 'rollBack', reason }
  switch (stage.kind) {
    case 'trial':
      // What a bad version may receive is used up by then, so nothing further would confirm or clear the suspicion.
      if (input.elapsedMs >= nearDeadlinePart * durationMs && isUnderSuspicion(evidence)) return { kind: 'rollBack', reason: 'a suspicion was not cleared by the deadline' }
      return { kind: 'continue', stage: mayRamp(input) ? { kind: 'ramp', progressMs: 0, suspiciousMs: 0 } : stage }
    case 'ramp': {
      if (isUnderSuspicion(evidence)) return { kind: 'continue', stage: holdRamp(stage) }
      const progressMs = stage.progressMs + evaluationIntervalMs
      const isNearDeadline = input.elapsedMs >= nearDeadlinePart * durationMs
      const isDone = progressMs >= (isNearDeadline ? lateCompletionPart : completionPart) * durationMs
      return isDone && input.hasTargetEndpoint ? { kind: 'complete' } : { kind: 'continue', stage: { kind: 'ramp', progressMs, suspiciousMs: 0 } }
    }
  }
}

/** Keeps the share for a while, then goes back to the trial, in which further requests confirm or end the suspicion. */
function holdRamp (stage: RolloutStage & { readonly kind: 'ramp' }): RolloutStage {
  const suspiciousMs = stage.suspiciousMs + evaluationIntervalMs
  return suspiciousMs > maxSuspiciousRampMs ? initialStage : { ...stage, suspiciousMs }
}

/** Whether the trial has shown enough. Time alone does not end it: without requests at the target nothing speaks for the version. */
function mayRamp ({ evidence, elapsedMs, durationMs, trialShare, hasTargetEndpoint }: TimedRolloutInput): boolean {
  if (elapsedMs < trialPart * durationMs || !hasTargetEndpoint || strongestEvidence(evidence) >= maxRampEvidence) return false
  const requiredRequests = Math.min(minTargetRequests, trialShare * evidence.baselineRequests)
  return evidence.requestsAtStep >= requiredRequests
}
