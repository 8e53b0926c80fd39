/** Says why a request gets no tokens, and when coming back makes sense. */
import type { OtherHolderTotals } from './ledgerValue.ts'
import { withheldTokens } from './planGrant.ts'

export interface RefusalInput {
  /** Largest size of the request. */
  readonly tokens: number
  /** 0 is the most urgent. */
  readonly rank: number
  readonly prepaidTokens: number
  /** Spent or reserved by this router. */
  readonly committedTokens: number
  readonly others: OtherHolderTotals
  /** Whether the ledger was just read or written, so that the figures of the others are true. */
  readonly isLedgerCurrent: boolean
  /** How long the store has been away; `undefined` while it answers. */
  readonly outageMs: number | undefined
  /** Uniform in [0, 1). */
  readonly random: () => number
}

export interface Refusal {
  /** Tokens that no router has spent or reserved for certain. */
  readonly leftTokens: number
  /** Whether the budget cannot cover the request, whatever other routers give back. */
  readonly isExhausted: boolean
  readonly retryAfterMs: number
}

/** Bounds of the time after which a refused request is worth repeating. */
const shortestRetryMs = 300
const longestRetryMs = 4000
/** Time in which other routers give idle tokens back. */
const heldElsewhereMs = 600
/** Time when only a larger budget helps. */
const topUpMs = 10_000

export function classifyRefusal (input: RefusalInput): Refusal {
  const leftTokens = input.prepaidTokens - input.others.committedTokens - input.committedTokens
  const isExhausted = input.isLedgerCurrent && input.tokens > leftTokens
  // What ended routers held does not come back, and the last part is kept for more urgent requests.
  const freeTokens = leftTokens - input.others.lostTokens - withheldTokens(input.prepaidTokens, input.rank)
  const isLost = input.isLedgerCurrent && input.tokens > freeTokens
  return { leftTokens, isExhausted, retryAfterMs: isLost ? topUpMs : returnMs(input) }
}

/** An outage is expected to last about as long again as it has lasted; the spread keeps callers from returning together. */
function returnMs ({ outageMs, random }: RefusalInput): number {
  const expectedMs = Math.min(longestRetryMs, Math.max(shortestRetryMs, outageMs ?? heldElsewhereMs))
  return expectedMs * (0.75 + random() / 2)
}
