/** A request for tokens of a budget, and its result. */
import type { BudgetSlice } from '@buckthorndrift/policy'

export type Reservation =
  | { readonly kind: 'reserved', settle (consumedTokens: number): void }
  /** The budget does not cover the request, according to the commitments that all routers have published. */
  | { readonly kind: 'exhausted' }
  /** No tokens are free now. Other routers may return some later, or the store does not respond. */
  | { readonly kind: 'unavailable', readonly retryAfterMs: number }

/** Tokens that a request needs from a budget. */
export interface BudgetRequest {
  readonly attemptId: string
  /** Tokens that the request uses at most. */
  readonly tokens: number
  /** Urgency of the request; 0 is the most urgent. */
  readonly rank: number
  /** Longest wait for the store, in ms. */
  readonly maxWaitMs: number
  /** Whether this router reserves the tokens in order to lend them to another router. */
  readonly isLoan?: boolean
}

/** A request that waits until the slice of this router is enlarged. */
export interface Waiter extends BudgetRequest {
  readonly deadlineMs: number
  readonly resolve: (reservation: Reservation) => void
}

/** The result of a request whose tokens were reserved from the slice. */
export function reservationOf (slice: BudgetSlice, tokens: number): Reservation {
  let isSettled = false
  return {
    kind: 'reserved',
    settle: consumedTokens => {
      if (isSettled) return
      isSettled = true
      slice.settle(tokens, consumedTokens)
    }
  }
}
