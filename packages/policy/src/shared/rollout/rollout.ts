/**
 * A rollout of one service: its stored state and the decision after each
 * interval. All functions are pure; the holder of the rollout lease stores the state.
 */
import { addEvidence, alarmThreshold } from './changeDetector.ts'
import { compareInterval, emptyComparison, emptyCounts, noTolerance, type RouteComparison, type RouteCounts } from './routeComparison.ts'

export type RolloutPhase =
  | { readonly kind: 'moving' }
  | { readonly kind: 'done' }
  | { readonly kind: 'rolledBack', readonly reason: string }

/** Value of the document `rollouts/<service>`. */
export interface RolloutState {
  readonly service: string
  readonly baseline: string
  readonly target: string
  /** Share of the service's traffic that goes to the target, 0 to 1. */
  readonly targetShare: number
  readonly phase: RolloutPhase
  /** Wall-clock times in ms since the Unix epoch. */
  readonly startedAtMs: number
  readonly stepStartedAtMs: number
  readonly moveByMs: number | undefined
  /** Fencing token of the lease under which this state was written. */
  readonly fencingToken: number
  /** Id of the router that held the lease; the other routers report their counts to it. */
  readonly holder: string
}

/**
 * Traffic shares of the target, in order. Doubling keeps the traffic that a bad
 * version receives small compared with the evidence that it gives. Before the
 * last step a tenth stays on the baseline, because without it a fault of the
 * whole fleet looks like one of the target.
 */
export const shareSteps: readonly number[] = [0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 0.9, 1]

/** Minimum and maximum scheduled time at one share. Faults that appear late or under load need time to show. */
export const minStepMs = 5_000
export const maxStepMs = 300_000

/** Fraction of the time until `moveByMs` over which the steps are scheduled; the rest is margin. */
const scheduleFraction = 0.8

/** The last step is taken no earlier than this before `moveByMs`, which leaves every router time to follow. */
const lastStepMarginMs = 30_000

/** Evidence against the target from which its share is not increased, unless the rollout has a deadline and twice the scheduled time of a step has passed. */
const suspicionThreshold = alarmThreshold / 3

/** Requests that the target needs at one share before the share may increase in a rollout without a deadline. */
const minRequestsPerStep = 50

/** Evidence about the target of one service. The lease holder keeps it in memory, as does each router for its own counts. */
export interface RolloutEvidence {
  readonly target: string
  readonly routes: Readonly<Record<string, RouteComparison>>
  readonly requestsAtStep: number
  /** Requests of the baseline so far. */
  readonly baselineRequests: number
  /** Evidence of all routes together, because a version that is bad on all of them shows it sooner. */
  readonly failureEvidence: number
  readonly slowEvidence: number
  readonly gapEvidence: number
}

/** The lease under which a state is written. */
export type LeaseIdentity = Pick<RolloutState, 'fencingToken' | 'holder'>

/** Creates the state of a new rollout, at the first share. */
export function startRollout (service: string, baseline: string, target: string, nowMs: number, moveByMs: number | undefined, lease: LeaseIdentity): RolloutState {
  return {
    service, baseline, target, targetShare: shareSteps[0]!, phase: { kind: 'moving' }, startedAtMs: nowMs, stepStartedAtMs: nowMs, moveByMs, ...lease
  }
}

export function newEvidence (target: string): RolloutEvidence {
  return { target, routes: {}, requestsAtStep: 0, baselineRequests: 0, failureEvidence: 0, slowEvidence: 0, gapEvidence: 0 }
}

/** Counts of one interval for both versions, by route. */
export interface IntervalCounts {
  readonly baseline: Readonly<Record<string, RouteCounts>>
  readonly target: Readonly<Record<string, RouteCounts>>
}

