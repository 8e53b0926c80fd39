/** Estimates an endpoint's load from its last report and the router's own requests. */

/** State that an endpoint process reported, with the time at which the report arrived. */
export interface LoadReport {
  readonly inFlight: number
  /** Concurrency limit of the endpoint. */
  readonly limit: number
  readonly queued: number
  readonly leaving: boolean
  readonly healthy: boolean
  /** Monotonic arrival time in ms. */
  readonly atMs: number
  /** Number of this router's requests at the endpoint when the report arrived; `inFlight` includes them. */
  readonly ownInFlight: number
}

/** An endpoint that a request may be sent to. */
export interface Candidate {
  readonly id: string
  readonly failureDomain: string
  /** Concurrency limit, used while there is no report. */
  readonly limit: number
  readonly report: LoadReport | undefined
  /** Number of this router's requests at the endpoint now. */
  readonly ownInFlight: number
  /** Monotonic time until which the endpoint is avoided, after it refused a request as full or failed repeatedly. */
  readonly avoidUntilMs: number
  readonly isSuspected: boolean
}

/** Half-life of a report's weight; the estimate approaches the average as the report ages. */
const reportHalfLifeMs = 1000

function weightOf (report: LoadReport, nowMs: number): number {
  return 0.5 ** (Math.max(0, nowMs - report.atMs) / reportHalfLifeMs)
}

function requestsOfOtherRouters (report: LoadReport): number {
  return Math.max(0, report.inFlight + report.queued - report.ownInFlight)
}

/** Average load that other routers cause, as a share of the limit. Newer reports weigh more; 0 without reports. */
export function averageOtherRoutersShare (candidates: readonly Candidate[], nowMs: number): number {
  let sum = 0
  let weights = 0
  for (const { report } of candidates) {
    if (report === undefined) continue
    const weight = weightOf(report, nowMs)
    sum += weight * requestsOfOtherRouters(report) / Math.max(1, report.limit)
    weights += weight
  }
  return weights < 1e-6 ? 0 : sum / weights
}

/** Estimated load of an endpoint: its requests as a share of its limit. It is above 1 when requests wait. */
export function loadShare (candidate: Candidate, averageShare: number, nowMs: number): number {
  const limit = Math.max(1, candidate.report?.limit ?? candidate.limit)
  const own = candidate.ownInFlight / limit
  if (candidate.report === undefined) return averageShare + own
  const weight = weightOf(candidate.report, nowMs)
  return weight * requestsOfOtherRouters(candidate.report) / limit + (1 - weight) * averageShare + own
}
