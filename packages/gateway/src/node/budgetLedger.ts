/**
 * Prepaid budgets at this router. Requests are admitted from the slice that this
 * router holds of a budget, without a call to the store. The slice is refilled
 * in the store before it runs low. In the last part of a budget, the store is
 * written for each request.
 */
import type { Unsubscribe } from '@buckthorndrift/kernel'
import { ledgerSchema, type ClockReading, type ReleaseLine } from '@buckthorndrift/policy'
import type { Organisation } from '../shared/fleet.ts'
import { StoreOutage } from '../shared/storeOutage.ts'
import type { LoanReply, LoanRequest } from '../shared/loans.ts'
import type { StoreContact } from '../shared/storeContact.ts'
import type { BudgetRequest, Reservation } from './budgetRequest.ts'
import { ClockPeers } from './clockPeers.ts'
import { HolderReporter } from './holderReporter.ts'
import type { LedgerOptions } from './ledgerOptions.ts'
import { OrganisationLedger } from './organisationLedger.ts'
import { Predecessors } from './predecessors.ts'
import { askStoreContact, StorePeers } from './storePeers.ts'

/** Interval at which ledgers without a waiting request are updated. */
const updateIntervalMs = 250
/** Interval at which this router looks for lenders in ledgers that it has not read. */
const lenderDiscoveryIntervalMs = 3000
/** Delay after a failed attempt to close the grants of earlier processes. */
const closeRetryMs = 500
/** Number of routers assumed in the fleet while this router has no ledger to estimate it from. */
const defaultRouterCount = 32
/** `isStarved` is true when at least one in this number of slices is nearly spent and cannot be refilled. */
const starvedSliceDivisor = 3

export interface BudgetLedgerOptions extends Omit<LedgerOptions, 'outage' | 'reporter' | 'predecessors' | 'storePeers'> {
  /** Addresses at which the other routers of the fleet lend. */
  peerAddresses (): readonly string[]
  /** Clocks of the VM at the start of this process. */
  readonly startClock: ClockReading
  readClocks (): ClockReading
}

export class BudgetLedger {
  readonly #options: LedgerOptions
  readonly #reporter: HolderReporter
  readonly #predecessors: Predecessors
  readonly #clockPeers: ClockPeers | undefined
  #isStopped = false
  readonly #prepaid = new Map<string, number>()
  /** Ledgers of the organisations that sent requests to this router, or that have a lender. */
  readonly #ledgers = new Map<string, OrganisationLedger>()
  readonly #stopUpdates: Unsubscribe
  readonly #stopDiscovery: Unsubscribe

  constructor (options: BudgetLedgerOptions) {
    const { store, timers, log, nodeName, holder, startClock } = options
    const outage = new StoreOutage(options.random)
    const wallMs = (): number => options.readClocks().wallMs
    this.#clockPeers = options.loans === undefined ? undefined : new ClockPeers({ address: options.loans.address, wallMs, monotonicMs: () => timers.monotonicMs() })
    const loans = options.loans === undefined ? undefined : { ...options.loans, client: this.#clockPeers!.stamp(options.loans.client) }
    this.#reporter = new HolderReporter({ store, timers, log, nodeName, holder, outage, readClocks: options.readClocks, routerCount: () => this.routerCount(), peers: () => this.#clockPeers?.recent() ?? {}, lines: () => this.#releaseLines() })
    this.#predecessors = new Predecessors({ store, timers, log, nodeName, holder, startClock, wallMs, onLoaded: revision => { void this.#closePredecessors(revision) } })
    const storePeers = loans === undefined ? undefined : new StorePeers({ timers, random: options.random, addresses: () => options.peerAddresses(), ask: askStoreContact })
    this.#options = { ...options, loans, storePeers, outage, reporter: this.#reporter, predecessors: this.#predecessors }
    this.#stopUpdates = options.timers.every(updateIntervalMs, () => {
      for (const ledger of this.#ledgers.values()) ledger.update()
    })
    this.#stopDiscovery = options.timers.every(lenderDiscoveryIntervalMs, () => { void this.#discoverLenders() })
  }

  /** Applies the prepaid budgets of a new configuration. */
  configure (organisations: readonly Organisation[]): void {
    this.#prepaid.clear()
    for (const { name, prepaidTokens } of organisations) {
      if (prepaidTokens === undefined) continue
      this.#prepaid.set(name, prepaidTokens)
      this.#ledgers.get(name)?.setPrepaid(prepaidTokens)
    }
  }

  hasBudget (organisation: string): boolean {
    return this.#prepaid.has(organisation)
  }

