/** Decides how much of a budget a router holds. */

export interface GrantInput {
  readonly prepaidTokens: number
  /** Granted to all other holders. */
  readonly othersGrantedTokens: number
  /** Routers that hold a part, this one included. */
  readonly holders: number
  readonly committedTokens: number
  readonly grantedTokens: number
  readonly ratePerMs: number
  /** Largest request that waits for tokens, 0 for none. */
  readonly waitingTokens: number
}

/** Spending that a slice covers without the store. */
const horizonMs = 8000
/** Share of the budget below which nothing is held in advance, because what is held here is missing elsewhere. */
const tightShare = 0.08
/** Least slice of a budget with enough left, as a share of it; covers the first requests. */
const firstShare = 0.01

/** Tokens that nobody was granted, if this router gave back all that it has not committed. */
export function unassignedTokens (input: GrantInput): number {
  return Math.max(0, input.prepaidTokens - input.othersGrantedTokens - input.committedTokens)
}

export function isTight (input: GrantInput): boolean {
  return unassignedTokens(input) < input.prepaidTokens * tightShare
}

/** Grant in tokens that the router asks for. */
export function planGrant (input: GrantInput): number {
  const free = unassignedTokens(input)
  const waiting = input.waitingTokens <= free ? input.waitingTokens : 0
  if (isTight(input)) return input.committedTokens + waiting
  const wanted = Math.max(input.ratePerMs * horizonMs, input.prepaidTokens * firstShare, waiting)
  const fairShare = Math.max(waiting, free / (input.holders + 1))
  return input.committedTokens + Math.min(wanted, fairShare)
}

/** Whether the slice is low enough, or idle enough, for a write to the store. */
export function needsUpdate (input: GrantInput): boolean {
  const available = input.grantedTokens - input.committedTokens
  if (input.waitingTokens > available) return true
  const planned = planGrant(input) - input.committedTokens
  if (isTight(input)) return available > 0
  return available < planned * 0.4 || available > planned * 4
}
