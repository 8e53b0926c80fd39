/**
 * Sequential test for an increased event rate (Page's CUSUM on Bernoulli
 * counts). It can be evaluated after every interval without raising the rate of
 * false alarms. Evidence for a good version does not accumulate, so a version
 * that turns bad late is detected as fast as one that is bad from the start.
 */

export interface RateHypotheses {
  /** Event rate of a good version. */
  readonly expectedRate: number
  /** Event rate from which a version counts as bad. */
  readonly badRate: number
}

/** Evidence at which a version counts as bad; about one false alarm in e^12 independent events. */
export const alarmThreshold = 12

/**
 * Maximum evidence gained in one interval. The failures that one lost endpoint
 * causes fall into one interval and must not roll back a good version.
 */
export const maxEvidencePerInterval = alarmThreshold / 4

/** Evidence that `events` of `total` requests give for the bad rate; negative if they speak for the expected one. */
export function evidenceOf (events: number, total: number, { expectedRate, badRate }: RateHypotheses): number {
  const perEvent = Math.log(badRate / expectedRate)
  const perNonEvent = Math.log((1 - badRate) / (1 - expectedRate))
  return events * perEvent + (total - events) * perNonEvent
}

/** Evidence after one more interval. Never below 0. */
export function addEvidence (evidence: number, gained: number): number {
  return Math.max(0, evidence + Math.min(gained, maxEvidencePerInterval))
}

/** Evidence after one more interval, in which `events` of `total` requests had the event. */
export function updateEvidence (evidence: number, events: number, total: number, hypotheses: RateHypotheses): number {
  return addEvidence(evidence, evidenceOf(events, total, hypotheses))
}