  /** Reserves the largest number of tokens that a request can use. */
  reserve (organisation: string, request: BudgetRequest): Promise<Reservation> | Reservation {
    return this.#ledgerOf(organisation).reserve(request)
  }

  /** Lends tokens to another router, if the ledger names this one as the lender. */
  async lend (request: LoanRequest): Promise<LoanReply> {
    this.#clockPeers?.recordBorrower(request.borrower, request.address, request.wallMs)
    if (request.lender !== undefined && request.lender !== this.#options.holder) return { kind: 'notLender' }
    const mayStart = request.isPeerLoan === true && this.#prepaid.has(request.organisation)
    const ledger = mayStart ? this.#ledgerOf(request.organisation) : this.#ledgers.get(request.organisation)
    const reply = await ledger?.lend(request) ?? { kind: 'notLender' }
    return reply.kind === 'lent' ? { ...reply, lender: this.#options.holder, wallMs: this.#options.timers.nowMs() } : reply
  }

  /** What other routers need to know before they ask this one for tokens while they do not reach the store. */
  storeContact (): StoreContact {
    return { holder: this.#options.holder, isStoreAway: this.#isStopped || this.#options.outage.sinceMs !== undefined }
  }

  /** Number of routers in the fleet, estimated from the ledgers. */
  routerCount (): number {
    let count = 0
    for (const ledger of this.#ledgers.values()) count = Math.max(count, ledger.routerCount)
    return count === 0 ? defaultRouterCount : count
  }

  /** Whether so many slices are nearly spent during a store outage that callers should use other routers. */
  isStarved (): boolean {
    const starved = [...this.#ledgers.values()].filter(ledger => ledger.isStarved).length
    return starved > 0 && starved * starvedSliceDivisor >= this.#ledgers.size
  }

  #ledgerOf (organisation: string): OrganisationLedger {
    let ledger = this.#ledgers.get(organisation)
    if (ledger === undefined) {
      ledger = new OrganisationLedger(organisation, this.#prepaid.get(organisation) ?? 0, this.#options)
      this.#ledgers.set(organisation, ledger)
    }
    return ledger
  }

  /** Finds the lender of each budget, so that the first request of an organisation can be served during an outage of the store. */
  async #discoverLenders (): Promise<void> {
    const isComplete = [...this.#prepaid.keys()].every(name => this.#ledgers.get(name)?.ledgerObject.hasState === true)
    if (isComplete || this.#options.loans === undefined) return
    const result = await this.#options.store.list('budgets', { mayBeStale: true })
    if (result.isErr()) return
    for (const object of result.value.objects) {
      const hasLender = ledgerSchema.safeParse(object.value).data?.lender !== undefined
      if (hasLender && this.#prepaid.has(object.name)) this.#ledgerOf(object.name).ledgerObject.initialise(object)
    }
  }

  #releaseLines (): Readonly<Record<string, ReleaseLine>> {
    const lines: Record<string, ReleaseLine> = {}
    for (const [organisation, ledger] of this.#ledgers) {
      const line = ledger.releaseLine()
      if (line !== undefined) lines[organisation] = line
    }
    return lines
  }

  /** Closes the grants of earlier processes of this VM, and then starts the reports of this one, which overwrite the last report of its predecessor. */
  async #closePredecessors (reportRevision: number): Promise<void> {
    while (!this.#isStopped && !await this.#tryClosePredecessors()) {
      await new Promise<void>(resolve => { this.#options.timers.after(closeRetryMs, resolve) })
    }
    if (!this.#isStopped) this.#reporter.start(reportRevision)
  }

  async #tryClosePredecessors (): Promise<boolean> {
    const result = await this.#options.store.list('budgets')
    if (result.isErr()) return false
    const closings: Array<Promise<boolean>> = []
    for (const object of result.value.objects) {
      const holders = Object.keys(ledgerSchema.safeParse(object.value).data?.holders ?? {})
      if (!holders.some(holder => this.#predecessors.isPredecessor(holder))) continue
      const ledger = this.#ledgerOf(object.name)
      ledger.ledgerObject.initialise(object)
      closings.push(ledger.closePredecessors())
    }
    return (await Promise.all(closings)).every(isClosed => isClosed)
  }

  /** Returns all unspent tokens before the process ends. */
  async close (): Promise<void> {
    this.#stopBackground()
    await Promise.all([...this.#ledgers.values()].map(ledger => ledger.close()))
  }

  /** Stops the timers without returning tokens to the store. */
  stopTimers (): void {
    this.#stopBackground()
  }

  #stopBackground (): void {
    this.#isStopped = true
    this.#stopUpdates()
    this.#stopDiscovery()
    this.#reporter.stop()
    this.#predecessors.stop()
  }
}
