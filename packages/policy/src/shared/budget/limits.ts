/** Limits of the budget ledger, with the reason for each default. */

export interface BudgetLimits {
  /** Longest time between two writes of a shard with changes. */
  readonly flushMs: number
  /**
   * Time of spend that a slice aims to hold. Longer than `flushMs`, so that a
   * slice is refilled by flushes alone. At 20 s a large budget cost 1.4 times
   * the writes and at 8 s twice; in a partition those had 8 % and 33 % fewer
   * false refusals.
   */
  readonly targetMs: number
  /** Time constant of the measured rate of spend. */
  readonly rateWindowMs: number
  /** Largest requests that the collector's slice holds, so that a budget with few requests seldom waits for a draw. */
  readonly collectorRequests: number
  /** Most of the tokens left that the collector holds before the end of a budget is near. */
  readonly collectorShare: number
  /** Most of the tokens left that another holder holds. */
  readonly holderShare: number
  /** The end of a budget is near when it has less than this many times what its holders aim to hold. */
  readonly nearEndFactor: number
  /** A slice below this share of its target is drawn on before the next flush. */
  readonly lowShare: number
  /** Shortest time between two writes for low slices, so that a growing rate does not write constantly. */
  readonly lowWriteMs: number
  /** A slice with this many times its target returns the rest at the next flush. */
  readonly surplusFactor: number
  /** A slice that is unused for so long is closed. */
  readonly closeIdleMs: number
  /** How long a reservation waits for a draw or a recall. */
  readonly reserveWaitMs: number
  /** Shortest time between two recalls of a budget. */
  readonly recallMs: number
  /** How long a holder keeps no idle tokens of a budget after a recall. */
  readonly scarcityMs: number
  /** Longest time for which an exhausted budget is refused without another read. */
  readonly exhaustedMs: number
  /** Pause after a failed call to the platform; doubles up to 16 times. */
  readonly retryMs: number
  /** A reservation that nobody settles counts as wholly spent after this time; longer than any deadline. */
  readonly orphanMs: number
}

export const defaultBudgetLimits: BudgetLimits = {
  flushMs: 15_000,
  targetMs: 25_000,
  rateWindowMs: 10_000,
  collectorRequests: 64,
  collectorShare: 0.25,
  holderShare: 0.125,
  nearEndFactor: 1,
  lowShare: 0.25,
  lowWriteMs: 1000,
  surplusFactor: 2,
  closeIdleMs: 600_000,
  reserveWaitMs: 1500,
  recallMs: 1000,
  scarcityMs: 10_000,
  exhaustedMs: 8000,
  retryMs: 100,
  orphanMs: 900_000
}
