/** Lender side of one budget: the loans that this router grants other routers from its slice. */
import { LoanTracker, loanRestateMs, plannedIdleTokens, planPrefetch, type BudgetSlice } from '@buckthorndrift/policy'
import type { LoanReply, LoanRequest, LoanVerdict } from '../shared/loans.ts'
import type { BudgetRequest, Reservation } from './budgetRequest.ts'

export interface LendingOptions {
  readonly slice: BudgetSlice
  /** Whether the ledger names this router as the lender. */
  isLender (): boolean
  /** Reserves tokens as for a request of this router, and enlarges its slice if needed. */
  reserve (request: BudgetRequest): Promise<Reservation> | Reservation
  /** Share of the budget that is not granted to any router. */
  unassignedShare (): number
  prepaidTokens (): number
  /** Whether the store does not respond to this router. */
  isStoreAway (): boolean
  nowMs (): number
}

export class Lending {
  readonly #options: LendingOptions
  readonly #book = new LoanTracker()

  constructor (options: LendingOptions) {
    this.#options = options
  }

  get borrowers (): readonly string[] {
    return this.#book.borrowers
  }

  /** Lent tokens that the borrowers have not used, according to their last messages. */
  get idleTokens (): number {
    return this.#book.idleTokens
  }

  /** Handles a message of a borrower: takes returned tokens back, and lends tokens for its waiting and its future requests. */
  async lend (request: LoanRequest): Promise<LoanReply> {
    const { slice, isLender, nowMs } = this.#options
    const { borrower, sequence, grantedTokens, committedTokens, ratePerMs } = request
    const spentTokens = committedTokens - this.#book.loanOf(borrower).committedTokens
    const returned = this.#book.recordStatement(borrower, { sequence, grantedTokens, committedTokens })
    if (returned === undefined) return { kind: 'overtaken' }
    slice.settle(returned, 0)
    // The size of the lender's slice depends on its spending rate, which therefore includes the spending of the borrowers.
    if (spentTokens > 0) slice.recordSpending(spentTokens, nowMs())
    // Existing loans stay valid, but a router that is no longer the lender grants no new ones.
    if (!isLender() && request.isPeerLoan !== true && request.requests.length > 0) return { kind: 'notLender' }
    const verdicts = await Promise.all(request.requests.map(each => this.#lendFor(request, each)))
    const unassignedShare = this.#options.unassignedShare()
    const plannedTokens = isLender() ? plannedIdleTokens(unassignedShare, ratePerMs) : 0
    this.#prefetch(request, plannedTokens)
    const prepaidTokens = this.#options.prepaidTokens()
    const restateMs = loanRestateMs({ prepaidTokens, unassignedTokens: unassignedShare * prepaidTokens, ratePerMs: slice.ratePerMs(nowMs()) })
    return { kind: 'lent', grantedTokens: this.#book.loanOf(borrower).grantedTokens, plannedTokens, restateMs, verdicts, routers: this.#book.borrowerCount + 1, isStoreAway: this.#options.isStoreAway() }
  }

  async #lendFor ({ borrower, sequence, maxWaitMs }: LoanRequest, { attemptId, tokens, rank }: LoanRequest['requests'][number]): Promise<LoanVerdict> {
    const reservation = await this.#options.reserve({ attemptId, tokens, rank, maxWaitMs, isLoan: true })
    if (reservation.kind !== 'reserved') return reservation
    if (this.#book.addTokens(borrower, sequence, tokens)) return { kind: 'reserved' }
    reservation.settle(0)
    return { kind: 'unavailable', retryAfterMs: 0 }
  }

  /** Lends tokens for future requests of the borrower, from the available part of the slice. */
  #prefetch ({ borrower, sequence }: LoanRequest, plannedTokens: number): void {
    const { slice } = this.#options
    const { grantedTokens, committedTokens } = this.#book.loanOf(borrower)
    const tokens = planPrefetch({ plannedTokens, idleTokens: grantedTokens - committedTokens, availableTokens: slice.availableTokens, borrowerCount: this.#book.borrowerCount })
    if (tokens === 0 || !slice.tryLend(tokens)) return
    if (!this.#book.addTokens(borrower, sequence, tokens)) slice.settle(tokens, 0)
  }
}
