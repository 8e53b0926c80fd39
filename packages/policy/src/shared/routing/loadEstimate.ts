/** Estimates an endpoint's load from its last report and the router's own requests. */

/** What an endpoint process said about itself, and when it arrived. */
export interface LoadReport {
  readonly inFlight: number
  readonly limit: number
  readonly queued: number
  readonly leaving: boolean
  readonly healthy: boolean
  /** Monotonic arrival time in ms. */
  readonly atMs: number
  /** This router's requests at the endpoint when the report arrived; they are part of `inFlight`. */
  readonly ownInFlight: number
}

/** An endpoint as a candidate for a request. */
export interface Candidate {
  readonly id: string
  readonly failureDomain: string
  readonly limit: number
  readonly report: LoadReport | undefined
  /** This router's requests at the endpoint now. */
  readonly ownInFlight: number
  /** Monotonic time in ms until which the endpoint is avoided, because it refused as full. */
  readonly avoidUntilMs: number
  readonly isSuspected: boolean
}

/** Age in ms at which a report counts half; older reports approach the average. */
const reportHalfLifeMs = 1000

function weightOf (report: LoadReport, nowMs: number): number {
  return 0.5 ** (Math.max(0, nowMs - report.atMs) / reportHalfLifeMs)
}

function othersAt (report: LoadReport): number {
  return Math.max(0, report.inFlight + report.queued - report.ownInFlight)
}

/** Mean load by other routers as a share of the limit, weighted by the age of the reports; 0 without reports. */
export function averageOthersShare (candidates: readonly Candidate[], nowMs: number): number {
  let sum = 0
  let weights = 0
  for (const { report } of candidates) {
    if (report === undefined) continue
    const weight = weightOf(report, nowMs)
    sum += weight * othersAt(report) / Math.max(1, report.limit)
    weights += weight
  }
  return weights < 1e-6 ? 0 : sum / weights
}

/** Estimated requests at the endpoint as a share of its limit; above 1 when requests wait. */
export function loadShare (candidate: Candidate, averageShare: number, nowMs: number): number {
  const limit = Math.max(1, candidate.report?.limit ?? candidate.limit)
  const own = candidate.ownInFlight / limit
  if (candidate.report === undefined) return averageShare + own
  const weight = weightOf(candidate.report, nowMs)
  return weight * othersAt(candidate.report) / limit + (1 - weight) * averageShare + own
}
