/** One organisation's budget: this router's slice of it, kept in step with the ledger object in the store. */
import {
  BudgetSlice,
  isNearlyExhausted,
  withheldTokens,
  needsGrantUpdate,
  sumOtherHolders,
  planGrant,
  countRouters,
  unassignedShare,
  unassignedTokens,
  withClosedHolders,
  withGrant,
  withLender,
  type GrantInput,
  type LenderEntry
} from '@buckthorndrift/policy'
import type { StoreFailure } from '../shared/store.ts'
import type { LoanReply, LoanRequest, LoanVerdict } from '../shared/loans.ts'
import { Borrowing } from './borrowing.ts'
import { refuseWaiter } from './budgetRefusal.ts'
import type { BudgetRequest, Reservation, Waiter } from './budgetRequest.ts'
import { LedgerObject } from './ledgerObject.ts'
import type { LedgerOptions } from './ledgerOptions.ts'
import { Lending } from './lending.ts'
import { WaitingRequests } from './waitingRequests.ts'

/** Rounds of reading and writing before the waiting requests are answered. */
const maxRounds = 12
const maxCloseRounds = 4
/** Failed calls after which the store counts as away and waiting requests are refused. */
const maxFailures = 2
/** Pause after another router's write came first; doubled each time. */
const conflictPauseMs = 3
const longestConflictPauseMs = 50
/** Age up to which the ledger is believed when a request does not fit into what is free. */
const freshMs = 400
/** Age of the ledger after which a router that holds idle tokens looks whether others need them. */
const staleMs = 6000
/** Unassigned share of the budget below which idle tokens may be missing elsewhere. */
const scarceShare = 0.4
/** Share of the budget that a router that borrows may hold idle without giving it back. */
const idleGrantShare = 0.002

export class OrganisationLedger {
  readonly #organisation: string
  readonly #options: LedgerOptions
  readonly #slice: BudgetSlice
  #prepaidTokens: number
  readonly object: LedgerObject
  readonly #lending: Lending
  readonly #borrowing: Borrowing | undefined
  readonly #waiting = new WaitingRequests()
  #isUpdating = false
  #isClosing = false

