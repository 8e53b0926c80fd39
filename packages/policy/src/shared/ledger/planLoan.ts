/** Decides how much a router borrows ahead of its requests, and what it gives back. */

/** A loan is renewed below this share of what is to be held, and partly returned above this multiple of it. */
const renewShare = 0.5
const returnFactor = 3
/** Share of the budget, not yet granted to anyone, below which nothing is borrowed ahead. */
const tightShare = 0.05
/** Time of spending that a router borrows ahead; what it holds does not help the others, and is lost when it is killed. */
const aheadMs = 2500

export interface PrefetchInput {
  /** Tokens that the borrower should hold. */
  readonly plannedTokens: number
  /** Tokens that the borrower holds and has not committed. */
  readonly idleTokens: number
  /** Tokens that the lender has at hand. */
  readonly availableTokens: number
  readonly borrowerCount: number
}

/** Tokens that a borrower should hold for the requests to come. */
export function plannedIdleTokens (unassignedShare: number, ratePerMs: number): number {
  return unassignedShare < tightShare ? 0 : ratePerMs * aheadMs
}

/** Tokens that a lender adds beyond what waits. */
export function planPrefetch ({ plannedTokens, idleTokens, availableTokens, borrowerCount: borrowers }: PrefetchInput): number {
  // No borrower takes so much that the others find nothing.
  return Math.floor(Math.max(0, Math.min(plannedTokens - idleTokens, availableTokens / (borrowers + 1))))
}

/** Whether a router that waits for nothing renews its loan before it is used up. */
export function needsLoan (idleTokens: number, plannedTokens: number): boolean {
  return idleTokens < plannedTokens * renewShare
}

/** Tokens that a router no longer needs. */
export function returnableTokens (idleTokens: number, plannedTokens: number): number {
  return idleTokens > plannedTokens * returnFactor ? Math.floor(idleTokens - plannedTokens) : 0
}
