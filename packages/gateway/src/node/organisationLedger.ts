/** Budget of one organisation at this router: reserves tokens from the slice of this router, and keeps the slice up to date with the ledger object in the store. */
import { BudgetSlice, isNearlyExhausted, leavesForUrgent, needsGrantUpdate, sumOtherHolders, planGrant, countRouters, unassignedShare, unassignedTokens, type GrantInput, type LenderEntry, type ReleaseLine } from '@buckthorndrift/policy'
import type { StoreFailure } from '../shared/store.ts'
import type { LoanReply, LoanRequest, LoanVerdict } from '../shared/loans.ts'
import { Borrowing } from './borrowing.ts'
import { refuseWaiter } from './budgetRefusal.ts'
import { reservationOf, type BudgetRequest, type Reservation, type Waiter } from './budgetRequest.ts'
import { ConflictBackoff } from './conflictBackoff.ts'
import { grantInputOf } from './grantInput.ts'
import { GrantRelease } from './grantRelease.ts'
import { GrantWriter } from './grantWriter.ts'
import { LedgerObject } from './ledgerObject.ts'
import type { LedgerOptions } from './ledgerOptions.ts'
import { Lending } from './lending.ts'
import { PeerLoans } from './peerLoans.ts'
import { WaitingRequests } from './waitingRequests.ts'

/** Maximum number of calls to the store or the lender in one update, and to the store during shutdown. Requests that still wait after them are refused. */
const [maxRounds, maxCloseRounds] = [12, 4]
/** Failed calls to the store after which all waiting requests are refused. */
const maxFailures = 2
/** Age up to which the known ledger is used without another read when a request does not fit into the free tokens. */
const freshForMs = 400
/** Age of the last current read from which a router with waiting requests makes another one. Stale reads in between cost a tenth, and mostly show what other routers gave back. */
const currentForMs = 2000
/** Age of the known ledger after which a router with idle tokens reads it again, to see whether other routers need them. */
const staleAfterMs = 6000
/** Unassigned share of the budget below which other routers may lack tokens that are idle here. */
const scarceShare = 0.4
/** Share of the budget that a borrowing router may hold idle in its own grant without returning it. */
const idleGrantShare = 0.002

export class OrganisationLedger {
  readonly #organisation: string
  readonly #options: LedgerOptions
  readonly #slice: BudgetSlice
  #prepaidTokens: number
  readonly ledgerObject: LedgerObject
  readonly #lending: Lending
  readonly #release: GrantRelease
  readonly #writer: GrantWriter
  readonly #borrowing: Borrowing | undefined
  readonly #peerLoans: PeerLoans | undefined
  readonly #waiting = new WaitingRequests()
  #isUpdating = false
  #isClosing = false

  constructor (organisation: string, prepaidTokens: number, options: LedgerOptions) {
    this.#organisation = organisation
    this.#prepaidTokens = prepaidTokens
    this.#options = options
    this.#slice = new BudgetSlice(this.#nowMs(), () => options.reporter.releaseLimit(organisation))
    this.ledgerObject = new LedgerObject({ organisation, store: options.store, timers: options.timers, log: options.log, onUpdate: () => { this.#applyGrant() } })
    this.#release = new GrantRelease({
      ...options,
      organisation,
      slice: this.#slice,
      tryReserve: request => this.#tryReserve(request),
      refuse: waiter => { this.#refuse(waiter, 'unavailable') }
    })
    this.#lending = new Lending({
      slice: this.#slice,
      isLender: () => this.#isLender,
      reserve: request => this.reserve(request),
      unassignedShare: () => unassignedShare(this.#grantInput()),
      prepaidTokens: () => this.#prepaidTokens,
      isStoreAway: () => this.#isOutage,
      nowMs: () => this.#nowMs()
    })
    this.#writer = new GrantWriter({
      organisation,
      ...options,
      slice: this.#slice,
      ledgerObject: this.ledgerObject,
      prepaidTokens: () => this.#prepaidTokens,
      lentIdleTokens: () => this.#lending.idleTokens,
      nextLender: current => this.#borrowing === undefined ? current : this.#borrowing.nextLender(current, this.#isClosing),
      isNearlyExhausted: () => isNearlyExhausted(this.#grantInput())
    })
    if (options.loans === undefined) return
    this.#borrowing = new Borrowing({ ...options.loans, organisation, holder: options.holder, slice: this.#slice, log: options.log, nowMs: () => this.#nowMs() })
    if (options.storePeers === undefined) return
    this.#peerLoans = new PeerLoans({ borrowing: this.#borrowing, peers: options.storePeers, nowMs: () => this.#nowMs(), serve: waiter => this.#serveLent(waiter), refuse: waiter => { this.#refuse(waiter, 'unavailable') } })
  }

