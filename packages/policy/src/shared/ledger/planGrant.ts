/** Decides how much of a budget a router holds. */

export interface GrantInput {
  readonly prepaidTokens: number
  /** Granted to all other holders. */
  readonly othersGrantedTokens: number
  /** Routers that hold a part, this one included. */
  readonly holderCount: number
  /** Whether other routers borrow from this one instead of holding a part. */
  readonly isLender: boolean
  readonly committedTokens: number
  readonly grantedTokens: number
  readonly ratePerMs: number
  /** Largest request that waits for tokens, 0 for none. */
  readonly waitingTokens: number
}

/**
 * A slice is lost when its router is killed, and the others cannot spend it
 * meanwhile. With much of the budget left that matters little, and a large slice
 * carries the router through an outage of the store; towards the end of the
 * budget slices shrink.
 */
const longestHorizonMs = 14_000
/** The same for a lender, whose slice serves all routers: shared tokens go further than many small slices. */
const lenderHorizonMs = 8000
const shortestHorizonMs = 400
/** Unassigned share of the budget below which nothing is held in advance. */
const tightShare = 0.06
/** The same for a lender, whose slice others do not miss. */
const lenderTightShare = 0.01
/** Unassigned share from which the longest horizon is used. */
const ampleShare = 0.6
/** Slices of an untouched budget before spending rates are known: share of it for all routers together, and the least number of routers it is divided by. */
const firstSharesTotal = 0.2
const leastRouters = 4

/** A slice is refilled below this share of the planned one, and partly returned above this multiple of it. */
const refillShare = 0.4
const returnFactor = 3

/** Share of a budget that requests of a rank leave to more urgent ones, by rank; urgent requests are mostly small, and many fit into it. */
const keptBudgetShares: readonly number[] = [0, 0.04, 0.05]

/** Last part of a budget that requests of this rank do not get. */
export function withheldTokens (prepaidTokens: number, rank: number): number {
  return prepaidTokens * (keptBudgetShares[Math.min(rank, keptBudgetShares.length - 1)] ?? 0)
}

/** Tokens that nobody was granted, if this router gave back all that it has not committed. */
export function unassignedTokens (input: GrantInput): number {
  return Math.max(0, input.prepaidTokens - input.othersGrantedTokens - input.committedTokens)
}

export function unassignedShare (input: GrantInput): number {
  return unassignedTokens(input) / Math.max(1, input.prepaidTokens)
}

export function isNearlyExhausted (input: GrantInput): boolean {
  return unassignedShare(input) < (input.isLender ? lenderTightShare : tightShare)
}

/** Time of spending that a router holds, by the unassigned share of the budget. */
function horizonMs (share: number, longestMs: number): number {
  const position = Math.min(1, Math.max(0, (share - tightShare) / (ampleShare - tightShare)))
  return shortestHorizonMs + position * (longestMs - shortestHorizonMs)
}

/** Grant in tokens that the router asks for. */
export function planGrant (input: GrantInput): number {
  const free = unassignedTokens(input)
  const waiting = input.waitingTokens <= free ? input.waitingTokens : 0
  if (isNearlyExhausted(input)) return input.committedTokens + waiting
  const share = unassignedShare(input)
  const firstTokens = input.prepaidTokens * firstSharesTotal / Math.max(leastRouters, input.holderCount) * Math.max(0, share * 2 - 1)
  const wanted = Math.max(input.ratePerMs * horizonMs(share, input.isLender ? lenderHorizonMs : longestHorizonMs), firstTokens, waiting)
  const fairShare = Math.max(waiting, free / (input.holderCount + 1))
  return Math.floor(input.committedTokens + Math.min(wanted, fairShare))
}

/** Whether the slice is low enough, or idle enough, for a write to the store. */
export function needsGrantUpdate (input: GrantInput): boolean {
  const available = input.grantedTokens - input.committedTokens
  if (input.waitingTokens > available) return true
  const planned = planGrant(input) - input.committedTokens
  if (isNearlyExhausted(input)) return available > 0 && !input.isLender
  return available < planned * refillShare || available > planned * returnFactor
}
