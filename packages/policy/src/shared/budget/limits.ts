/** Limits of the holders of budget slices. */

export interface BudgetLimits {
  /** Maximum time until changes of a shard are written. */
  readonly flushMs: number
  /**
   * Target size of a slice, as the time that its holder takes to spend it. Longer
   * than `flushMs`, so that flushes alone keep a slice filled. For a large budget,
   * 20 s caused 1.4 times the writes and 8 s twice the writes, with 8 % and 33 %
   * fewer false refusals during a partition.
   */
  readonly targetMs: number
  /** Time constant of the moving average of the spending rate. */
  readonly rateWindowMs: number
  /**
   * Minimum target of the collector's slice, as a multiple of the largest request,
   * so that a budget with few requests rarely waits for its slice to grow. The
   * collector is the router that the whole fleet prefers for a shard.
   */
  readonly collectorRequests: number
  /** Upper limit of that minimum target, as a share of the remaining tokens. */
  readonly collectorShare: number
  /** Maximum share of the remaining tokens in the slice of a holder that is not the collector. */
  readonly holderShare: number
  /** A budget is nearly exhausted when its remaining tokens are at most this multiple of its holders' targets. */
  readonly nearEndFactor: number
  /** A slice whose idle tokens fall to this share of the target is refilled before the next flush. */
  readonly lowShare: number
  /** Minimum time between two writes for low slices, so that a growing spending rate does not cause constant writes. */
  readonly lowWriteMs: number
  /** A slice with more than this multiple of its target returns the surplus at the next flush. */
  readonly surplusFactor: number
  /** A slice that was not used for this time is closed. */
  readonly closeIdleMs: number
  /** Maximum wait of a reservation for the slice to grow or for a recall. */
  readonly reserveWaitMs: number
  /** Minimum time between two recalls of a budget. */
  readonly recallMs: number
  /** How long a budget counts as scarce after a recall; meanwhile holders other than the collector keep no idle tokens of it. */
  readonly scarcityMs: number
  /** Maximum time for which reservations of an exhausted budget are refused without another read. */
  readonly exhaustedMs: number
  /** Base delay after a failed call to the platform; it doubles with each failure, up to 16 times the base. */
  readonly retryMs: number
  /** A reservation that is not settled within this time counts as spent in full. Longer than any request deadline. */
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
