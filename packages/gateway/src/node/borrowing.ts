/** The loans that this router has from others for one budget. */
import type { Log } from '@buckthorndrift/kernel'
import { needsLoan, returnableTokens, type BudgetSlice, type LenderEntry } from '@buckthorndrift/policy'
import type { LoanReply } from '../shared/loans.ts'
import type { Waiter } from './budgetRequest.ts'
import type { LoanClient } from './loanClient.ts'

/** Pause before a lender that did not answer is asked again. */
const retryMs = 1000
/** Time without an answer after which another router takes the lender's place. */
const replaceAfterMs = 3000
/** Least time between two messages to the lender without a waiting request. */
const askIntervalMs = 500

export interface BorrowingOptions {
  readonly organisation: string
  /** Holder id of this router. */
  readonly holder: string
  /** Where other routers borrow from this one. */
  readonly address: string
  readonly slice: BudgetSlice
  readonly client: LoanClient
  readonly log: Log
  nowMs (): number
}

export type LoanOutcome = LoanReply | { readonly kind: 'failed' }

/** A lender that does not lend. */
interface FailingLender {
  readonly holder: string
  readonly sinceMs: number
  readonly askAgainMs: number
  /** Whether its process has ended. */
  readonly isGone: boolean
}

export class Borrowing {
  readonly #options: BorrowingOptions
  /** Tokens lent, by the lender's holder id. Loans of lenders that have ended stay valid. */
  readonly #loans = new Map<string, number>()
  #sequence = 0
  #failing: FailingLender | undefined
  /** What this router should hold for requests to come, as the lender last said. */
  #plannedTokens = 0
  #askedMs = 0
  #routers = 1

  constructor (options: BorrowingOptions) {
    this.#options = options
  }

  /** Routers that spend from the budget, as the lender said. */
  get routers (): number {
    return this.#routers
  }

  /** Whether the lender may be asked now. */
  mayAsk ({ holder }: LenderEntry): boolean {
    const failing = this.#failing
    return failing?.holder !== holder || (!this.isLost({ holder }) && this.#options.nowMs() >= failing.askAgainMs)
  }

  /** Whether another router should take the lender's place. */
  isLost ({ holder }: Pick<LenderEntry, 'holder'>): boolean {
    const failing = this.#failing
    if (failing?.holder !== holder) return false
    return failing.isGone || this.#options.nowMs() - failing.sinceMs >= replaceAfterMs
  }

  /** The lender after the next write of the ledger: this router when there is none or it is lost, unless it stops. */
  nextLender (present: LenderEntry | undefined, isStopping: boolean): LenderEntry | undefined {
    const { holder, address } = this.#options
    if (present !== undefined && present.holder !== holder && !this.isLost(present)) return present
    return isStopping ? undefined : { holder, address }
  }

  /** Whether the loan should change although no request waits. */
  isDue (lender: LenderEntry): boolean {
    if (this.#options.nowMs() - this.#askedMs < askIntervalMs) return false
    return needsLoan(this.#options.slice.availableTokens, this.#plannedTokens) || this.#returnableTokens(lender) > 0
  }

  /** Asks for the tokens of waiting requests and some ahead, and gives back what is idle. */
  async ask (lender: LenderEntry, waiters: readonly Waiter[]): Promise<LoanOutcome> {
    const { organisation, holder, slice, client, nowMs } = this.#options
    this.#askedMs = nowMs()
    // Tokens that are given back must not be spent while the message is on its way.
    this.#setLoan(lender, this.#loanFrom(lender) - this.#returnableTokens(lender))
    const sequence = ++this.#sequence
    const answer = await client.ask(lender.address, {
      organisation,
      borrower: holder,
      sequence,
      grantedTokens: this.#loanFrom(lender),
      committedTokens: Math.min(this.#loanFrom(lender), slice.committedTokens - slice.ownCommittedTokens),
      ratePerMs: slice.ratePerMs(nowMs()),
      requests: waiters.map(({ attemptId, tokens, rank }) => ({ attemptId, tokens, rank })),
      maxWaitMs: waiters.reduce((longest, { maxWaitMs }) => Math.max(longest, maxWaitMs), 0)
    })
    // A later message tells the lender something else; its answer counts.
    if (sequence !== this.#sequence) return { kind: 'overtaken' }
    if (answer.isErr()) {
      this.#noteFailure(lender, answer.error.kind === 'gone', answer.error.kind === 'gone' ? 'connection refused' : answer.error.detail)
      return { kind: 'failed' }
    }
    // A process that was started anew listens at the address of the one that lent.
    if (answer.value.kind === 'notLender') this.#noteFailure(lender, true, 'it does not lend tokens of this budget')
    else this.#failing = undefined
    if (answer.value.kind === 'lent') this.#take(lender, answer.value)
    return answer.value
  }

  /** Gives back all that is idle, before the process ends. */
  async returnAll (lender: LenderEntry): Promise<void> {
    this.#plannedTokens = 0
    if (this.#returnableTokens(lender) > 0) await this.ask(lender, [])
  }

  #take (lender: LenderEntry, { grantedTokens, plannedTokens, routers }: Extract<LoanReply, { kind: 'lent' }>): void {
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

  #noteFailure ({ holder, address }: LenderEntry, isGone: boolean, detail: string): void {
    const { organisation, log } = this.#options
    const nowMs = this.#options.nowMs()
    log.event('lenderFailed', { organisation, lender: holder, address, isGone, detail })
    const sinceMs = this.#failing?.holder === holder ? this.#failing.sinceMs : nowMs
    this.#failing = { holder, sinceMs, askAgainMs: nowMs + retryMs, isGone }
  }
}
