/** Which requests a router still sends to an endpoint during a planned stop. One that cannot end before the stop would be cut off, and its caller could not tell whether it ran. */
import type { Durations } from './recentDurations.ts'

export interface GraceAdmissionInput {
  /** Time until the router ends open requests. */
  readonly untilStopMs: number
  /** Time until the deadline of the request, by which it ends in any case. */
  readonly untilDeadlineMs: number
  /** Whether its caller may send it again after it was cut off. */
  readonly isRepeatable: boolean
  /** How long requests of its route took lately; `undefined` if none has ended. */
  readonly durations: Durations | undefined
}

/** Margin over the times so far, because the next request may take longer. */
const durationMargin = 1.25

/** A request that may not be repeated has to end for sure, so the longest time counts. For one that may be, the usual time does: being refused costs each of them a delay, and being cut off only a few. */
export function canEndBeforeStop ({ untilStopMs, untilDeadlineMs, isRepeatable, durations }: GraceAdmissionInput): boolean {
  if (untilDeadlineMs <= untilStopMs) return true
  if (durations === undefined) return false
  return (isRepeatable ? durations.meanMs : durations.longestMs) * durationMargin <= untilStopMs
}
