/** Borrower side of one budget: the loans that this router has from other routers. */
import type { Log } from '@buckthorndrift/kernel'
import { needsLoan, returnableTokens, type BudgetSlice, type LenderEntry } from '@buckthorndrift/policy'
import type { LoanReply } from '../shared/loans.ts'
import type { Waiter } from './budgetRequest.ts'
import type { LoanClient } from './loanClient.ts'

/** Delay before the next loan request to a lender that did not respond. */
const retryDelayMs = 1000
/** Time for which the lender may fail to respond before another router replaces it. */
const lenderTimeoutMs = 3000
/** Minimum time between two messages to the lender while no request waits for tokens. */
const requestIntervalMs = 500

export interface BorrowingOptions {
  readonly organisation: string
  /** Id of this router process in the ledger: `<node>.<incarnation>`. */
  readonly holder: string
  /** Address at which this router accepts loan requests of other routers. */
  readonly address: string
  readonly slice: BudgetSlice
  readonly client: LoanClient
  readonly log: Log
  nowMs (): number
}

export type LoanOutcome = LoanReply | { readonly kind: 'failed' }

/** The lender whose last loan request failed: it did not respond, or is not the lender any more. */
interface FailingLender {
  readonly holder: string
  readonly sinceMs: number
  readonly retryAtMs: number
  /** Whether the process of the lender has ended. */
  readonly isGone: boolean
}

export class Borrowing {
  readonly #options: BorrowingOptions
  /** Borrowed tokens by the holder id of the lender. A loan stays valid after the process of its lender has ended. */
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

  /** Whether a message to the lender is due although no request waits for tokens: to enlarge the loan or to return a part of it. */
  isDue (lender: LenderEntry): boolean {
    if (this.#options.nowMs() - this.#requestedMs < requestIntervalMs) return false
    return needsLoan(this.#options.slice.availableTokens, this.#plannedTokens) || this.#returnableTokens(lender) > 0
  }

  /** Sends one message to the lender. It asks for the tokens of the waiting requests and of future ones, and returns idle tokens. */
  async requestLoan (lender: LenderEntry, waiters: readonly Waiter[]): Promise<LoanOutcome> {
    const { organisation, holder, slice, client, nowMs } = this.#options
    this.#requestedMs = nowMs()
    // Returned tokens must not be spent while the message is in flight.
    this.#setLoan(lender, this.#loanFrom(lender) - this.#returnableTokens(lender))
    const sequence = ++this.#sequence
    const result = await client.requestLoan(lender.address, {
      organisation,
      borrower: holder,
      lender: lender.holder,
      sequence,
      grantedTokens: this.#loanFrom(lender),
      committedTokens: Math.min(this.#loanFrom(lender), slice.committedTokens - slice.ownCommittedTokens),
      ratePerMs: slice.ratePerMs(nowMs()),
      requests: waiters.map(({ attemptId, tokens, rank }) => ({ attemptId, tokens, rank })),
      maxWaitMs: waiters.reduce((longest, { maxWaitMs }) => Math.max(longest, maxWaitMs), 0)
    })
    // This router sent a later message while it waited. Only the response to that message is valid.
    if (sequence !== this.#sequence) return { kind: 'overtaken' }
    if (result.isErr()) {
      this.#recordFailure(lender, result.error.kind === 'gone', result.error.kind === 'gone' ? 'connection refused' : result.error.detail)
      return { kind: 'failed' }
    }
    const isOtherProcess = result.value.kind === 'lent' && result.value.lender !== undefined && result.value.lender !== lender.holder
    const reply: LoanReply = isOtherProcess ? { kind: 'notLender' } : result.value
    // The lender may have been restarted: a new process at its address does not lend in its name. The old one is recorded as ended, so that a new lender is found.
    if (reply.kind === 'notLender') this.#recordFailure(lender, true, 'the router at this address does not lend tokens of this budget')
    else if (reply.kind !== 'lent' || reply.isStoreAway !== true) this.#failingLender = undefined
    if (reply.kind === 'lent') this.#applyLoan(lender, reply)
    return reply
  }

  /** Uses the store in place of a lender that cannot reach it. If that lasts, another router replaces the lender. */
  passOver (lender: LenderEntry): void {
    this.#recordFailure(lender, false, 'the lender cannot reach the store')
  }

  /** Returns all idle tokens to the lender before the process of this router ends. */
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
