/**
 * Prepaid budgets at this router. Requests are admitted from the slice that this
 * router holds of a budget, without a call to the store. The slice is refilled
 * in the store before it runs low. In the last part of a budget, the store is
 * written for each request.
 */
import type { Unsubscribe } from '@buckthorndrift/kernel'
import { ledgerSchema } from '@buckthorndrift/policy'
import type { Organisation } from '../shared/fleet.ts'
import { StoreOutage } from '../shared/storeOutage.ts'
import type { LoanReply, LoanRequest } from '../shared/loans.ts'
import type { BudgetRequest, Reservation } from './budgetRequest.ts'
import type { LedgerOptions } from './ledgerOptions.ts'
import { OrganisationLedger } from './organisationLedger.ts'

/** Interval at which ledgers without a waiting request are updated. */
const updateIntervalMs = 250
/** Interval at which this router looks for lenders in ledgers that it has not read. */
const lenderDiscoveryIntervalMs = 3000
/** Number of routers assumed in the fleet while this router has no ledger to estimate it from. */
const defaultRouterCount = 32
/** `isStarved` is true when at least one in this number of slices is nearly spent and cannot be refilled. */
const starvedSliceDivisor = 3

export class BudgetLedger {
  readonly #options: LedgerOptions
  readonly #prepaid = new Map<string, number>()
  /** Ledgers of the organisations that sent requests to this router, or that have a lender. */
  readonly #ledgers = new Map<string, OrganisationLedger>()
  readonly #stopUpdates: Unsubscribe
  readonly #stopDiscovery: Unsubscribe

  constructor (options: Omit<LedgerOptions, 'outage'>) {
    this.#options = { ...options, outage: new StoreOutage(options.random) }
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
    return await this.#ledgers.get(request.organisation)?.lend(request) ?? { kind: 'notLender' }
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

  /** Returns all unspent tokens before the process ends. */
  async close (): Promise<void> {
    this.#stopUpdates()
    this.#stopDiscovery()
    await Promise.all([...this.#ledgers.values()].map(ledger => ledger.close()))
  }

  /** Stops the timers without returning tokens to the store. */
  stopTimers (): void {
    this.#stopUpdates()
    this.#stopDiscovery()
  }
}