  constructor (organisation: string, prepaidTokens: number, options: LedgerOptions) {
    this.#organisation = organisation
    this.#prepaidTokens = prepaidTokens
    this.#options = options
    this.#slice = new BudgetSlice(this.#nowMs())
    this.object = new LedgerObject({ organisation, store: options.store, timers: options.timers, log: options.log, onLearned: () => { this.#takeGrant() } })
    this.#lending = new Lending({
      slice: this.#slice,
      isLender: () => this.#isLender,
      reserve: request => this.reserve(request),
      unassignedShare: () => unassignedShare(this.#input()),
      nowMs: () => this.#nowMs()
    })
    const { loans, holder } = options
    if (loans !== undefined) this.#borrowing = new Borrowing({ ...loans, organisation, holder, slice: this.#slice, log: options.log, nowMs: () => this.#nowMs() })
  }

  /** Routers that spend from the budget, this one included. */
  get routerCount (): number {
    return Math.max(countRouters(this.object.ledger, this.#options.holder), this.#lending.borrowers + 1, this.#borrowing?.routers ?? 1)
  }

  /** Whether the slice is nearly spent and cannot grow, because the store is away. */
  get isStarved (): boolean {
    return this.#isOutage && this.#slice.isNearlySpent && this.#lender() === undefined
  }

  setPrepaid (tokens: number): void {
    this.#prepaidTokens = tokens
  }

  reserve (request: BudgetRequest): Promise<Reservation> | Reservation {
    if (request.tokens > this.#prepaidTokens) return { kind: 'exhausted' }
    const granted = this.#tryReserve(request)
    if (granted !== undefined) return granted
    return new Promise(resolve => {
      const waiter = { ...request, deadlineMs: this.#nowMs() + request.maxWaitMs, resolve }
      // The store is asked again at intervals anyway; waiting for it would only delay the refusal.
      if (this.#isOutage && this.#lender() === undefined) {
        this.#refuse(waiter, 'unavailable')
        return
      }
      this.#waiting.add(waiter)
      this.update()
    })
  }

  /** Writes the ledger if the slice needs it; one write at a time. */
  update (): void {
    if (this.#isClosing || this.#isUpdating || !this.#isUpdateDue()) return
    this.#isUpdating = true
    void this.#settle().finally(() => { this.#isUpdating = false })
  }

  /** Lends tokens to another router. */
  async lend (request: LoanRequest): Promise<LoanReply> {
    return await this.#lending.lend(request)
  }

  /** Gives back what was not committed, so that other routers can spend it, and lends no more. */
  async close (): Promise<void> {
    const [wasLender, lender] = [this.#isLender, this.#lender()]
    this.#isClosing = true
    if (lender !== undefined) await this.#borrowing?.returnAll(lender)
    for (let round = 0; round < maxCloseRounds; round++) {
      if (this.object.revision === undefined && await this.object.read() !== undefined) return
      const committedTokens = Math.ceil(this.#slice.ownCommittedTokens)
      const isDone = this.#slice.ownTokens <= committedTokens && !wasLender
      if (isDone || await this.#write(committedTokens) === undefined) return
    }
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #tryReserve ({ tokens, rank, isLoan }: BudgetRequest): Reservation | undefined {
    const slice = this.#slice
    if (!this.#leavesKept(tokens, rank)) return undefined
    if (!slice.tryReserve(tokens, this.#isOutage ? rank : 0, isLoan === true ? undefined : this.#nowMs())) return undefined
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

  /** Whether the last part of the budget stays for more urgent requests. A borrower's lender sees to it. */
  #leavesKept (tokens: number, rank: number): boolean {
    if (rank === 0 || this.#isOutage || this.#lender() !== undefined) return true
    const others = sumOtherHolders(this.object.ledger, this.#options.holder)
    return this.#prepaidTokens - others.grantedTokens - this.#slice.ownCommittedTokens - tokens >= withheldTokens(this.#prepaidTokens, rank)
  }

  async #settle (): Promise<void> {
    const grantedBefore = this.#slice.grantedTokens
    let pauseMs = conflictPauseMs
    let calls = 0
    let failures = 0
    for (let round = 0; round < maxRounds; round++) {
      this.#serveWaiters()
      const lender = this.#lender()
      if (lender !== undefined) {
        if (this.#isLoanDue(lender)) {
          await this.#borrow(lender)
          continue
        }
        if (!this.#holdsIdleGrant) break
      }
      const failure = lender === undefined ? await this.#step() : await this.#returnGrant()
      if (failure === 'settled') break
      calls++
      const isAnswered = failure === undefined || failure.kind === 'conflict'
      if (isAnswered) this.#options.outage.noteAnswer()
      else this.#options.outage.noteFailure(this.#nowMs())
      if (failure === undefined) continue
      if (!isAnswered) {
        failures++
        const refused = failures >= maxFailures ? this.#waiting.takeAll() : this.#waiting.takeLate(this.#nowMs())
        for (const waiter of refused) this.#refuse(waiter, failure.kind)
        if (this.#waiting.length === 0) return
      }
      await this.#pause(pauseMs * (0.5 + this.#options.random()))
      pauseMs = Math.min(longestConflictPauseMs, pauseMs * 2)
    }
    this.#serveWaiters()
    if (this.#slice.grantedTokens !== grantedBefore) this.#logSlice(grantedBefore, calls)
    for (const waiter of this.#waiting.takeAll()) this.#refuse(waiter, 'none')
  }

  #logSlice (grantedBeforeTokens: number, calls: number): void {
    const { grantedTokens, committedTokens } = this.#slice
    this.#options.log.event('budgetSliceChanged', {
      organisation: this.#organisation,
      grantedBeforeTokens,
      grantedTokens,
      committedTokens,
      unassignedTokens: unassignedTokens(this.#input()),
      ledgerRevision: this.object.revision ?? null,
      calls
    })
  }

  /** Makes the next call to the store, or says that none is needed. */
  async #step (): Promise<StoreFailure | undefined | 'settled'> {
    if (this.object.revision === undefined) return await this.object.read()
    const input = this.#input()
    const granted = planGrant(input)
    if (needsGrantUpdate(input) && granted !== this.#slice.ownTokens) {
      // Others have most likely written since, and a conflict costs as much as a write.
      return this.object.refreshAgeMs > freshMs ? await this.object.refresh() : await this.#write(granted)
    }
    if (!this.#mustLook(input)) return 'settled'
    return this.#waiting.length > 0 ? await this.object.read() : await this.object.refresh()
  }

  /** Whether other routers may have changed what matters now. */
  #mustLook (input: GrantInput): boolean {
    if (this.#waiting.length > 0) return this.object.ageMs > freshMs
    return this.object.refreshAgeMs > staleMs && unassignedShare(input) < scarceShare && this.#slice.availableTokens > 0
  }

  get #isOutage (): boolean {
    return this.#options.outage.sinceMs !== undefined
  }

  /** Whether the store or the lender has to be asked, and may be. */
  #isUpdateDue (): boolean {
    const lender = this.#lender()
    if (lender !== undefined) return this.#isLoanDue(lender) || (this.#holdsIdleGrant && this.#options.outage.mayCall(this.#nowMs()))
    const input = this.#input()
    const isNeeded = this.#waiting.length > 0 || this.object.revision === undefined || needsGrantUpdate(input) || this.#mustLook(input)
    return isNeeded && this.#options.outage.mayCall(this.#nowMs())
  }

  #input (): GrantInput {
    const others = sumOtherHolders(this.object.ledger, this.#options.holder)
    const committedTokens = this.#slice.ownCommittedTokens
    return {
      prepaidTokens: this.#prepaidTokens,
      othersGrantedTokens: others.grantedTokens,
      holderCount: countRouters(this.object.ledger, this.#options.holder),
      isLender: this.#isLender,
      committedTokens,
      grantedTokens: committedTokens + this.#slice.availableTokens,
      ratePerMs: this.#slice.ratePerMs(this.#nowMs()),
      waitingTokens: this.#waiting.fittingTokens(this.#prepaidTokens - others.grantedTokens - committedTokens, this.#prepaidTokens)
    }
  }

  /** Writes what this router itself is granted. */
  async #write (grantedTokens: number): Promise<StoreFailure | undefined> {
    const { holder } = this.#options
    const grant = { grantedTokens, committedTokens: this.#publishedTokens }
    // What is given back may not be spent while the write is on its way.
    if (grantedTokens < this.#slice.ownTokens) this.#slice.setOwnTokens(grantedTokens)
    const ledger = withClosedHolders(this.object.ledger, id => this.#isFormer(id))
    const failure = await this.object.write(withLender(withGrant(ledger, holder, grant), this.#borrowing === undefined ? ledger.lender : this.#borrowing.nextLender(ledger.lender, this.#isClosing)))
    if (failure === undefined) this.#slice.setFilledTokens(isNearlyExhausted(this.#input()) ? 0 : this.#slice.availableTokens)
    return failure
  }

  get #isLender (): boolean {
    return !this.#isClosing && this.object.ledger.lender?.holder === this.#options.holder
  }

  /** The other router that lends tokens of this budget, if it may be asked. */
  #lender (): LenderEntry | undefined {
    const { lender } = this.object.ledger
    if (lender === undefined || this.#borrowing === undefined || lender.holder === this.#options.holder || this.#isClosing) return undefined
    return this.#borrowing.mayAsk(lender) ? lender : undefined
  }

  /** Whether a router that borrows still holds a grant that it does not use, from the time before there was a lender. */
  get #holdsIdleGrant (): boolean {
    return this.#slice.ownTokens - this.#slice.ownCommittedTokens > idleGrantShare * this.#prepaidTokens
  }

  async #returnGrant (): Promise<StoreFailure | undefined> {
    if (this.object.revision === undefined) return await this.object.read()
    return await this.#write(Math.ceil(this.#slice.ownCommittedTokens))
  }

  #isLoanDue (lender: LenderEntry): boolean {
    return this.#waiting.length > 0 || this.#borrowing?.isDue(lender) === true
  }

  /** Borrows for the waiting requests. */
  async #borrow (lender: LenderEntry): Promise<void> {
    const asked = this.#waiting.takeAll()
    const reply = await this.#borrowing!.ask(lender, asked)
    if (reply.kind === 'lent') {
      asked.forEach((waiter, index) => { this.#answerAsked(waiter, reply.verdicts[index]) })
      return
    }
    this.#waiting.putBack(asked)
    // Another router may have taken the lender's place.
    if (reply.kind === 'notLender') await this.object.read()
  }

  #answerAsked (waiter: Waiter, verdict: LoanVerdict | undefined): void {
    // The lender kept to the ranks already.
    const reservation = verdict?.kind === 'reserved' ? this.#tryReserve({ ...waiter, rank: 0 }) : undefined
    if (reservation !== undefined) waiter.resolve(reservation)
    else if (verdict === undefined || verdict.kind === 'reserved') this.#waiting.add(waiter)
    else waiter.resolve(verdict)
  }

  /** Own tokens that are certainly used; those that are lent and idle are not. */
  get #publishedTokens (): number {
    return Math.max(0, this.#slice.ownCommittedTokens - this.#lending.idleTokens)
  }

  /** Whether a holder is an earlier process of this node. */
  #isFormer (holder: string): boolean {
    return holder.startsWith(`${this.#options.nodeName}.`) && holder !== this.#options.holder
  }

  #takeGrant (): void {
    const granted = this.object.ledger.holders[this.#options.holder]?.grantedTokens ?? 0
    // While a write that gives tokens back may still take effect, only the smaller grant is safe.
    this.#slice.setOwnTokens(this.object.isUncertain ? Math.min(this.#slice.ownTokens, granted) : granted)
  }

  #serveWaiters (): void {
    this.#waiting.serve(request => this.#tryReserve(request))
  }

  /** Answers a request whose tokens are not free, by what the ledger says. */
  #refuse (waiter: Waiter, storeFailure: StoreFailure['kind'] | 'none'): void {
    const { random, outage, log, holder } = this.#options
    refuseWaiter(waiter, {
      log,
      organisation: this.#organisation,
      prepaidTokens: this.#prepaidTokens,
      committedTokens: this.#publishedTokens,
      others: sumOtherHolders(this.object.ledger, holder),
      slice: this.#slice,
      object: this.object,
      outageMs: outage.sinceMs === undefined ? undefined : this.#nowMs() - outage.sinceMs,
      storeFailure,
      nowMs: this.#nowMs(),
      random
    })
  }

  #pause (durationMs: number): Promise<void> {
    return new Promise(resolve => { this.#options.timers.after(durationMs, resolve) })
  }
}
