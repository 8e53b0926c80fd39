/** One organisation's budget: this router's slice of it, kept in step with the ledger object in the store. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import {
  BudgetSlice,
  isTight,
  judgeRefusal,
  keptTokens,
  needsUpdate,
  othersTotal,
  planGrant,
  routersOf,
  unassignedShare,
  unassignedTokens,
  withClosedHolders,
  withGrant,
  type GrantInput
} from '@buckthorndrift/policy'
import type { FleetStore, StoreFailure } from '../shared/store.ts'
import type { StoreOutage } from '../shared/storeOutage.ts'
import { LedgerObject } from './ledgerObject.ts'

export type Reservation =
  | { readonly kind: 'reserved', settle (consumedTokens: number): void }
  /** The budget does not cover the request, by what all routers have published. */
  | { readonly kind: 'exhausted' }
  /** Nothing is free now; part of the budget may come back from other routers, or the store does not answer. */
  | { readonly kind: 'unavailable', readonly retryAfterMs: number }

export interface LedgerOptions {
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  /** `<node>.<incarnation>`, unique for each start of a process. */
  readonly holder: string
  readonly nodeName: string
  readonly random: () => number
  /** Shared by all ledgers of the process. */
  readonly outage: StoreOutage
}

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

/** What a request asks of a budget. */
export interface BudgetRequest {
  readonly attemptId: string
  /** Largest size of the request. */
  readonly tokens: number
  /** 0 is the most urgent. */
  readonly rank: number
  /** Longest wait for the store in ms. */
  readonly maxWaitMs: number
}

interface Waiter extends BudgetRequest {
  readonly deadlineMs: number
  readonly resolve: (reservation: Reservation) => void
}

export class OrganisationLedger {
  readonly #organisation: string
  readonly #options: LedgerOptions
  readonly #slice: BudgetSlice
  #prepaidTokens: number
  readonly #object: LedgerObject
  #waiters: Waiter[] = []
  #isUpdating = false
  #isClosing = false

  constructor (organisation: string, prepaidTokens: number, options: LedgerOptions) {
    this.#organisation = organisation
    this.#prepaidTokens = prepaidTokens
    this.#options = options
    this.#slice = new BudgetSlice(this.#nowMs())
    this.#object = new LedgerObject({ organisation, store: options.store, timers: options.timers, log: options.log, onLearned: () => { this.#takeGrant() } })
  }

