/**
 * Contents of a budget ledger object: what each router was granted of each
 * organisation's prepaid tokens. All values are absolute, so that a write that
 * is repeated or takes effect late changes nothing.
 */
// The small variant of the library: a router that restarts loads this before it serves.
import * as z from 'zod/mini'

/** What one router holds of one budget. */
const tokens = z.number().check(z.nonnegative())
const grantSchema = z.readonly(z.object({
  /** Tokens that the router may spend in all since it started. */
  grantedTokens: tokens,
  /** Tokens of these that it had spent or reserved when it last wrote. */
  committedTokens: tokens
}))
export type Grant = z.infer<typeof grantSchema>

export const ledgerSchema = z.readonly(z.object({
  /** By organisation, then by holder: the id of a router process. */
  organisations: z.record(z.string(), z.record(z.string(), grantSchema))
}))
export type Ledger = z.infer<typeof ledgerSchema>

export const emptyLedger: Ledger = { organisations: {} }

/** Holder under which the grants of ended processes are summed up; they count as spent. */
export const closedHolder = 'closed'

export interface OtherHolders {
  readonly grantedTokens: number
  /** Tokens that are certainly spent or reserved, by what the running holders last wrote. */
  readonly committedTokens: number
  /** Tokens of ended holders that were neither known to be spent nor can be spent any more. */
  readonly lostTokens: number
}

/** Totals of all holders but one. */
export function othersTotal (ledger: Ledger, organisation: string, holder: string): OtherHolders {
  let grantedTokens = 0
  let committedTokens = 0
  let lostTokens = 0
  for (const [id, grant] of Object.entries(ledger.organisations[organisation] ?? {})) {
    if (id === holder) continue
    grantedTokens += grant.grantedTokens
    committedTokens += grant.committedTokens
    if (id === closedHolder) lostTokens += grant.grantedTokens - grant.committedTokens
  }
  return { grantedTokens, committedTokens, lostTokens }
}

/** Number of routers that hold a grant, without those that ended. */
export function holderCount (ledger: Ledger, organisation: string): number {
  return Object.keys(ledger.organisations[organisation] ?? {}).filter(id => id !== closedHolder).length
}

/** All routers that hold a grant, and `own`. */
export function ledgerHolders (ledger: Ledger, own: string): ReadonlySet<string> {
  const holders = new Set<string>([own])
  for (const grants of Object.values(ledger.organisations)) {
    for (const holder of Object.keys(grants)) holders.add(holder)
  }
  holders.delete(closedHolder)
  return holders
}

/** The ledger with other grants of one holder. */
export function withGrants (ledger: Ledger, holder: string, grants: ReadonlyMap<string, Grant>): Ledger {
  const organisations = { ...ledger.organisations }
  for (const [organisation, grant] of grants) organisations[organisation] = { ...organisations[organisation], [holder]: grant }
  return { organisations }
}

/** The ledger with the grants of ended holders summed up. Their unspent rest is unknown and counts as spent. */
export function withClosedHolders (ledger: Ledger, isEnded: (holder: string) => boolean): Ledger {
  const organisations: Record<string, Record<string, Grant>> = {}
  for (const [organisation, grants] of Object.entries(ledger.organisations)) {
    const kept: Record<string, Grant> = {}
    for (const [holder, grant] of Object.entries(grants)) {
      const target = isEnded(holder) ? closedHolder : holder
      const before = kept[target] ?? { grantedTokens: 0, committedTokens: 0 }
      kept[target] = {
        grantedTokens: before.grantedTokens + grant.grantedTokens,
        committedTokens: before.committedTokens + grant.committedTokens
      }
    }
    organisations[organisation] = kept
  }
  return { organisations }
}
