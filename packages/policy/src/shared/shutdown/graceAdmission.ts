/** Which requests a router still sends to an endpoint during a planned stop. One that cannot end before the stop would be cut off, and its caller could not tell whether it ran. */

export interface GraceAdmissionInput {
  /** Time until the router ends open requests. */
  readonly untilStopMs: number
  /** Time until the deadline of the request, by which it ends in any case. */
  readonly untilDeadlineMs: number
  /** Longest time that requests of its route took lately; `undefined` if none has ended. */
  readonly longestMs: number | undefined
}

/** Margin over the longest time, because the next request may take longer than all before it. */
const durationMargin = 1.25

export function canEndBeforeStop ({ untilStopMs, untilDeadlineMs, longestMs }: GraceAdmissionInput): boolean {
  if (untilDeadlineMs <= untilStopMs) return true
  return longestMs !== undefined && longestMs * durationMargin <= untilStopMs
}
