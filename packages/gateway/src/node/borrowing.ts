/** Borrower side of one budget: the loans that this router has from other routers. */
import type { Log } from '@buckthorndrift/kernel'
import { needsLoan, returnableTokens, type BudgetSlice, type LenderEntry } from '@buckthorndrift/policy'
import type { LoanReply } from '../shared/loans.ts'
import type { Waiter } from './budgetRequest.ts'
import type { LoanClient } from './loanClient.ts'

/** Delay before another request to a lender that did not respond. */
const retryDelayMs = 1000
/** Time without a response after which another router replaces the lender. */
const lenderTimeoutMs = 3000
/** Minimum time between two messages to the lender while no request waits for tokens. */
const requestIntervalMs = 500

export interface BorrowingOptions {
  readonly organisation: string
  /** Holder id of this router. */
  readonly holder: string
  /** Loan address of this router. */
  readonly address: string
  readonly slice: BudgetSlice
  readonly client: LoanClient
  readonly log: Log
  nowMs (): number
}

export type LoanOutcome = LoanReply | { readonly kind: 'failed' }

/** A lender that does not respond or does not lend. */
interface FailingLender {
  readonly holder: string
  readonly sinceMs: number
  readonly retryAtMs: number
  /** Whether the process of the lender has ended. */
  readonly isGone: boolean
}

export class Borrowing {
  readonly #options: BorrowingOptions
  /** Borrowed tokens by the holder id of the lender. Loans of lenders that have ended stay valid. */
  readonly #loans = new Map<string, number>()
  #sequence = 0
  #failingLender: FailingLender | undefined
  /** Idle tokens that this router should hold for future requests, according to the last reply of the lender. */
  #plannedTokens = 0
  #requestedMs = 0
  #routers = 1

  constructor (options: BorrowingOptions) {
    this.#options = options
  }

  /** Number of routers that spend from the budget, according to the lender. */
  get routers (): number {
    return this.#routers
  }

  /** Whether a loan may be requested from the lender now. */
  mayRequest ({ holder }: LenderEntry): boolean {
    const failing = this.#failingLender
    return failing?.holder !== holder || (!this.isLost({ holder }) && this.#options.nowMs() >= failing.retryAtMs)
  }

  /** Whether another router should replace the lender. */
  isLost ({ holder }: Pick<LenderEntry, 'holder'>): boolean {
    const failing = this.#failingLender
    if (failing?.holder !== holder) return false
    return failing.isGone || this.#options.nowMs() - failing.sinceMs >= lenderTimeoutMs
  }

  /** The lender to write into the ledger: the current one, or this router if there is none or the current one is lost. A router that is stopping does not become the lender. */
  nextLender (current: LenderEntry | undefined, isStopping: boolean): LenderEntry | undefined {
    const { holder, address } = this.#options
    if (current !== undefined && current.holder !== holder && !this.isLost(current)) return current
    return isStopping ? undefined : { holder, address }
  }

  /** Whether the loan should be enlarged or partly returned although no request waits. */
  isDue (lender: LenderEntry): boolean {
    if (this.#options.nowMs() - this.#requestedMs < requestIntervalMs) return false
    return needsLoan(this.#options.slice.availableTokens, this.#plannedTokens) || this.#returnableTokens(lender) > 0
  }

  /** Requests the tokens of the waiting requests and of future ones, and returns idle tokens. */
  async requestLoan (lender: LenderEntry, waiters: readonly Waiter[]): Promise<LoanOutcome> {
    const { organisation, holder, slice, client, nowMs } = this.#options
    this.#requestedMs = nowMs()
    // Returned tokens must not be spent while the message is in flight.
    this.#setLoan(lender, this.#loanFrom(lender) - this.#returnableTokens(lender))
    const sequence = ++this.#sequence
    const result = await client.requestLoan(lender.address, {
      organisation,
      borrower: holder,
      sequence,
      grantedTokens: this.#loanFrom(lender),
      committedTokens: Math.min(this.#loanFrom(lender), slice.committedTokens - slice.ownCommittedTokens),
      ratePerMs: slice.ratePerMs(nowMs()),
      requests: waiters.map(({ attemptId, tokens, rank }) => ({ attemptId, tokens, rank })),
      maxWaitMs: waiters.reduce((longest, { maxWaitMs }) => Math.max(longest, maxWaitMs), 0)
    })
    // A later message was sent meanwhile; only its response is valid.
    if (sequence !== this.#sequence) return { kind: 'overtaken' }
    if (result.isErr()) {
      this.#recordFailure(lender, result.error.kind === 'gone', result.error.kind === 'gone' ? 'connection refused' : result.error.detail)
      return { kind: 'failed' }
    }
    // A restarted process may listen at the address of the former lender.
    if (result.value.kind === 'notLender') this.#recordFailure(lender, true, 'the router at this address does not lend tokens of this budget')
    else this.#failingLender = undefined
    if (result.value.kind === 'lent') this.#applyLoan(lender, result.value)
    return result.value
  }

  /** Returns all idle tokens before the process ends. */
  async returnAll (lender: LenderEntry): Promise<void> {
    this.#plannedTokens = 0
    if (this.#returnableTokens(lender) > 0) await this.requestLoan(lender, [])
  }

  #applyLoan (lender: LenderEntry, { grantedTokens, plannedTokens, routers }: Extract<LoanReply, { kind: 'lent' }>): void {
    const { slice } = this.#options
    this.#setLoan(lender, grantedTokens)
    this.#plannedTokens = plannedTokens
    this.#routers = routers
    slice.setFilledTokens(Math.min(plannedTokens, slice.availableTokens))
  }

  #loanFrom ({ holder }: LenderEntry): number {
    return this.#loans.get(holder) ?? 0
  }

  #setLoan ({ holder }: LenderEntry, tokens: number): void {
    this.#loans.set(holder, Math.max(0, tokens))
    let total = 0
    for (const loan of this.#loans.values()) total += loan
    this.#options.slice.setBorrowedTokens(total)
  }

  #returnableTokens (lender: LenderEntry): number {
    return Math.min(this.#loanFrom(lender), returnableTokens(this.#options.slice.availableTokens, this.#plannedTokens))
  }

  #recordFailure ({ holder, address }: LenderEntry, isGone: boolean, detail: string): void {
    const { organisation, log } = this.#options
    const nowMs = this.#options.nowMs()
    log.event('lenderFailed', { organisation, lender: holder, address, isGone, detail })
    const sinceMs = this.#failingLender?.holder === holder ? this.#failingLender.sinceMs : nowMs
    this.#failingLender = { holder, sinceMs, retryAtMs: nowMs + retryDelayMs, isGone }
  }
}
