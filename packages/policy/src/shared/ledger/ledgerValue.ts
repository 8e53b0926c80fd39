/**
 * Content of a budget ledger: how many of an organisation's prepaid tokens each
 * router was granted. All values are absolute, so a write that is repeated or
 * takes effect late changes nothing.
 */
// zod/mini loads faster; a restarting router loads this module before it serves requests.
import * as z from 'zod/mini'

const tokens = z.number().check(z.nonnegative())

/** The grant of one router. */
const grantSchema = z.readonly(z.object({
  /** Tokens that the router process may spend in total since its start. */
  grantedTokens: tokens,
  /** The part of `grantedTokens` that the router had spent or reserved at its last write. */
  committedTokens: tokens
}))
export type Grant = z.infer<typeof grantSchema>

const lenderSchema = z.readonly(z.object({
  /** Holder id of the lender. */
  holder: z.string(),
  /** `HOST:PORT` where other routers borrow from it. */
  address: z.string()
}))
/** The router that lends tokens to the others, so that they do not have to write the ledger. */
export type LenderEntry = z.infer<typeof lenderSchema>

export const ledgerSchema = z.readonly(z.object({
  /** Grants by holder; a holder is the id of a router process. */
  holders: z.record(z.string(), grantSchema),
  lender: z.optional(lenderSchema)
}))
export type Ledger = z.infer<typeof ledgerSchema>

const noGrant: Grant = { grantedTokens: 0, committedTokens: 0 }

export const emptyLedger: Ledger = { holders: {} }

/** Holder under which the grants of ended router processes are summed up; these tokens count as spent. */
export const closedHolder = 'closed'

/** Totals of all holders except one. */
export interface OtherHolderTotals {
  readonly grantedTokens: number
  /** Tokens that are known to be spent or reserved, according to the last write of each holder. */
  readonly committedTokens: number
  /** Granted tokens of ended holders that are not known to be spent, but cannot be spent any more. */
  readonly lostTokens: number
}

/** Sums up the grants of all holders except `holder`. `isEnded` tells which other holders are known to have ended. */
export function sumOtherHolders (ledger: Ledger, holder: string, isEnded: (holder: string) => boolean = () => false): OtherHolderTotals {
  let grantedTokens = 0
  let committedTokens = 0
  let lostTokens = 0
  for (const [id, grant] of Object.entries(ledger.holders)) {
    if (id === holder) continue
    grantedTokens += grant.grantedTokens
    committedTokens += grant.committedTokens
    if (id === closedHolder || isEnded(id)) lostTokens += grant.grantedTokens - grant.committedTokens
  }
  return { grantedTokens, committedTokens, lostTokens }
}

/**
 * Number of routers that hold a grant, including `own`. A router that crashed is
 * counted until a new process of its node adds its grant to the closed holder.
 */
export function countRouters (ledger: Ledger, own: string): number {
  const holders = Object.keys(ledger.holders).filter(id => id !== closedHolder)
  return holders.includes(own) ? holders.length : holders.length + 1
}

/** Returns the ledger with the grant of one holder replaced. */
export function withGrant (ledger: Ledger, holder: string, grant: Grant): Ledger {
  return { ...ledger, holders: { ...ledger.holders, [holder]: grant } }
}

/** Returns the ledger with the grants of ended holders added to `closedHolder`. `close` returns what an ended holder may have spent of its grant, and `undefined` for a holder that has not ended. */
export function withClosedHolders (ledger: Ledger, close: (holder: string, grant: Grant) => Grant | undefined): Ledger {
  const holders: Record<string, Grant> = {}
  for (const [holder, open] of Object.entries(ledger.holders)) {
    const closed = close(holder, open)
    const target = closed === undefined ? holder : closedHolder
    const grant = closed ?? open
    const before = holders[target] ?? noGrant
    holders[target] = {
      grantedTokens: before.grantedTokens + grant.grantedTokens,
      committedTokens: before.committedTokens + grant.committedTokens
    }
  }
  const { lender } = ledger
  const isLenderOpen = lender !== undefined && close(lender.holder, ledger.holders[lender.holder] ?? noGrant) === undefined
  return isLenderOpen ? { holders, lender } : { holders }
}

/**
 * Merges a ledger that was restored from an older copy with the state known before.
 * Of each grant the larger one counts, because its holder may have spent it. Tokens
 * that moved between two holders in the lost time may count twice, but never not at all.
 */
export function mergeLedgers (before: Ledger, restored: Ledger): Ledger {
  const holders: Record<string, Grant> = { ...restored.holders }
  for (const [holder, { grantedTokens, committedTokens }] of Object.entries(before.holders)) {
    const other = holders[holder] ?? noGrant
    holders[holder] = { grantedTokens: Math.max(grantedTokens, other.grantedTokens), committedTokens: Math.max(committedTokens, other.committedTokens) }
  }
  const lender = restored.lender ?? before.lender
  return lender === undefined ? { holders } : { holders, lender }
}

/** Whether both ledgers have the same grants. */
export function isSameLedger (a: Ledger, b: Ledger): boolean {
  const entries = Object.entries(a.holders)
  return entries.length === Object.keys(b.holders).length && entries.every(([holder, { grantedTokens, committedTokens }]) => {
    const other = b.holders[holder]
    return other?.grantedTokens === grantedTokens && other.committedTokens === committedTokens
  })
}

/** Returns the ledger with the lender replaced, or removed. */
export function withLender ({ holders }: Ledger, lender: LenderEntry | undefined): Ledger {
  return lender === undefined ? { holders } : { holders, lender }
}

/** Name of the node of a holder id `<node>.<incarnation>`. */
function nodeOf (holder: string): string {
  return holder.slice(0, holder.lastIndexOf('.'))
}

/** Whether a holder has ended, because another process of its node is known to run, and it is not itself among those. */
export function isReplacedHolder (holder: string, running: readonly string[]): boolean {
  const node = nodeOf(holder)
  return !running.includes(holder) && running.some(other => nodeOf(other) === node)
}
