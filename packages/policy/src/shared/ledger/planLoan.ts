/** Plans how many tokens a router borrows ahead of its requests, and how many it returns. */

/** A loan is renewed below this share of the planned idle tokens, and the excess is returned above this multiple of them. */
const renewShare = 0.5
const returnFactor = 3
/** Unassigned share of the budget below which nothing is borrowed ahead. */
const nearlyExhaustedShare = 0.05
/**
 * Time of spending that a router borrows ahead. It is short because other routers
 * cannot use these tokens, and they are lost when the router is killed.
 */
const prefetchMs = 1200

export interface PrefetchInput {
  /** Idle tokens that the borrower should hold. */
  readonly plannedTokens: number
  /** Tokens that the borrower holds and has neither spent nor reserved. */
  readonly idleTokens: number
  /** Available tokens of the lender's slice. */
  readonly availableTokens: number
  /** Number of borrowers of the lender. */
  readonly borrowerCount: number
}

/** Idle tokens that a borrower should hold for future requests. */
export function plannedIdleTokens (unassignedShare: number, ratePerMs: number): number {
  return unassignedShare < nearlyExhaustedShare ? 0 : ratePerMs * prefetchMs
}

/** Tokens that a lender adds to a loan beyond those for waiting requests. */
export function planPrefetch ({ plannedTokens, idleTokens, availableTokens, borrowerCount: borrowers }: PrefetchInput): number {
  // Leaves part of the available tokens for the other borrowers.
  return Math.floor(Math.max(0, Math.min(plannedTokens - idleTokens, availableTokens / (borrowers + 1))))
}

/** Whether a router without waiting requests should renew its loan before it is used up. */
export function needsLoan (idleTokens: number, plannedTokens: number): boolean {
  return idleTokens < plannedTokens * renewShare
}

/** Idle tokens that a router should return to its lender. */
export function returnableTokens (idleTokens: number, plannedTokens: number): number {
  return idleTokens > plannedTokens * returnFactor ? Math.floor(idleTokens - plannedTokens) : 0
}
