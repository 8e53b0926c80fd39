/**
 * The prepaid budgets as this router spends them. A request is admitted from the
 * router's slice alone; the store is written before a slice runs low, and in the
 * last part of a budget for each request.
 */
import type { Unsubscribe } from '@buckthorndrift/kernel'
import { ledgerSchema } from '@buckthorndrift/policy'
import type { Organisation } from '../shared/fleet.ts'
import { StoreOutage } from '../shared/storeOutage.ts'
import type { LoanReply, LoanRequest } from '../shared/loans.ts'
import type { BudgetRequest, Reservation } from './budgetRequest.ts'
import type { LedgerOptions } from './ledgerOptions.ts'
import { OrganisationLedger } from './organisationLedger.ts'

/** Least time between two writes of one ledger without a waiting request. */
const updateIntervalMs = 250
/** Interval of looks for ledgers that this router has not read. */
const learnIntervalMs = 3000
/** Size of the fleet that is assumed before a ledger was read. */
const unknownRouterCount = 32
/** A router is of little use when one in this number of its slices is nearly spent. */
const starvedPart = 3

export class BudgetLedger {
  readonly #options: LedgerOptions
  readonly #prepaid = new Map<string, number>()
  /** Ledgers of the organisations whose requests came here. */
  readonly #ledgers = new Map<string, OrganisationLedger>()
  readonly #stopTicking: Unsubscribe
  readonly #stopLearning: Unsubscribe

  constructor (options: Omit<LedgerOptions, 'outage'>) {
    this.#options = { ...options, outage: new StoreOutage(options.random) }
    this.#stopTicking = options.timers.every(updateIntervalMs, () => {
      for (const ledger of this.#ledgers.values()) ledger.update()
    })
    this.#stopLearning = options.timers.every(learnIntervalMs, () => { void this.#learnLenders() })
  }

  /** Takes the prepaid budgets of a new configuration. */
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

  /** Reserves a request at its largest size. */
  reserve (organisation: string, request: BudgetRequest): Promise<Reservation> | Reservation {
    return this.#ledgerOf(organisation).reserve(request)
  }

  /** Lends tokens to another router, if the ledger names this one as the lender. */
  async lend (request: LoanRequest): Promise<LoanReply> {
    return await this.#ledgers.get(request.organisation)?.lend(request) ?? { kind: 'notLender' }
  }

  /** Routers of the fleet, by the holders in the ledgers. */
  routerCount (): number {
    let count = 0
    for (const ledger of this.#ledgers.values()) count = Math.max(count, ledger.routerCount)
    return count === 0 ? unknownRouterCount : count
  }

  /** Whether the store is away and many slices are nearly spent, so that other routers serve better. */
  isStarved (): boolean {
    const starved = [...this.#ledgers.values()].filter(ledger => ledger.isStarved).length
    return starved > 0 && starved * starvedPart >= this.#ledgers.size
  }

  #ledgerOf (organisation: string): OrganisationLedger {
    let ledger = this.#ledgers.get(organisation)
    if (ledger === undefined) {
      ledger = new OrganisationLedger(organisation, this.#prepaid.get(organisation) ?? 0, this.#options)
      this.#ledgers.set(organisation, ledger)
    }
    return ledger
  }

  /** Learns who lends, so that the first request of an organisation can be served while the store is away. */
  async #learnLenders (): Promise<void> {
    const isComplete = [...this.#prepaid.keys()].every(name => this.#ledgers.get(name)?.object.wasSeen === true)
    if (isComplete || this.#options.loans === undefined) return
    const answer = await this.#options.store.list('budgets', { mayBeStale: true })
    if (answer.isErr()) return
    for (const object of answer.value.objects) {
      const hasLender = ledgerSchema.safeParse(object.value).data?.lender !== undefined
      if (hasLender && this.#prepaid.has(object.name)) this.#ledgerOf(object.name).object.show(object)
    }
  }

  /** Gives all unspent tokens back before the process ends. */
  async close (): Promise<void> {
    this.#stopTicking()
    this.#stopLearning()
    await Promise.all([...this.#ledgers.values()].map(ledger => ledger.close()))
  }

  /** Stops without a word to the store. */
  abandon (): void {
    this.#stopTicking()
    this.#stopLearning()
  }
}
