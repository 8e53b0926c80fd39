/** Messages with which routers borrow budget tokens from the router that lends them. */
import * as z from 'zod/mini'

const tokens = z.number().check(z.nonnegative())

export const loanRequestSchema = z.readonly(z.object({
  organisation: z.string(),
  /** Holder id of the borrower. */
  borrower: z.string(),
  /** Holder id of the router that the borrower takes for the lender. A process that was started at its address since keeps no book of its loans. */
  lender: z.optional(z.string()),
  /** Increases with each message of this borrower about this budget. */
  sequence: z.int().check(z.positive()),
  /** Size of the loan after this message: without the tokens that the borrower returns with it. */
  grantedTokens: tokens,
  /** Tokens of the loan that are spent or reserved. */
  committedTokens: tokens,
  /** Spending rate of the borrower in tokens per ms. */
  ratePerMs: tokens,
  /** Requests that wait for tokens. */
  requests: z.array(z.object({ attemptId: z.string(), tokens, rank: z.int().check(z.nonnegative()) })),
  /** Whether the borrower does not reach the store, so that the router lends although it is not the lender of the budget. */
  isPeerLoan: z.optional(z.boolean()),
  /** Address at which the borrower accepts loan requests. */
  address: z.optional(z.string()),
  /** Wall clock of the borrower when it sent the message, in ms since the Unix epoch. */
  wallMs: z.optional(z.number()),
  /** Longest time that the lender may wait for the store, in ms. */
  maxWaitMs: tokens
}))
export type LoanRequest = z.infer<typeof loanRequestSchema>

const verdictSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('reserved') }),
  z.object({ kind: z.literal('exhausted') }),
  z.object({ kind: z.literal('unavailable'), retryAfterMs: tokens })
])
/** Result for one waiting request. When it is `reserved`, its tokens are part of the loan. */
export type LoanVerdict = z.infer<typeof verdictSchema>

export const loanReplySchema = z.discriminatedUnion('kind', [
  /** The router does not lend tokens of this budget. */
  z.object({ kind: z.literal('notLender') }),
  /** The lender ignored this message, because it has already handled a later one of this borrower. */
  z.object({ kind: z.literal('overtaken') }),
  z.object({
    kind: z.literal('lent'),
    /** Total size of the loan after the lender has handled the message. */
    grantedTokens: tokens,
    /** Idle tokens that the borrower should hold for future requests. */
    plannedTokens: tokens,
    /** Time after which the borrower should send another message if it holds idle tokens, in ms. */
    restateMs: z.optional(tokens),
    /** One verdict for each request, in the same order. */
    verdicts: z.array(verdictSchema),
    /** Whether the store does not respond to the lender, so that it cannot enlarge its slice. */
    isStoreAway: z.optional(z.boolean()),
    /** Holder id of the lender. */
    lender: z.optional(z.string()),
    /** Wall clock of the lender when it sent the reply, in ms since the Unix epoch. */
    wallMs: z.optional(z.number()),
    /** Routers that spend from this budget, as far as the lender knows. */
    routers: z.int()
  })
])
export type LoanReply = z.infer<typeof loanReplySchema>
