/**
 * Time-released grants. A router publishes a line for each grant: the tokens that
 * it may have committed by a given time after the report. Until its next report it
 * commits no more than the line allows. A long grant then carries the router through
 * a cut from the store, and a process that ends shortly after a report is known to
 * have spent only what the line allowed until then, and not its whole grant.
 */

export interface ReleaseLine {
  /** Tokens of the grant that were committed at the report. */
  readonly committedTokens: number
  /** Tokens that may be committed at once. */
  readonly burstTokens: number
  /** Rate at which further tokens may be committed. */
  readonly tokensPerMs: number
}

/** Tokens that a holder may commit at once, as time of its spending. The burst also covers the largest request, which would otherwise wait for the line in a cut. */
const burstMs = 600
/** Minimum burst as a share of the budget, so that one request of a quiet organisation needs no report of its own. */
const minBurstShare = 0.004
/** Limit of the burst as a share of the idle tokens, so that little is lost of a grant that is nearly used up. */
const maxBurstShare = 0.3
/** Factor by which the released rate exceeds the spending rate, which varies. */
const rateFactor = 1.5
/** Minimum released rate, as a share of the budget per ms. Without it, an organisation that was quiet at the report could spend only its burst in a cut. */
const minRateShare = 0.002 / 1000

export interface ReleaseInput {
  readonly prepaidTokens: number
  /** Tokens of the grant that are spent, reserved or lent. */
  readonly committedTokens: number
  /** Spending rate in tokens per ms. */
  readonly ratePerMs: number
  /** Size of the largest request so far. */
  readonly largestRequestTokens: number
  /** Tokens of the grant that are not committed. */
  readonly idleTokens: number
  /** Tokens of the requests that wait for this report. */
  readonly waitingTokens: number
}

export function planReleaseLine ({ prepaidTokens, committedTokens, ratePerMs, largestRequestTokens, idleTokens, waitingTokens }: ReleaseInput): ReleaseLine {
  return {
    committedTokens: Math.ceil(committedTokens),
    burstTokens: Math.ceil(Math.min(Math.max(ratePerMs * burstMs, prepaidTokens * minBurstShare, largestRequestTokens), idleTokens * maxBurstShare) + waitingTokens),
    tokensPerMs: Math.max(ratePerMs * rateFactor, prepaidTokens * minRateShare)
  }
}

/** Tokens that the holder may have committed `elapsedMs` after the report. */
export function releasedTokens (line: ReleaseLine, elapsedMs: number): number {
  return line.committedTokens + line.burstTokens + line.tokensPerMs * Math.max(0, elapsedMs)
}

/** Time until the line covers `tokens`, in ms after the report. */
export function releaseDelayMs (line: ReleaseLine, tokens: number): number {
  const missingTokens = tokens - line.committedTokens - line.burstTokens
  return missingTokens <= 0 ? 0 : missingTokens / line.tokensPerMs
}
