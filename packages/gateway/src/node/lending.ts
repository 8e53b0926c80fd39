/** The loans that this router gives others from its slice of one budget. */
import { LoanTracker, plannedIdleTokens, planPrefetch, type BudgetSlice } from '@buckthorndrift/policy'
import type { LoanReply, LoanRequest, LoanVerdict } from '../shared/loans.ts'
import type { BudgetRequest, Reservation } from './budgetRequest.ts'

export interface LendingOptions {
  readonly slice: BudgetSlice
  /** Whether the ledger names this router as the lender. */
  isLender (): boolean
  /** Reserves tokens as for an own request, with a larger slice if need be. */
  reserve (request: BudgetRequest): Promise<Reservation> | Reservation
  /** Share of the budget that nobody was granted. */
  unassignedShare (): number
  nowMs (): number
}

export class Lending {
  readonly #options: LendingOptions
  readonly #book = new LoanTracker()

  constructor (options: LendingOptions) {
    this.#options = options
  }

  get borrowers (): number {
    return this.#book.borrowerCount
  }

  /** Tokens that are lent and not used. */
  get idleTokens (): number {
    return this.#book.idleTokens
  }

  async lend (request: LoanRequest): Promise<LoanReply> {
    const { slice, isLender, nowMs } = this.#options
    const { borrower, sequence, grantedTokens, committedTokens, ratePerMs } = request
    const spentTokens = committedTokens - this.#book.loanOf(borrower).committedTokens
    const returned = this.#book.recordStatement(borrower, { sequence, grantedTokens, committedTokens })
    if (returned === undefined) return { kind: 'overtaken' }
    slice.settle(returned, 0)
    // The lender's slice has to serve the spending of all.
    if (spentTokens > 0) slice.recordSpending(spentTokens, nowMs())
    // What was lent before stays valid, but a router that no longer lends gives nothing more.
    if (!isLender() && request.requests.length > 0) return { kind: 'notLender' }
    const verdicts = await Promise.all(request.requests.map(each => this.#lendFor(request, each)))
    const plannedTokens = isLender() ? plannedIdleTokens(this.#options.unassignedShare(), ratePerMs) : 0
    this.#lendAhead(request, plannedTokens)
    return { kind: 'lent', grantedTokens: this.#book.loanOf(borrower).grantedTokens, plannedTokens, verdicts, routers: this.#book.borrowerCount + 1 }
  }

  async #lendFor ({ borrower, sequence, maxWaitMs }: LoanRequest, { attemptId, tokens, rank }: LoanRequest['requests'][number]): Promise<LoanVerdict> {
    const reservation = await this.#options.reserve({ attemptId, tokens, rank, maxWaitMs, isLoan: true })
    if (reservation.kind !== 'reserved') return reservation
    if (this.#book.addTokens(borrower, sequence, tokens)) return { kind: 'reserved' }
    reservation.settle(0)
    return { kind: 'unavailable', retryAfterMs: 0 }
  }

  /** Lends for the requests to come, from what is at hand. */
  #lendAhead ({ borrower, sequence }: LoanRequest, plannedTokens: number): void {
    const { slice } = this.#options
    const { grantedTokens, committedTokens } = this.#book.loanOf(borrower)
    const tokens = planPrefetch({ plannedTokens, idleTokens: grantedTokens - committedTokens, availableTokens: slice.availableTokens, borrowerCount: this.#book.borrowerCount })
    if (tokens === 0 || !slice.tryLend(tokens)) return
    if (!this.#book.addTokens(borrower, sequence, tokens)) slice.settle(tokens, 0)
  }
}
