/** Determines why a request gets no tokens, and after which time a retry can succeed. */
import type { OtherHolderTotals } from './ledgerValue.ts'
import { withheldTokens } from './planGrant.ts'

export interface RefusalInput {
  /** Maximum size of the request. */
  readonly tokens: number
  /** Priority rank of the request; 0 is the most urgent. */
  readonly rank: number
  readonly prepaidTokens: number
  /** Tokens that this router has spent or reserved. */
  readonly committedTokens: number
  readonly others: OtherHolderTotals
  /** Whether the ledger was read or written a short time ago, so that `others` is current. */
  readonly isLedgerCurrent: boolean
  /** Time until tokens that this router already holds may be spent; `undefined` if it holds too few. */
  readonly releaseMs?: number | undefined
  /** How long the store has been unavailable; `undefined` while it answers. */
  readonly outageMs: number | undefined
  /** Returns a random number that is uniformly distributed in [0, 1). */
  readonly random: () => number
}

export interface Refusal {
  /** Prepaid tokens minus those that any router is known to have spent or reserved. */
  readonly leftTokens: number
  /** Whether the budget cannot cover the request even if other routers return all their idle tokens. */
  readonly isExhausted: boolean
  readonly retryAfterMs: number
}

/** Limits of the retry delay when tokens may become free without a top-up. */
const minRetryMs = 300
const maxRetryMs = 4000
/** Time within which other routers return idle tokens. */
const idleReturnMs = 600
/** Retry delay when only a top-up of the budget helps. */
const topUpRetryMs = 10_000

export function classifyRefusal (input: RefusalInput): Refusal {
  const leftTokens = input.prepaidTokens - input.others.committedTokens - input.committedTokens
  const isExhausted = input.isLedgerCurrent && input.tokens > leftTokens
  // Tokens of ended routers are lost, and the last part of the budget is withheld for more urgent requests.
  const freeTokens = leftTokens - input.others.lostTokens - withheldTokens(input.prepaidTokens, input.rank)
  // An old state of the ledger shows too many free tokens rather than too few, because what is spent stays spent.
  const needsTopUp = input.tokens > freeTokens
  return { leftTokens, isExhausted, retryAfterMs: needsTopUp ? topUpRetryMs : expectedReturnMs(input) }
}

/**
 * Expected time until tokens become free. An outage of the store is expected to
 * last as long again as it has lasted so far. The random spread keeps callers
 * from retrying all at once.
 */
function expectedReturnMs ({ releaseMs, outageMs, random }: RefusalInput): number {
  const expectedMs = Math.min(maxRetryMs, Math.max(minRetryMs, releaseMs ?? outageMs ?? idleReturnMs))
  return expectedMs * (0.75 + random() / 2)
}
