/** One ledger object of the store, and this router's slices of the budgets in it. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import {
  BudgetSlice, emptyLedger, holderCount, ledgerHolders, isTight, ledgerSchema, needsUpdate, othersTotal, planGrant, withClosedHolders, withGrants,
  type Grant, type GrantInput, type Ledger
} from '@buckthorndrift/policy'
import type { FleetStore, StoredObject, StoreFailure } from '../shared/store.ts'

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
}

const retryMs = 60
/** Bounds of the time after which a refused request is worth repeating. */
const shortestRetryMs = 300
const longestRetryMs = 4000
const maxRounds = 12
const maxCloseRounds = 4
/** Pause after a failed call while no request waits. */
const outagePauseMs = 500
const noGrants: ReadonlyMap<string, Grant> = new Map()
/** Pause before a request is worth repeating when the rest of a budget is held elsewhere. */
export const heldElsewhereMs = 600
/** Pause before a request is worth repeating when only a larger budget helps. */
const topUpMs = 10_000

interface Waiter {
  readonly organisation: string
  readonly tokens: number
  readonly rank: number
  readonly deadlineMs: number
  readonly resolve: (reservation: Reservation) => void
}

/** One ledger object and the slices that it covers. */
export class LedgerShard {
  readonly name: string
  readonly #options: LedgerOptions
  readonly #prepaid: (organisation: string) => number | undefined
  readonly slices = new Map<string, BudgetSlice>()
  #ledger: Ledger = emptyLedger
  #revision: number | undefined
  #learnedMs = 0
  #routerCount = 1
  /** Revision that a write without an answer expected; the write may still take effect while the object is at it. */
  #uncertainRevision: number | undefined
  #waiters: Waiter[] = []
  /** Since when the store has not answered; slices then keep a rest for urgent requests. */
  #outageSinceMs: number | undefined
  #isUpdating = false
  #isClosing = false
  #nextUpdateMs = 0
  #hasClosedFormer = false

  constructor (name: string, options: LedgerOptions, prepaid: (organisation: string) => number | undefined) {
    this.name = name
    this.#options = options
    this.#prepaid = prepaid
  }

