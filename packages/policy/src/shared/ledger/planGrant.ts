/** Plans how many tokens of a budget a router is granted. */

export interface GrantInput {
  readonly prepaidTokens: number
  /** Tokens granted to all other holders. */
  readonly othersGrantedTokens: number
  /** Number of routers that hold a grant, including this one. */
  readonly holderCount: number
  /** Whether other routers borrow from this one instead of holding a grant. */
  readonly isLender: boolean
  /** Tokens that this router has spent or reserved. */
  readonly committedTokens: number
  readonly grantedTokens: number
  /** Spending rate of this router in tokens per ms. */
  readonly ratePerMs: number
  /** Sum of the waiting requests that fit into the budget; 0 for none. */
  readonly waitingTokens: number
}

/**
 * Time of spending that a slice covers while much of the budget is unassigned. A
 * large slice lets the router serve requests during an outage of the store. But
 * other routers cannot spend it, and it is lost when its router is killed, so
 * slices shrink as the budget is used up.
 */
const maxHorizonMs = 14_000
/** `maxHorizonMs` for a lender. It is shorter because one slice that all routers share lasts longer than many small ones. */
const lenderHorizonMs = 12_000
const minHorizonMs = 400
/** Unassigned share of the budget below which a router holds no tokens in advance. */
const nearlyExhaustedShare = 0.06
/** `nearlyExhaustedShare` for a lender. It is lower because the other routers can use the lender's slice. */
const lenderNearlyExhaustedShare = 0.01
/** Unassigned share of the budget from which the maximum horizon applies. */
const ampleShare = 0.6
/** `ampleShare` for a lender. */
const lenderAmpleShare = 0.15
/** Share of the unassigned tokens that a lender may take at once. The rest lets another router replace it. */
const lenderFreeShare = 0.75
/** Share of an unused budget that the routers hold together before their spending rates are known. */
const initialSlicesShare = 0.2
/** Minimum number of routers by which `initialSlicesShare` is divided. */
const minRouters = 4

/** A slice is refilled below this share of its planned size, and the excess is returned above this multiple of it. */
const refillShare = 0.4
/** `refillShare` for a lender, which serves the whole fleet in a cut from the store. */
const lenderRefillShare = 0.6
const returnFactor = 3

/**
 * Share of a budget that requests of a rank may not use, indexed by rank; it is left
 * for more urgent requests. Rank 0 is the most urgent. Urgent requests are mostly
 * small, so many fit into this share.
 */
const withheldBudgetShares: readonly number[] = [0, 0.04, 0.05]

/** The last tokens of a budget, which are withheld from requests of this rank. */
export function withheldTokens (prepaidTokens: number, rank: number): number {
  return prepaidTokens * (withheldBudgetShares[Math.min(rank, withheldBudgetShares.length - 1)] ?? 0)
}

/** Whether the last part of a budget is left to more urgent requests when `usedTokens` of it are granted or committed. */
export function leavesForUrgent (prepaidTokens: number, usedTokens: number, rank: number): boolean {
  return prepaidTokens - usedTokens >= withheldTokens(prepaidTokens, rank)
}

/** Tokens that would be granted to no router if this router returned all its uncommitted ones. */
export function unassignedTokens (input: GrantInput): number {
  return Math.max(0, input.prepaidTokens - input.othersGrantedTokens - input.committedTokens)
}

/** `unassignedTokens` as a share of the budget. */
export function unassignedShare (input: GrantInput): number {
  return unassignedTokens(input) / Math.max(1, input.prepaidTokens)
}

/** Whether so little is unassigned that routers are granted tokens only for waiting requests. */
export function isNearlyExhausted (input: GrantInput): boolean {
  return unassignedShare(input) < (input.isLender ? lenderNearlyExhaustedShare : nearlyExhaustedShare)
}

/** Time of spending that a slice covers, interpolated by the unassigned share of the budget. */
function horizonMs (share: number, isLender: boolean): number {
  const [maxMs, ample, exhausted] = isLender ? [lenderHorizonMs, lenderAmpleShare, lenderNearlyExhaustedShare] : [maxHorizonMs, ampleShare, nearlyExhaustedShare]
  const position = Math.min(1, Math.max(0, (share - exhausted) / (ample - exhausted)))
  return minHorizonMs + position * (maxMs - minHorizonMs)
}

/** Tokens that this router should be granted in total. */
export function planGrant (input: GrantInput): number {
  const free = unassignedTokens(input)
  const waiting = input.waitingTokens <= free ? input.waitingTokens : 0
  if (isNearlyExhausted(input)) return input.committedTokens + waiting
  const share = unassignedShare(input)
  const initialTokens = input.prepaidTokens * initialSlicesShare / Math.max(minRouters, input.holderCount) * Math.max(0, share * 2 - 1)
  const wanted = Math.max(input.ratePerMs * horizonMs(share, input.isLender), initialTokens, waiting)
  const fairShare = Math.max(waiting, input.isLender ? free * lenderFreeShare : free / (input.holderCount + 1))
  return Math.floor(input.committedTokens + Math.min(wanted, fairShare))
}

/** Whether the grant should be changed: the slice is too low, or holds too many idle tokens. */
export function needsGrantUpdate (input: GrantInput): boolean {
  const available = input.grantedTokens - input.committedTokens
  if (input.waitingTokens > available) return true
  const planned = planGrant(input) - input.committedTokens
  if (isNearlyExhausted(input)) return available > 0 && !input.isLender
  return available < planned * (input.isLender ? lenderRefillShare : refillShare) || available > planned * returnFactor
}