/** Adds the counts of one interval to the evidence. */
export function addInterval (evidence: RolloutEvidence, interval: IntervalCounts, tolerance = noTolerance): RolloutEvidence {
  const names = new Set([...Object.keys(evidence.routes), ...Object.keys(interval.baseline), ...Object.keys(interval.target)])
  const routes: Record<string, RouteComparison> = {}
  let [requests, baselineRequests] = [0, 0]
  for (const route of names) {
    const [target, baseline] = [interval.target[route] ?? emptyCounts, interval.baseline[route] ?? emptyCounts]
    routes[route] = compareInterval(evidence.routes[route] ?? emptyComparison, baseline, target, tolerance)
    requests += target.completed + target.failed
    baselineRequests += baseline.completed + baseline.failed
  }
  const comparisons = Object.values(routes)
  return {
    ...evidence,
    routes,
    requestsAtStep: evidence.requestsAtStep + requests,
    baselineRequests: evidence.baselineRequests + baselineRequests,
    failureEvidence: addEvidence(evidence.failureEvidence, comparisons.reduce((sum, route) => sum + route.failureGain, 0)),
    slowEvidence: addEvidence(evidence.slowEvidence, comparisons.reduce((sum, route) => sum + route.slowGain, 0)),
    gapEvidence: addEvidence(evidence.gapEvidence, comparisons.reduce((sum, route) => sum + route.gapGain, 0))
  }
}

/** Reason to roll the target back; `undefined` when there is none. */
export function findRollbackReason (evidence: RolloutEvidence): string | undefined {
  if (evidence.failureEvidence >= alarmThreshold) return 'failures on all routes together'
  if (evidence.slowEvidence >= alarmThreshold) return 'slow on all routes together'
  if (evidence.gapEvidence >= alarmThreshold) return 'slow streams on all routes together'
  for (const [route, comparison] of Object.entries(evidence.routes)) {
    if (comparison.failureEvidence >= alarmThreshold) return `failures on ${route}`
    if (comparison.slowEvidence >= alarmThreshold) return `slow on ${route}`
    if (comparison.gapEvidence >= alarmThreshold) return `slow streams on ${route}`
  }
  return undefined
}

/** Whether there is evidence against the target that does not suffice to roll it back, so that its share is not increased. */
export function isUnderSuspicion (evidence: RolloutEvidence): boolean {
  return strongestEvidence(evidence) >= suspicionThreshold
}

/** The strongest evidence against the target, of one route or of all together. */
export function strongestEvidence ({ routes, failureEvidence, slowEvidence, gapEvidence }: RolloutEvidence): number {
  const evidences = Object.values(routes).flatMap(route => [route.failureEvidence, route.slowEvidence, route.gapEvidence])
  return Math.max(failureEvidence, slowEvidence, gapEvidence, ...evidences)
}

/** Decides the next state from the evidence; returns the same object when nothing changes. */
export function decideRollout (state: RolloutState, evidence: RolloutEvidence, nowMs: number): RolloutState {
  if (state.phase.kind === 'rolledBack') return state
  const reason = findRollbackReason(evidence)
  if (reason !== undefined) return { ...state, targetShare: 0, phase: { kind: 'rolledBack', reason }, stepStartedAtMs: nowMs }
  if (state.phase.kind === 'done' || !mayIncreaseShare(state, evidence, nowMs)) return state
  const targetShare = shareSteps.find(share => share > state.targetShare) ?? 1
  return { ...state, targetShare, phase: { kind: targetShare === 1 ? 'done' : 'moving' }, stepStartedAtMs: nowMs }
}

function mayIncreaseShare (state: RolloutState, evidence: RolloutEvidence, nowMs: number): boolean {
  const timeAtStepMs = nowMs - state.stepStartedAtMs
  const scheduledStepMs = stepDurationMs(state)
  if (isLastStep(state) && state.moveByMs !== undefined && nowMs < state.moveByMs - lastStepMarginMs) return false
  const isOverdue = state.moveByMs !== undefined && timeAtStepMs >= 2 * scheduledStepMs
  if (isOverdue) return true
  if (isUnderSuspicion(evidence) || timeAtStepMs < scheduledStepMs) return false
  return evidence.requestsAtStep >= minRequestsPerStep || state.moveByMs !== undefined
}

function isLastStep (state: RolloutState): boolean {
  return state.targetShare === shareSteps.at(-2)
}

/** Scheduled time at one share: an equal part of the time until `moveByMs`, between `minStepMs` and `maxStepMs`. */
export function stepDurationMs (state: RolloutState): number {
  if (state.moveByMs === undefined) return maxStepMs
  const availableMs = (state.moveByMs - state.startedAtMs) * scheduleFraction
  return Math.min(maxStepMs, Math.max(minStepMs, availableMs / shareSteps.length))
}
