/** A request for tokens of a budget, and what becomes of it. */

export type Reservation =
  | { readonly kind: 'reserved', settle (consumedTokens: number): void }
  /** The budget does not cover the request, by what all routers have published. */
  | { readonly kind: 'exhausted' }
  /** Nothing is free now; part of the budget may come back from other routers, or the store does not answer. */
  | { readonly kind: 'unavailable', readonly retryAfterMs: number }

/** What a request asks of a budget. */
export interface BudgetRequest {
  readonly attemptId: string
  /** Largest size of the request. */
  readonly tokens: number
  /** 0 is the most urgent. */
  readonly rank: number
  /** Longest wait for the store in ms. */
  readonly maxWaitMs: number
  /** Whether another router spends the tokens. */
  readonly isLoan?: boolean
}

/** A request that waits for a larger slice. */
export interface Waiter extends BudgetRequest {
  readonly deadlineMs: number
  readonly resolve: (reservation: Reservation) => void
}