  /** Routers that hold a part of the budget, this one included. */
  get routerCount (): number {
    return routersOf(this.#object.ledger, this.#options.holder)
  }

  /** Whether the store is away and the slice is nearly spent. */
  get isStarved (): boolean {
    return this.#isOutage && this.#slice.isNearlySpent
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
      if (this.#isOutage) {
        this.#refuse(waiter, 'unavailable')
        return
      }
      this.#waiters.push(waiter)
      this.update()
    })
  }

  /** Writes the ledger if the slice needs it; one write at a time. */
  update (): void {
    if (this.#isClosing || this.#isUpdating || !this.#isUpdateDue()) return
    this.#isUpdating = true
    void this.#settle().finally(() => { this.#isUpdating = false })
  }

  /** Gives back what was not committed, so that other routers can spend it. */
  async close (): Promise<void> {
    this.#isClosing = true
    for (let round = 0; round < maxCloseRounds; round++) {
      if (this.#object.revision === undefined && await this.#object.read() !== undefined) return
      const committedTokens = Math.ceil(this.#slice.committedTokens)
      if (this.#slice.grantedTokens <= committedTokens || await this.#write(committedTokens) === undefined) return
    }
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #tryReserve ({ tokens, rank }: BudgetRequest): Reservation | undefined {
    const slice = this.#slice
    if (!slice.tryReserve(tokens, this.#isOutage ? rank : 0, this.#nowMs())) return undefined
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

  async #settle (): Promise<void> {
    const grantedBefore = this.#slice.grantedTokens
    let pauseMs = conflictPauseMs
    let calls = 0
    let failures = 0
    for (let round = 0; round < maxRounds; round++) {
      this.#serveWaiters()
      const failure = await this.#step()
      if (failure === 'settled') break
      calls++
      const isAnswered = failure === undefined || failure.kind === 'conflict'
      if (isAnswered) this.#options.outage.noteAnswer()
      else this.#options.outage.noteFailure(this.#nowMs())
      if (failure === undefined) continue
      if (!isAnswered) {
        failures++
        this.#refuseLate(failure, failures >= maxFailures)
        if (this.#waiters.length === 0) return
      }
      await this.#pause(pauseMs * (0.5 + this.#options.random()))
      pauseMs = Math.min(longestConflictPauseMs, pauseMs * 2)
    }
    this.#serveWaiters()
    if (this.#slice.grantedTokens !== grantedBefore) this.#logSlice(grantedBefore, calls)
    for (const waiter of this.#waiters.splice(0)) this.#refuse(waiter, 'none')
  }

  #logSlice (grantedBeforeTokens: number, calls: number): void {
    const { grantedTokens, committedTokens } = this.#slice
    this.#options.log.event('budgetSliceChanged', {
      organisation: this.#organisation,
      grantedBeforeTokens,
      grantedTokens,
      committedTokens,
      unassignedTokens: unassignedTokens(this.#input()),
      ledgerRevision: this.#object.revision ?? null,
      calls
    })
  }

  /** Makes the next call to the store, or says that none is needed. */
  async #step (): Promise<StoreFailure | undefined | 'settled'> {
    if (this.#object.revision === undefined) return await this.#object.read()
    const input = this.#input()
    const granted = planGrant(input)
    if (needsUpdate(input) && granted !== this.#slice.grantedTokens) {
      // Others have most likely written since, and a conflict costs as much as a write.
      return this.#object.refreshAgeMs > freshMs ? await this.#object.refresh() : await this.#write(granted)
    }
    if (!this.#mustLook(input)) return 'settled'
    return this.#waiters.length > 0 ? await this.#object.read() : await this.#object.refresh()
  }

  /** Whether other routers may have changed what matters now. */
  #mustLook (input: GrantInput): boolean {
    if (this.#waiters.length > 0) return this.#object.ageMs > freshMs
    return this.#object.refreshAgeMs > staleMs && unassignedShare(input) < scarceShare && this.#slice.availableTokens > 0
  }

  get #isOutage (): boolean {
    return this.#options.outage.sinceMs !== undefined
  }

  /** Whether the store has to be asked, and may be. */
  #isUpdateDue (): boolean {
    const input = this.#input()
    const isNeeded = this.#waiters.length > 0 || this.#object.revision === undefined || needsUpdate(input) || this.#mustLook(input)
    return isNeeded && this.#options.outage.mayCall(this.#nowMs())
  }

  #input (): GrantInput {
    const others = othersTotal(this.#object.ledger, this.#options.holder)
    const free = this.#prepaidTokens - others.grantedTokens - this.#slice.committedTokens
    return {
      prepaidTokens: this.#prepaidTokens,
      othersGrantedTokens: others.grantedTokens,
      holders: this.routerCount,
      committedTokens: this.#slice.committedTokens,
      grantedTokens: this.#slice.grantedTokens,
      ratePerMs: this.#slice.ratePerMs(this.#nowMs()),
      waitingTokens: this.#waitingTokens(free)
    }
  }

  /** Tokens of the waiting requests, in order of arrival, that fit into what is free for their rank. */
  #waitingTokens (freeTokens: number): number {
    let sum = 0
    for (const waiter of this.#waiters) {
      const kept = keptTokens(this.#prepaidTokens, waiter.rank)
      if (sum + waiter.tokens <= freeTokens - kept) sum += waiter.tokens
    }
    return sum
  }

  async #write (grantedTokens: number): Promise<StoreFailure | undefined> {
    const { holder } = this.#options
    const grant = { grantedTokens, committedTokens: this.#slice.committedTokens }
    // What is given back may not be spent while the write is on its way.
    if (grantedTokens < this.#slice.grantedTokens) this.#slice.setGranted(grantedTokens)
    const failure = await this.#object.write(withGrant(withClosedHolders(this.#object.ledger, id => this.#isFormer(id)), holder, grant))
    if (failure === undefined) this.#slice.setFilled(isTight(this.#input()) ? 0 : this.#slice.availableTokens)
    return failure
  }

  /** Whether a holder is an earlier process of this node. */
  #isFormer (holder: string): boolean {
    return holder.startsWith(`${this.#options.nodeName}.`) && holder !== this.#options.holder
  }

  #takeGrant (): void {
    const granted = this.#object.ledger.holders[this.#options.holder]?.grantedTokens ?? 0
    // While a write that gives tokens back may still take effect, only the smaller grant is safe.
    this.#slice.setGranted(this.#object.isUncertain ? Math.min(this.#slice.grantedTokens, granted) : granted)
  }

  #serveWaiters (): void {
    const waiting = this.#waiters
    this.#waiters = []
    for (const waiter of waiting) {
      const reservation = this.#tryReserve(waiter)
      if (reservation === undefined) this.#waiters.push(waiter)
      else waiter.resolve(reservation)
    }
  }

  #refuseLate (failure: StoreFailure, refusesAll: boolean): void {
    const nowMs = this.#nowMs()
    const waiting = this.#waiters
    this.#waiters = []
    for (const waiter of waiting) {
      if (!refusesAll && waiter.deadlineMs > nowMs) this.#waiters.push(waiter)
      else this.#refuse(waiter, failure.kind)
    }
  }

  /** Answers a request whose tokens are not free, by what the ledger says. */
  #refuse (waiter: Waiter, storeFailure: StoreFailure['kind'] | 'none'): void {
    const { random, outage, log, holder } = this.#options
    const others = othersTotal(this.#object.ledger, holder)
    const refusal = judgeRefusal({
      tokens: waiter.tokens,
      rank: waiter.rank,
      prepaidTokens: this.#prepaidTokens,
      committedTokens: this.#slice.committedTokens,
      others,
      isLedgerKnown: storeFailure === 'none' && this.#object.revision !== undefined,
      outageMs: outage.sinceMs === undefined ? undefined : this.#nowMs() - outage.sinceMs,
      random
    })
    log.event('budgetRefused', {
      attemptId: waiter.attemptId,
      organisation: this.#organisation,
      tokens: waiter.tokens,
      rank: waiter.rank,
      prepaidTokens: this.#prepaidTokens,
      leftTokens: refusal.leftTokens,
      lostTokens: others.lostTokens,
      othersGrantedTokens: others.grantedTokens,
      othersCommittedTokens: others.committedTokens,
      grantedTokens: this.#slice.grantedTokens,
      committedTokens: this.#slice.committedTokens,
      tokensPerS: Math.round(this.#slice.ratePerMs(this.#nowMs()) * 1000),
      ledgerRevision: this.#object.revision ?? null,
      ledgerAgeMs: Math.round(this.#object.ageMs),
      storeFailure,
      isExhausted: refusal.isExhausted
    })
    waiter.resolve(refusal.isExhausted ? { kind: 'exhausted' } : { kind: 'unavailable', retryAfterMs: refusal.retryAfterMs })
  }

  #pause (durationMs: number): Promise<void> {
    return new Promise(resolve => { this.#options.timers.after(durationMs, resolve) })
  }
}
