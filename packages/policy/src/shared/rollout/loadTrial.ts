/**
 * Trial of a version under load. Spread over all its endpoints, the small share of a
 * trial loads none of them, so a fault that needs load would show only when the version
 * has most of the requests. In the load trial, requests are concentrated on one endpoint
 * of the target at a time, up to most of the slots that it declares.
 */

/** Part of the duration after which the load trial begins. A version that fails without load has shown it by then. */
const loadTrialFromPart = 0.28
/** Requests go to the loaded endpoint for the first part of each period. In the rest, outcomes of the baseline show whether the whole fleet has a fault. */
const minPeriodMs = 2400
const periodPart = 0.1
const loadedPart = 0.75
/** Part of the slots of the endpoint that is to be in use. */
const loadedSlots = 0.75
/** Share of the requests that goes to the loaded endpoint at most. The rest goes to the baseline, for comparison. */
const maxLoadShare = 0.9
/** Share of the requests up to which an engine is filled. */
const maxFillingShare = 0.5
/** Part of the requests that a bad version may receive that the whole trial uses. The rest is left for requests that arrive until a fault is known everywhere. */
const usedAllowance = 0.8

export interface LoadWindow {
  /** Number of the period, which selects the endpoint. */
  readonly index: number
}

/** The current window of the load trial; `undefined` outside of windows. */
export function loadWindowAt (elapsedMs: number, durationMs: number): LoadWindow | undefined {
  const sinceStartMs = elapsedMs - loadTrialFromPart * durationMs
  if (sinceStartMs < 0) return undefined
  const periodMs = Math.max(minPeriodMs, periodPart * durationMs)
  const index = Math.floor(sinceStartMs / periodMs)
  return sinceStartMs - index * periodMs < loadedPart * periodMs ? { index } : undefined
}

/** Whether the load trial has begun, so that outcomes of loaded endpoints are among those of the target. */
export function hasLoadTrialBegun (elapsedMs: number, durationMs: number): boolean {
  return elapsedMs >= loadTrialFromPart * durationMs
}

export interface LoadInput {
  /** Slots that the endpoint declares. */
  readonly slots: number
  /** Mean number of requests of the service that this router has in flight, at all its endpoints. */
  readonly meanRunning: number
  readonly routers: number
}

/** Share of the requests of a router that brings one endpoint to the load of the trial, if all routers send theirs. */
export function loadTrialShare ({ slots, meanRunning, routers }: LoadInput): number {
  const running = meanRunning * routers
  return running <= 0 ? maxLoadShare : Math.min(maxLoadShare, loadedSlots * slots / running)
}

/** Whether the requests of the service suffice to fill one endpoint, with a share of them left for the baseline. */
export function canFill (input: LoadInput): boolean {
  return loadTrialShare(input) <= maxFillingShare
}

/** Requests that one router may have in flight at the loaded endpoint. Callers of one router often come together, so it is not divided by the number of routers. */
export function maxLoadedRequests (slots: number): number {
  return Math.max(1, Math.ceil(loadedSlots * slots))
}

export interface AllowanceInput {
  /** Requests of the service at this router since the order. */
  readonly requests: number
  readonly elapsedMs: number
  readonly durationMs: number
  /** Share of all requests until the deadline, and number of requests in addition, that a bad version may receive from all routers. */
  readonly trialShare: number
  readonly trialSlack: number
  readonly routers: number
}

/** Requests of this router that the trial may send the target until the deadline. The requests until then are estimated from those so far. */
export function trialAllowance ({ requests, elapsedMs, durationMs, trialShare, trialSlack, routers }: AllowanceInput): number {
  const expectedRequests = requests * Math.max(1, durationMs / Math.max(elapsedMs, minRateSampleMs))
  return usedAllowance * (trialShare * expectedRequests + trialSlack / routers)
}

/**
 * Requests of one evaluation interval in the load trial. Evidence grows by a limited
 * amount in each, so requests that all came in few of them could not roll a version back.
 */
export function maxRequestsPerInterval (allowance: number): number {
  return Math.max(2, Math.ceil(allowance / loadedIntervals))
}

/** Evaluation intervals for which the allowance lasts at least: three times as many as a rollback needs. */
const loadedIntervals = 12
/** Time over which the rate of requests is known well enough to be extrapolated. */
const minRateSampleMs = 1000
