/**
 * Sequential detection of a raised event rate (Page's CUSUM test on Bernoulli
 * counts). It can be read after every interval without raising the rate of
 * false alarms, and it forgets old good evidence, so that a version that turns
 * bad late is found as fast as one that is bad at once.
 */

export interface RateHypotheses {
  /** Event rate of a good version. */
  readonly expectedRate: number
  /** Event rate from which a version counts as bad. */
  readonly badRate: number
}

/** Evidence at which a version counts as bad; about one false alarm in e^12 independent events. */
export const alarmEvidence = 12

/**
 * Most evidence from one interval. The failures that one lost endpoint causes
 * fall into one interval and must not take a good version back.
 */
export const maxEvidencePerInterval = alarmEvidence / 4

/** Evidence after one more interval with `events` out of `total`. Never below 0. */
export function updateEvidence (evidence: number, events: number, total: number, { expectedRate, badRate }: RateHypotheses): number {
  const perEvent = Math.log(badRate / expectedRate)
  const perOther = Math.log((1 - badRate) / (1 - expectedRate))
  const gained = events * perEvent + (total - events) * perOther
  return Math.max(0, evidence + Math.min(gained, maxEvidencePerInterval))
}
