/**
 * A rollout of one service: its stored state and the decision after each
 * interval. Pure; the holder of the rollout lease stores the state.
 */
import { alarmEvidence } from './changeDetector.ts'
import { compareInterval, newComparison, noCounts, type RouteComparison, type RouteCounts } from './routeComparison.ts'

export type RolloutPhase =
  | { readonly kind: 'moving' }
  | { readonly kind: 'done' }
  | { readonly kind: 'rolledBack', readonly reason: string }

/** Value of the document `rollouts/<service>`. */
export interface RolloutState {
  readonly service: string
  readonly baseline: string
  readonly target: string
  /** Share of the service's traffic for the target, 0 to 1. */
  readonly targetShare: number
  readonly phase: RolloutPhase
  /** Wall-clock times in ms since the Unix epoch. */
  readonly startedAtMs: number
  readonly stepStartedAtMs: number
  readonly moveByMs: number | undefined
  /** Fencing token of the lease under which this state was written. */
  readonly fencingToken: number
  /** Id of the router that held the lease; the others report to it. */
  readonly holder: string
}

/**
 * Shares in order; doubling keeps the traffic that a bad version gets small
 * compared with the evidence it gives. Before the last step a tenth stays on
 * the baseline, because without it a fault of the whole fleet looks like one
 * of the target.
 */
export const shareSteps: readonly number[] = [0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 0.9, 1]

/** Least and most time at one share. Faults that come late or under load need time to show. */
export const minStepMs = 5_000
export const maxStepMs = 300_000

/** Part of the time until `moveByMs` that the steps fill; the rest is margin. */
const scheduleFill = 0.8

/** The last tenth moves this long before `moveByMs`, time for every router to follow. */
const lastStepMarginMs = 30_000

/** Above this evidence the share is held, unless the schedule has run out. */
const suspicionEvidence = alarmEvidence / 3

/** Requests of the target at one share before it may rise ahead of the schedule's limit. */
const minRequestsPerStep = 50

/** Evidence of one service, kept in memory by the lease holder. */
export interface RolloutEvidence {
  readonly target: string
  readonly routes: Readonly<Record<string, RouteComparison>>
  readonly requestsAtStep: number
}

export type LeaseIdentity = Pick<RolloutState, 'fencingToken' | 'holder'>

/** Starts a rollout. */
export function startRollout (service: string, baseline: string, target: string, nowMs: number, moveByMs: number | undefined, lease: LeaseIdentity): RolloutState {
  return {
    service, baseline, target, targetShare: shareSteps[0]!, phase: { kind: 'moving' }, startedAtMs: nowMs, stepStartedAtMs: nowMs, moveByMs, ...lease
  }
}

export function newEvidence (target: string): RolloutEvidence {
  return { target, routes: {}, requestsAtStep: 0 }
}

/** Counts of one interval by route. */
export interface IntervalCounts {
  readonly baseline: Readonly<Record<string, RouteCounts>>
  readonly target: Readonly<Record<string, RouteCounts>>
}

/** Takes one interval, pooled over the fleet. */
export function addInterval (evidence: RolloutEvidence, interval: IntervalCounts): RolloutEvidence {
  const names = new Set([...Object.keys(evidence.routes), ...Object.keys(interval.baseline), ...Object.keys(interval.target)])
  const routes: Record<string, RouteComparison> = {}
  let requests = 0
  for (const route of names) {
    const target = interval.target[route] ?? noCounts
    routes[route] = compareInterval(evidence.routes[route] ?? newComparison, interval.baseline[route] ?? noCounts, target)
    requests += target.completed + target.failed
  }
  return { ...evidence, routes, requestsAtStep: evidence.requestsAtStep + requests }
}

/** Why the target is bad, or `undefined`. */
export function badReason (evidence: RolloutEvidence): string | undefined {
  for (const [route, comparison] of Object.entries(evidence.routes)) {
    if (comparison.failureEvidence >= alarmEvidence) return `failures on ${route}`
    if (comparison.slowEvidence >= alarmEvidence) return `slow on ${route}`
  }
  return undefined
}

/** The state after the evidence; the same object when nothing changes. */
export function decideRollout (state: RolloutState, evidence: RolloutEvidence, nowMs: number): RolloutState {
  if (state.phase.kind === 'rolledBack') return state
  const reason = badReason(evidence)
  if (reason !== undefined) return { ...state, targetShare: 0, phase: { kind: 'rolledBack', reason }, stepStartedAtMs: nowMs }
  if (state.phase.kind === 'done' || !mayRise(state, evidence, nowMs)) return state
  const targetShare = shareSteps.find(share => share > state.targetShare) ?? 1
  return { ...state, targetShare, phase: { kind: targetShare === 1 ? 'done' : 'moving' }, stepStartedAtMs: nowMs }
}

function mayRise (state: RolloutState, evidence: RolloutEvidence, nowMs: number): boolean {
  const atStepMs = nowMs - state.stepStartedAtMs
  const limitMs = stepMs(state)
  if (isLastStep(state) && state.moveByMs !== undefined && nowMs < state.moveByMs - lastStepMarginMs) return false
  const isOverdue = state.moveByMs !== undefined && atStepMs >= 2 * limitMs
  if (isOverdue) return true
  const isSuspicious = Object.values(evidence.routes)
    .some(route => Math.max(route.failureEvidence, route.slowEvidence) >= suspicionEvidence)
  if (isSuspicious || atStepMs < limitMs) return false
  return evidence.requestsAtStep >= minRequestsPerStep || state.moveByMs !== undefined
}

function isLastStep (state: RolloutState): boolean {
  return state.targetShare === shareSteps.at(-2)
}

/** Time at one share: an equal part of the time until `moveByMs`, within bounds. */
export function stepMs (state: RolloutState): number {
  if (state.moveByMs === undefined) return maxStepMs
  const availableMs = (state.moveByMs - state.startedAtMs) * scheduleFill
  return Math.min(maxStepMs, Math.max(minStepMs, availableMs / shareSteps.length))
}
