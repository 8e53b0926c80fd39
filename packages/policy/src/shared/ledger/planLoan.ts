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

/** Limits of the time after which a borrower states its idle tokens again. */
const minRestateMs = 1000
const maxRestateMs = 30_000

export interface RestateInput {
  readonly prepaidTokens: number
  /** Tokens of the budget that no other router holds and the lender has not committed. */
  readonly unassignedTokens: number
  /** Spending rate of all routers in tokens per ms. */
  readonly ratePerMs: number
}

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

/**
 * Time after which a borrower with idle tokens should send another message, in which it returns what it does not
 * need. Without it, the last tokens of a budget lie idle at routers that get no more requests of the organisation,
 * while others refuse them.
 */
export function loanRestateMs ({ prepaidTokens, unassignedTokens, ratePerMs }: RestateInput): number {
  const ampleTokens = unassignedTokens - prepaidTokens * nearlyExhaustedShare
  if (ampleTokens <= 0) return minRestateMs
  return Math.min(maxRestateMs, Math.max(minRestateMs, ampleTokens / Math.max(ratePerMs, Number.MIN_VALUE) / 2))
}