  slice (organisation: string): BudgetSlice {
    let slice = this.slices.get(organisation)
    if (slice === undefined) {
      slice = new BudgetSlice(this.#nowMs())
      this.slices.set(organisation, slice)
    }
    return slice
  }

  reserve (organisation: string, tokens: number, rank: number, maxWaitMs: number): Promise<Reservation> | Reservation {
    const granted = this.#tryReserve(organisation, tokens, rank)
    if (granted !== undefined) return granted
    return new Promise(resolve => {
      const waiter = { organisation, tokens, rank, deadlineMs: this.#nowMs() + maxWaitMs, resolve }
      // The store is asked again at intervals anyway; waiting for it would only delay the refusal.
      if (this.#outageSinceMs !== undefined) {
        this.#refuse(waiter, 'unavailable')
        return
      }
      this.#waiters.push(waiter)
      this.update()
    })
  }

  /** Writes the ledger if a slice needs it; one write at a time. */
  update (): void {
    if (this.#isClosing || this.#isUpdating || (this.#waiters.length === 0 && this.#nowMs() < this.#nextUpdateMs)) return
    this.#isUpdating = true
    void this.#settle().finally(() => { this.#isUpdating = false })
  }

  /** Routers that hold a part of any budget here, this one included. */
  get routerCount (): number {
    return this.#routerCount
  }

  /** Whether the store is away and at least a third of the slices is nearly spent. */
  isStarved (): boolean {
    if (this.#outageSinceMs === undefined) return false
    const spent = [...this.slices.values()].filter(slice => slice.isNearlySpent).length
    return spent * 3 >= this.slices.size
  }

  /** Gives back what was not committed, so that other routers can spend it. */
  async close (): Promise<void> {
    this.#isClosing = true
    for (let round = 0; round < maxCloseRounds; round++) {
      if (this.#revision === undefined && await this.#read() !== undefined) return
      const grants = new Map<string, Grant>()
      for (const [organisation, slice] of this.slices) {
        const committed = Math.ceil(slice.committedTokens)
        if (slice.grantedTokens > committed) grants.set(organisation, { grantedTokens: committed, committedTokens: committed })
      }
      if (grants.size === 0 || await this.#write(grants) === undefined) return
    }
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #tryReserve (organisation: string, tokens: number, rank: number): Reservation | undefined {
    const slice = this.slice(organisation)
    if (!slice.tryReserve(tokens, this.#outageSinceMs === undefined ? 0 : rank, this.#nowMs())) return undefined
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
    let isFresh = false
    for (let round = 0; round < maxRounds; round++) {
      this.#serveWaiters()
      const grants = this.#revision === undefined ? noGrants : this.#plannedGrants()
      if (this.#revision !== undefined && grants.size === 0 && (isFresh || this.#waiters.length === 0)) break
      const failure = grants.size === 0 ? await this.#read() : await this.#write(grants)
      isFresh = failure === undefined || failure.kind === 'conflict'
      this.#outageSinceMs = isFresh ? undefined : this.#outageSinceMs ?? this.#nowMs()
      if (isFresh) continue
      this.#nextUpdateMs = this.#nowMs() + outagePauseMs * (1 + this.#options.random())
      this.#refuseLate(failure!)
      if (this.#waiters.length === 0) return
      await this.#pause(retryMs * (1 + this.#options.random()))
    }
    this.#serveWaiters()
    this.#judgeWaiters()
  }

  #input (organisation: string, prepaidTokens: number): GrantInput {
    const slice = this.slice(organisation)
    const others = othersTotal(this.#ledger, organisation, this.#options.holder)
    const isHolder = this.#ledger.organisations[organisation]?.[this.#options.holder] !== undefined
    return {
      prepaidTokens,
      othersGrantedTokens: others.grantedTokens,
      holders: holderCount(this.#ledger, organisation) + (isHolder ? 0 : 1),
      committedTokens: slice.committedTokens,
      grantedTokens: slice.grantedTokens,
      ratePerMs: slice.ratePerMs(this.#nowMs()),
      waitingTokens: this.#waitingTokens(organisation, prepaidTokens - others.grantedTokens - slice.committedTokens)
    }
  }

  /** Tokens of the waiting requests, in order of arrival, that fit into what is free. */
  #waitingTokens (organisation: string, freeTokens: number): number {
    let sum = 0
    for (const waiter of this.#waiters) {
      if (waiter.organisation === organisation && sum + waiter.tokens <= freeTokens) sum += waiter.tokens
    }
    return sum
  }

  /** Grants to write now: all of the object's organisations whose slice would change, once one of them needs it. */
  #plannedGrants (): ReadonlyMap<string, Grant> {
    const grants = new Map<string, Grant>()
    let isNeeded = false
    for (const [organisation, slice] of this.slices) {
      const prepaidTokens = this.#prepaid(organisation)
      if (prepaidTokens === undefined) continue
      const input = this.#input(organisation, prepaidTokens)
      const grantedTokens = planGrant(input)
      if (grantedTokens === slice.grantedTokens) continue
      grants.set(organisation, { grantedTokens, committedTokens: slice.committedTokens })
      isNeeded ||= needsUpdate(input)
    }
    return isNeeded ? grants : noGrants
  }

  async #read (): Promise<StoreFailure | undefined> {
    const answer = await this.#options.store.read('budgets', this.name)
    if (answer.isOk()) {
      this.#learn(answer.value)
      return undefined
    }
    if (answer.error.kind !== 'notFound') return answer.error
    const created = await this.#options.store.create('budgets', this.name, emptyLedger)
    if (created.isErr()) return created.error
    this.#learn(created.value)
    return undefined
  }

  async #write (grants: ReadonlyMap<string, Grant>): Promise<StoreFailure | undefined> {
    const expected = this.#revision!
    // What is given back may not be spent while the write is on its way.
    for (const [organisation, grant] of grants) {
      const slice = this.slice(organisation)
      if (grant.grantedTokens < slice.grantedTokens) slice.setGranted(grant.grantedTokens)
    }
    const base = this.#hasClosedFormer ? this.#ledger : withClosedHolders(this.#ledger, holder => this.#isFormer(holder))
    const answer = await this.#options.store.replace('budgets', this.name, withGrants(base, this.#options.holder, grants), expected)
    if (answer.isOk()) {
      this.#hasClosedFormer = true
      this.#learn(answer.value)
      this.#noteFilled(grants)
      return undefined
    }
    if (answer.error.kind === 'unavailable' && answer.error.mayHaveApplied) this.#uncertainRevision = expected
    this.#revision = undefined
    if (answer.error.kind === 'conflict' && answer.error.object !== undefined) this.#learn(answer.error.object)
    return answer.error
  }

  #noteFilled (grants: ReadonlyMap<string, Grant>): void {
    for (const organisation of grants.keys()) {
      const prepaidTokens = this.#prepaid(organisation)
      const slice = this.slice(organisation)
      if (prepaidTokens === undefined) continue
      slice.setFilled(isTight(this.#input(organisation, prepaidTokens)) ? 0 : slice.availableTokens)
    }
  }

  /** Whether a holder is an earlier process of this node. */
  #isFormer (holder: string): boolean {
    return holder.startsWith(`${this.#options.nodeName}.`) && holder !== this.#options.holder
  }

  #learn (object: StoredObject): void {
    const parsed = ledgerSchema.safeParse(object.value)
    if (!parsed.success) {
      this.#options.log.event('ledgerUnreadable', { object: object.name, revision: object.revision })
      this.#revision = undefined
      return
    }
    this.#ledger = parsed.data
    this.#learnedMs = this.#nowMs()
    this.#routerCount = ledgerHolders(parsed.data, this.#options.holder).size
    this.#revision = object.revision
    const isUncertain = this.#uncertainRevision === object.revision
    if (!isUncertain) this.#uncertainRevision = undefined
    for (const [organisation, slice] of this.slices) {
      const granted = parsed.data.organisations[organisation]?.[this.#options.holder]?.grantedTokens ?? 0
      // While a write that gives tokens back may still take effect, only the smaller grant is safe.
      slice.setGranted(isUncertain ? Math.min(slice.grantedTokens, granted) : granted)
    }
  }

  #serveWaiters (): void {
    const waiting = this.#waiters
    this.#waiters = []
    for (const waiter of waiting) {
      const reservation = this.#tryReserve(waiter.organisation, waiter.tokens, waiter.rank)
      if (reservation === undefined) this.#waiters.push(waiter)
      else waiter.resolve(reservation)
    }
  }

  #refuseLate (failure: StoreFailure): void {
    const nowMs = this.#nowMs()
    const waiting = this.#waiters
    this.#waiters = []
    for (const waiter of waiting) {
      if (waiter.deadlineMs > nowMs) this.#waiters.push(waiter)
      else this.#refuse(waiter, failure.kind)
    }
  }

  /** Answers the waiters whose tokens are not free, by what the ledger says. */
  #judgeWaiters (): void {
    for (const waiter of this.#waiters.splice(0)) this.#refuse(waiter, 'none')
  }

  #refuse (waiter: Waiter, storeFailure: StoreFailure['kind'] | 'none'): void {
    const { organisation, tokens } = waiter
    const prepaidTokens = this.#prepaid(organisation) ?? 0
    const slice = this.slice(organisation)
    const others = othersTotal(this.#ledger, organisation, this.#options.holder)
    const leftTokens = prepaidTokens - others.committedTokens - slice.committedTokens
    const isKnown = storeFailure === 'none' && this.#revision !== undefined
    const isExhausted = isKnown && tokens > leftTokens
    // What ended routers held does not come back; only a larger budget helps.
    const isLost = isKnown && tokens > leftTokens - others.lostTokens
    this.#options.log.event('budgetRefused', {
      organisation,
      tokens,
      rank: waiter.rank,
      prepaidTokens,
      leftTokens,
      lostTokens: others.lostTokens,
      othersGrantedTokens: others.grantedTokens,
      othersCommittedTokens: others.committedTokens,
      grantedTokens: slice.grantedTokens,
      committedTokens: slice.committedTokens,
      tokensPerS: Math.round(slice.ratePerMs(this.#nowMs()) * 1000),
      ledgerRevision: this.#revision ?? null,
      ledgerAgeMs: Math.round(this.#nowMs() - this.#learnedMs),
      storeFailure,
      isExhausted
    })
    waiter.resolve(isExhausted ? { kind: 'exhausted' } : { kind: 'unavailable', retryAfterMs: isLost ? topUpMs : this.#retryAfterMs() })
  }

  /** An outage is expected to last about as long again as it has lasted. */
  #retryAfterMs (): number {
    const outageMs = this.#outageSinceMs === undefined ? heldElsewhereMs : this.#nowMs() - this.#outageSinceMs
    return Math.min(longestRetryMs, Math.max(shortestRetryMs, outageMs)) * (0.75 + this.#options.random() / 2)
  }

  #pause (durationMs: number): Promise<void> {
    return new Promise(resolve => { this.#options.timers.after(durationMs, resolve) })
  }
}