  /** Number of routers that spend from the budget, including this one. */
  get routerCount (): number {
    return Math.max(countRouters(this.ledgerObject.ledger, this.#options.holder), this.#lending.borrowers.length + 1, this.#borrowing?.routers ?? 1)
  }

  /** Whether the slice is nearly spent and cannot grow, because the store is unavailable and no lender can be asked. */
  get isStarved (): boolean {
    return this.#isOutage && this.#slice.isNearlySpent && this.#lender() === undefined && this.#options.storePeers?.current === undefined
  }

  setPrepaid (tokens: number): void {
    this.#prepaidTokens = tokens
  }

  /** Reserves tokens from the slice. A request that does not fit waits until the slice is enlarged or the request is refused. */
  reserve (request: BudgetRequest): Promise<Reservation> | Reservation {
    if (request.tokens > this.#prepaidTokens) return { kind: 'exhausted' }
    const granted = this.#tryReserve(request)
    if (granted !== undefined) return granted
    return new Promise(resolve => {
      const waiter = { ...request, deadlineMs: this.#nowMs() + request.maxWaitMs, resolve }
      // During an outage the store is probed at intervals anyway, so waiting for it would only delay the refusal.
      if (this.#isOutage && this.#lender() === undefined) {
        this.#serveInOutage(waiter)
        return
      }
      this.#waiting.add(waiter)
      this.#release.callWhenDue(waiter, this.#waiting.tokens, () => { this.#serveOrRefuse('unavailable') })
      this.update()
    })
  }

  /** Serves a request without the store: from the slice once the release line covers it, or through another router. */
  #serveInOutage (waiter: Waiter): void {
    if (this.#release.isReleasedInTime(waiter) || !this.#requestPeerLoan(waiter)) this.#release.serveWhenReleased(waiter)
  }

  /** A loan of this router is not passed on to a third one. */
  #requestPeerLoan (waiter: Waiter): boolean {
    if (this.#peerLoans === undefined || waiter.isLoan === true) return false
    this.#peerLoans.request(waiter)
    return true
  }

  /** Whether the slice covers a waiting request, but another report has to release the tokens. */
  get #isReleaseDue (): boolean {
    const { idleTokens, availableTokens } = this.#slice
    return !this.#isOutage && availableTokens < idleTokens && this.#waiting.hasFitting(idleTokens)
  }

  /** Calls the store or the lender if the slice has to change. Only one update runs at a time. */
  update (): void {
    if (this.#isClosing || this.#isUpdating || !this.#isUpdateDue()) return
    this.#isUpdating = true
    void this.#reconcile().finally(() => { this.#isUpdating = false })
  }

  lend (request: LoanRequest): Promise<LoanReply> {
    return this.#lending.lend(request)
  }

  /** Returns uncommitted tokens, so that other routers can spend them, and stops lending. */
  async close (): Promise<void> {
    const [wasLender, lender] = [this.#isLender, this.#lender()]
    this.#isClosing = true
    if (lender !== undefined) await this.#borrowing?.returnAll(lender)
    for (let round = 0; round < maxCloseRounds; round++) {
      if (this.ledgerObject.revision === undefined && await this.ledgerObject.read() !== undefined) return
      const committedTokens = Math.ceil(this.#slice.ownCommittedTokens)
      const isDone = this.#slice.ownTokens <= committedTokens && !wasLender
      if (isDone || await this.#writer.write(committedTokens) === undefined) return
    }
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #tryReserve ({ tokens, rank, isLoan }: BudgetRequest): Reservation | undefined {
    const slice = this.#slice
    // A borrower does not check this, because its lender does.
    const isRankChecked = rank > 0 && !this.#isOutage && this.#lender() === undefined
    if (isRankChecked && !leavesForUrgent(this.#prepaidTokens, sumOtherHolders(this.ledgerObject.ledger, this.#options.holder).grantedTokens + slice.ownCommittedTokens + tokens, rank)) return undefined
    if (!slice.tryReserve(tokens, this.#isOutage ? rank : 0, isLoan === true ? undefined : this.#nowMs())) return undefined
    return reservationOf(slice, tokens)
  }

  /** Calls the store or the lender until the waiting requests are served or refused and the slice needs no change. */
  async #reconcile (): Promise<void> {
    const grantedBefore = this.#slice.grantedTokens
    const backoff = new ConflictBackoff(this.#options)
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
        if (!this.#holdsIdleGrant && !this.ledgerObject.needsRepair) break
      }
      if (lender === undefined && this.#isOutage && this.#peerLoans !== undefined) for (const waiter of this.#waiting.takeAll()) this.#serveInOutage(waiter)
      if (lender === undefined && this.#isReleaseDue && await this.#options.reporter.report()) continue
      const failure = lender === undefined || this.ledgerObject.needsRepair ? await this.#callStore() : await this.#returnGrant()
      if (failure === 'settled') break
      calls++
      const isAnswered = failure === undefined || failure.kind === 'conflict'
      if (isAnswered) this.#options.outage.recordResponse(this.#nowMs())
      else this.#options.outage.recordFailure(this.#nowMs())
      if (failure === undefined) continue
      if (!isAnswered) {
        this.#serveOrRefuse(failure.kind)
        if (++failures >= maxFailures) for (const waiter of this.#waiting.takeAll()) this.#refuse(waiter, failure.kind)
        if (this.#waiting.length === 0) return
      }
      await backoff.pause()
    }
    this.#serveWaiters()
    if (this.#slice.grantedTokens !== grantedBefore) this.#writer.logChange(grantedBefore, unassignedTokens(this.#grantInput()), calls)
    for (const waiter of this.#waiting.takeAll()) this.#refuse(waiter, 'none')
  }

  /** Makes the next call to the store; returns `settled` when none is needed. */
  async #callStore (): Promise<StoreFailure | undefined | 'settled'> {
    if (this.ledgerObject.revision === undefined) return await this.ledgerObject.load()
    if (this.ledgerObject.needsRepair) return await this.#writer.write(this.#slice.ownTokens)
    const input = this.#grantInput()
    const granted = this.ledgerObject.isSettling ? Math.min(this.#slice.ownTokens, planGrant(input)) : planGrant(input)
    if (needsGrantUpdate(input) && granted !== this.#slice.ownTokens) {
      // Other routers have probably changed a ledger that is older than `freshForMs`. A write would then conflict, which costs as much as a successful write.
      return this.ledgerObject.refreshAgeMs > freshForMs ? await this.ledgerObject.refresh() : await this.#writer.write(granted)
    }
    if (!this.#needsRefresh(input)) return 'settled'
    return this.#waiting.length > 0 && this.ledgerObject.ageMs > currentForMs ? await this.ledgerObject.read() : await this.ledgerObject.refresh()
  }

  /** Whether the known ledger is too old for a decision that depends on the grants of other routers. */
  #needsRefresh (input: GrantInput): boolean {
    if (this.#waiting.length > 0) return this.ledgerObject.refreshAgeMs > freshForMs
    if (this.#slice.idleTokens <= 0) return false
    // During an outage another router may have replaced a lender that it found without the store.
    const isBeforeOutage = this.#nowMs() - this.ledgerObject.refreshAgeMs < this.#options.outage.endedMs
    return isBeforeOutage || (this.ledgerObject.refreshAgeMs > staleAfterMs && (this.#isLender || unassignedShare(input) < scarceShare))
  }

  get #isOutage (): boolean {
    return this.#options.outage.sinceMs !== undefined
  }

  /** Whether a call to the store or the lender is needed and allowed now. */
  #isUpdateDue (): boolean {
    if (this.ledgerObject.needsRepair && this.#options.outage.mayCall(this.#nowMs())) return true
    const lender = this.#lender()
    if (lender !== undefined) return this.#isLoanDue(lender) || (this.#holdsIdleGrant && this.#options.outage.mayCall(this.#nowMs()))
    const input = this.#grantInput()
    const isNeeded = this.#waiting.length > 0 || this.ledgerObject.revision === undefined || needsGrantUpdate(input) || this.#needsRefresh(input)
    return isNeeded && this.#options.outage.mayCall(this.#nowMs())
  }

  #grantInput (): GrantInput {
    return grantInputOf({ prepaidTokens: this.#prepaidTokens, ledger: this.ledgerObject.ledger, holder: this.#options.holder, slice: this.#slice, isLender: this.#isLender, waiting: this.#waiting, nowMs: this.#nowMs() })
  }

  get #isLender (): boolean {
    return !this.#isClosing && this.ledgerObject.ledger.lender?.holder === this.#options.holder
  }

  /** The other router that lends tokens of this budget, if it may be asked for a loan now. */
  #lender (): LenderEntry | undefined {
    const { lender } = this.ledgerObject.ledger
    if (lender === undefined || this.#borrowing === undefined || lender.holder === this.#options.holder || this.#isClosing) return undefined
    return this.#borrowing.mayRequest(lender) ? lender : undefined
  }

  /** Whether this router, which now borrows, still holds unused tokens that it was granted in the ledger before. */
  get #holdsIdleGrant (): boolean {
    return this.#slice.ownTokens - this.#slice.ownCommittedTokens > idleGrantShare * this.#prepaidTokens
  }

  async #returnGrant (): Promise<StoreFailure | undefined> {
    if (this.ledgerObject.revision === undefined) return await this.ledgerObject.read()
    return await this.#writer.write(Math.ceil(this.#slice.ownCommittedTokens))
  }

  #isLoanDue (lender: LenderEntry): boolean {
    return this.#waiting.length > 0 || this.#borrowing?.isDue(lender) === true
  }

  async #borrow (lender: LenderEntry): Promise<void> {
    const waiters = this.#waiting.takeAll()
    const reply = await this.#borrowing!.requestLoan(lender, waiters)
    if (reply.kind === 'lent') {
      const mustPass = reply.isStoreAway === true && !this.#isOutage && reply.verdicts.some(({ kind }) => kind !== 'reserved')
      if (mustPass) this.#borrowing!.passOver(lender)
      const isAwayForBoth = reply.isStoreAway === true && this.#isOutage
      waiters.forEach((waiter, index) => { this.#applyVerdict(waiter, reply.verdicts[index], mustPass, isAwayForBoth) })
      return
    }
    this.#waiting.putBack(waiters)
    // Another router may have become the lender; the ledger in the store names it.
    if (reply.kind === 'notLender') await this.ledgerObject.read()
  }

  /** If `mustPass`, a request that the lender refuses waits for the store, which this router reaches and the lender does not. */
  #applyVerdict (waiter: Waiter, verdict: LoanVerdict | undefined, mustPass: boolean, isAwayForBoth: boolean): void {
    if (verdict?.kind === 'reserved' && this.#serveLent(waiter)) return
    if (verdict === undefined || verdict.kind === 'reserved' || mustPass) this.#waiting.add(waiter)
    else if (!isAwayForBoth || !this.#requestPeerLoan(waiter)) waiter.resolve(verdict)
  }

  /** Serves a request whose tokens were lent. The lender has already checked the rank, so they are reserved as for the most urgent rank. */
  #serveLent (waiter: Waiter): boolean {
    const reservation = this.#tryReserve({ ...waiter, rank: 0 })
    if (reservation === undefined) return false
    waiter.resolve(reservation)
    return true
  }

  /** Stores which tokens of earlier processes of this VM are free again. Returns whether nothing is left to store. */
  closePredecessors (): Promise<boolean> {
    return this.#writer.closePredecessors()
  }

  /** Line of the grant of this process for the next report. */
  releaseLine (): ReleaseLine | undefined {
    return this.#release.nextLine(this.#prepaidTokens, this.#waiting.fittingTokens(unassignedTokens(this.#grantInput()), this.#prepaidTokens, this.#slice.idleTokens))
  }

  #applyGrant (): void {
    const granted = this.ledgerObject.ledger.holders[this.#options.holder]?.grantedTokens ?? 0
    // A write that returns tokens but got no response may still take effect, so only the smaller grant is safe to spend.
    this.#slice.setOwnTokens(this.ledgerObject.hasUncertainWrite ? Math.min(this.#slice.ownTokens, granted) : granted)
  }

  #serveWaiters (): void {
    this.#waiting.serveFitting(request => this.#tryReserve(request))
  }

  /** Serves the requests that the slice covers by now, and refuses those that may not wait any longer. */
  #serveOrRefuse (storeFailure: StoreFailure['kind']): void {
    this.#serveWaiters()
    for (const waiter of this.#waiting.takeExpired(this.#nowMs())) this.#refuse(waiter, storeFailure)
  }

  /** Refuses a request whose tokens are not free. Whether the refusal says that the budget is exhausted depends on the known ledger. */
  #refuse (waiter: Waiter, storeFailure: StoreFailure['kind'] | 'none'): void {
    const { random, outage, log, holder } = this.#options
    refuseWaiter(waiter, {
      log,
      organisation: this.#organisation,
      prepaidTokens: this.#prepaidTokens,
      committedTokens: this.#writer.publishedTokens,
      running: [holder, ...this.#lending.borrowers],
      slice: this.#slice,
      ledgerObject: this.ledgerObject,
      releaseMs: this.#isOutage ? this.#release.delayMs(waiter.tokens) : undefined, // Otherwise a report releases tokens at once.
      outageMs: outage.sinceMs === undefined ? undefined : this.#nowMs() - outage.sinceMs,
      storeFailure,
      nowMs: this.#nowMs(),
      random
    })
  }
}
