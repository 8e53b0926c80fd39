/** Messages by which routers borrow tokens of a budget from the one that lends them. */
import * as z from 'zod/mini'

const tokens = z.number().check(z.nonnegative())

export const loanRequestSchema = z.readonly(z.object({
  organisation: z.string(),
  /** Holder id of the borrower. */
  borrower: z.string(),
  /** Increases with each message of this borrower on this budget. */
  sequence: z.int().check(z.positive()),
  /** Loan that the borrower has, without what it gives back. */
  grantedTokens: tokens,
  /** Tokens of the loan that are spent or reserved. */
  committedTokens: tokens,
  ratePerMs: tokens,
  /** Requests that wait for tokens. */
  requests: z.array(z.object({ attemptId: z.string(), tokens, rank: z.int().check(z.nonnegative()) })),
  /** Longest wait for the store. */
  maxWaitMs: tokens
}))
export type LoanRequest = z.infer<typeof loanRequestSchema>

const verdictSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('reserved') }),
  z.object({ kind: z.literal('exhausted') }),
  z.object({ kind: z.literal('unavailable'), retryAfterMs: tokens })
])
/** What became of one request that waits; its tokens are part of the loan when it is `reserved`. */
export type LoanVerdict = z.infer<typeof verdictSchema>

export const loanReplySchema = z.discriminatedUnion('kind', [
  /** The router does not lend tokens of this budget. */
  z.object({ kind: z.literal('notLender') }),
  /** The router has heard a later message of the borrower. */
  z.object({ kind: z.literal('overtaken') }),
  z.object({
    kind: z.literal('lent'),
    /** The whole loan. */
    grantedTokens: tokens,
    /** Tokens that the borrower should hold for requests to come. */
    plannedTokens: tokens,
    /** One for each request, in the same order. */
    verdicts: z.array(verdictSchema),
    /** Routers that spend from this budget, as far as the lender knows. */
    routers: z.int()
  })
])
export type LoanReply = z.infer<typeof loanReplySchema>
