/**
 * Contents of a budget ledger: what each router was granted of one
 * organisation's prepaid tokens. All values are absolute, so that a write that
 * is repeated or takes effect late changes nothing.
 */
// The small variant of the library: a router that restarts loads this before it serves.
import * as z from 'zod/mini'

const tokens = z.number().check(z.nonnegative())

/** What one router holds of the budget. */
const grantSchema = z.readonly(z.object({
  /** Tokens that the router may spend in all since it started. */
  grantedTokens: tokens,
  /** Tokens of these that it had spent or reserved when it last wrote. */
  committedTokens: tokens
}))
export type Grant = z.infer<typeof grantSchema>

const lenderSchema = z.readonly(z.object({
  /** Its holder id. */
  holder: z.string(),
  /** `HOST:PORT` where other routers borrow from it. */
  address: z.string()
}))
/** The router that lends to the others, so that they need not write the ledger. */
export type LenderEntry = z.infer<typeof lenderSchema>

export const ledgerSchema = z.readonly(z.object({
  /** By holder: the id of a router process. */
  holders: z.record(z.string(), grantSchema),
  lender: z.optional(lenderSchema)
}))
export type Ledger = z.infer<typeof ledgerSchema>

export const emptyLedger: Ledger = { holders: {} }

/** Holder under which the grants of ended processes are summed up; they count as spent. */
export const closedHolder = 'closed'

export interface OtherHolderTotals {
  readonly grantedTokens: number
  /** Tokens that are certainly spent or reserved, by what the running holders last wrote. */
  readonly committedTokens: number
  /** Tokens of ended holders that were neither known to be spent nor can be spent any more. */
  readonly lostTokens: number
}

/** Totals of all holders but one. */
export function sumOtherHolders (ledger: Ledger, holder: string): OtherHolderTotals {
  let grantedTokens = 0
  let committedTokens = 0
  let lostTokens = 0
  for (const [id, grant] of Object.entries(ledger.holders)) {
    if (id === holder) continue
    grantedTokens += grant.grantedTokens
    committedTokens += grant.committedTokens
    if (id === closedHolder) lostTokens += grant.grantedTokens - grant.committedTokens
  }
  return { grantedTokens, committedTokens, lostTokens }
}

/** Routers that hold a grant, and `own`; those that ended without a word count until their node comes back. */
export function countRouters (ledger: Ledger, own: string): number {
  const holders = Object.keys(ledger.holders).filter(id => id !== closedHolder)
  return holders.includes(own) ? holders.length : holders.length + 1
}

/** The ledger with another grant of one holder. */
export function withGrant (ledger: Ledger, holder: string, grant: Grant): Ledger {
  return { ...ledger, holders: { ...ledger.holders, [holder]: grant } }
}

/** The ledger with the grants of ended holders summed up. Their unspent rest is unknown and counts as spent. */
export function withClosedHolders (ledger: Ledger, isEnded: (holder: string) => boolean): Ledger {
  const holders: Record<string, Grant> = {}
  for (const [holder, grant] of Object.entries(ledger.holders)) {
    const target = isEnded(holder) ? closedHolder : holder
    const before = holders[target] ?? { grantedTokens: 0, committedTokens: 0 }
    holders[target] = {
      grantedTokens: before.grantedTokens + grant.grantedTokens,
      committedTokens: before.committedTokens + grant.committedTokens
    }
  }
  const { lender } = ledger
  return lender === undefined || isEnded(lender.holder) ? { holders } : { holders, lender }
}

/** The ledger with another lender, or none. */
export function withLender ({ holders }: Ledger, lender: LenderEntry | undefined): Ledger {
  return lender === undefined ? { holders } : { holders, lender }
}
