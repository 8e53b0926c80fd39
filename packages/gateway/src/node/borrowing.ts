/** Borrower side of one budget: the loans that this router has from other routers. */
import { Ok, type Result } from 'ts-results-es'
import type { Log } from '@buckthorndrift/kernel'
import { needsLoan, returnableTokens, type BudgetSlice, type LenderEntry } from '@buckthorndrift/policy'
import type { LoanReply } from '../shared/loans.ts'
import type { Waiter } from './budgetRequest.ts'
import type { LoanClient } from './loanClient.ts'
import type { PeerFailure } from './peerRequest.ts'

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
  /** Number of the last message to each lender, by its holder id. */
  readonly #latestSequences = new Map<string, number>()
  #failingLender: FailingLender | undefined
  /** Idle tokens that this router should hold for future requests, according to the last reply of the lender. */
  #plannedTokens = 0
  /** Time between two messages while idle tokens are held, according to the last reply of the lender. */
  #restateMs = Infinity
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
    const { nowMs, slice } = this.#options
    const sinceMs = nowMs() - this.#requestedMs
    if (sinceMs < requestIntervalMs) return false
    const isRestatementDue = sinceMs >= this.#restateMs && slice.idleTokens > 0 && this.#loanFrom(lender) > 0
    return isRestatementDue || needsLoan(slice.availableTokens, this.#plannedTokens) || this.#returnableTokens(lender) > 0
  }

  /** Sends one message to the lender. It asks for the tokens of the waiting requests and of future ones, and returns idle tokens. */
  async requestLoan (lender: LenderEntry, waiters: readonly Waiter[]): Promise<LoanOutcome> {
    this.#requestedMs = this.#options.nowMs()
    // Returned tokens must not be spent while the message is in flight.
    this.#setLoan(lender, this.#loanFrom(lender) - this.#returnableTokens(lender))
    const result = await this.#exchange(lender, waiters, false)
    if (result.isErr()) {
      this.#recordFailure(lender, result.error.kind === 'gone', result.error.kind === 'gone' ? 'connection refused' : result.error.detail)
      return { kind: 'failed' }
    }
    const reply = result.value
    // The lender may have been restarted: a new process at its address does not lend in its name. The old one is recorded as ended, so that a new lender is found.
    if (reply.kind === 'notLender') this.#recordFailure(lender, true, 'the router at this address does not lend tokens of this budget')
    else if (reply.kind !== 'lent' || reply.isStoreAway !== true) this.#failingLender = undefined
    if (reply.kind === 'lent') this.#applyLoan(lender, reply)
    return reply
  }

  /** Asks a router that reaches the store for the tokens of the requests, while this router does not. It need not be the lender of the budget. */
  async requestPeerLoan (peer: LenderEntry, waiters: readonly Waiter[]): Promise<LoanOutcome> {
    const result = await this.#exchange(peer, waiters, true)
    if (result.isErr()) return { kind: 'failed' }
    if (result.value.kind === 'lent') this.#setLoan(peer, result.value.grantedTokens)
    return result.value
  }

  /** Sends one message to a router that lends, and checks that the reply is valid. */
  async #exchange (lender: LenderEntry, waiters: readonly Waiter[], isPeerLoan: boolean): Promise<Result<LoanReply, PeerFailure>> {
    const { organisation, holder, slice, client, nowMs } = this.#options
    const sequence = ++this.#sequence
    this.#latestSequences.set(lender.holder, sequence)
    const result = await client.requestLoan(lender.address, {
      organisation,
      borrower: holder,
      lender: lender.holder,
      sequence,
      grantedTokens: this.#loanFrom(lender),
      committedTokens: this.#committedOf(lender),
      ratePerMs: slice.ratePerMs(nowMs()),
      requests: waiters.map(({ attemptId, tokens, rank }) => ({ attemptId, tokens, rank })),
      maxWaitMs: waiters.reduce((longest, { maxWaitMs }) => Math.max(longest, maxWaitMs), 0),
      ...(isPeerLoan ? { isPeerLoan } : {})
    })
    // This router sent a later message to this lender while it waited. Only the response to that message is valid.
    if (sequence !== this.#latestSequences.get(lender.holder)) return Ok({ kind: 'overtaken' })
    if (result.isErr()) return result
    const isOtherProcess = result.value.kind === 'lent' && result.value.lender !== undefined && result.value.lender !== lender.holder
    return isOtherProcess ? Ok({ kind: 'notLender' }) : result
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

  #applyLoan (lender: LenderEntry, { grantedTokens, plannedTokens, restateMs, routers }: Extract<LoanReply, { kind: 'lent' }>): void {
    const { slice } = this.#options
    this.#setLoan(lender, grantedTokens)
    this.#plannedTokens = plannedTokens
    this.#restateMs = restateMs ?? Infinity
    this.#routers = routers
    slice.setFilledTokens(Math.min(plannedTokens, slice.availableTokens))
  }

  #loanFrom ({ holder }: LenderEntry): number {
    return this.#loans.get(holder) ?? 0
  }

  /** The part of a loan that is spent or reserved at least: what is committed beyond the other loans. */
  #committedOf (lender: LenderEntry): number {
    const { slice } = this.#options
    const loan = this.#loanFrom(lender)
    const borrowedCommitted = slice.committedTokens - slice.ownCommittedTokens
    const otherLoans = slice.grantedTokens - slice.ownTokens - loan
    return Math.min(loan, Math.max(0, borrowedCommitted - otherLoans))
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
