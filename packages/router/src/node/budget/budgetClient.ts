/** Reservations of the caller path: finds the home router and settles with the holder. */
import { LRUCache } from 'lru-cache'
import { Ok, type Result } from 'ts-results-es'
import type { TimerService } from '@buckthorndrift/kernel'
import { fail, homesOf, notRun, selectRouters, shardOf, SpendRate, type BudgetLimits, type Failure, type Homes } from '@buckthorndrift/policy'
import { ensureBudgetLayout, type Membership, type ObjectStore } from '@buckthorndrift/coordination'
import type { Member, Reservation, ReserveItemOutput } from '@buckthorndrift/protocol'
import type { BudgetService, HeldReservation } from '../../shared/services.ts'
import type { BudgetHome } from './budgetHome.ts'
import type { PeerCalls } from './peerCalls.ts'
import type { Settlements } from './settlementQueue.ts'

export interface BudgetRoutesOptions {
  readonly store: ObjectStore
  readonly membership: Membership
  readonly timers: TimerService
  readonly limits: BudgetLimits
  readonly home: BudgetHome
  readonly settlements: Settlements
  readonly peers: PeerCalls | undefined
  /** Number of shards when the layout does not exist yet. */
  readonly shards: number | undefined
}

interface BudgetDemand {
  readonly requests: SpendRate
  tightUntilMs: number
}

/** Routers asked for one reservation before it is refused. */
const maxAttempts = 3

/** Budgets whose rate of requests is kept. */
const maxBudgets = 10_000

export class BudgetRoutes implements BudgetService {
  readonly #options: BudgetRoutesOptions
  readonly #demands = new LRUCache<string, BudgetDemand>({ max: maxBudgets })
  readonly #homes = new Map<number, Homes>()
  #shards: Promise<number | undefined> | undefined

  constructor (options: BudgetRoutesOptions) {
    this.#options = options
    options.membership.subscribe(() => { this.#homes.clear() })
  }

  /** Number of shards of the layout; `undefined` while the platform does not answer. */
  async shardCount (): Promise<number | undefined> {
    this.#shards ??= ensureBudgetLayout(this.#options.store, this.#options.shards).then(layout => layout.isOk() ? layout.value.shards : undefined)
    const shards = await this.#shards
    if (shards === undefined) this.#shards = undefined
    return shards
  }

  async reserve (budget: string, tokens: number, deadlineMs: number): Promise<Result<HeldReservation, Failure>> {
    const shards = await this.shardCount()
    if (shards === undefined) return fail(notRun, 'budgetUnavailable', 'the platform does not answer', this.#options.limits.recallMs)
    const answer = await this.#ask(shardOf(budget, shards), budget, tokens, this.#nowMs() + deadlineMs)
    switch (answer.kind) {
      case 'reserved': return Ok({ reservation: answer.reservation, settledSeq: answer.settledSeq })
      case 'exhausted': return fail(notRun, 'budgetExhausted', 'the budget does not cover the request', answer.retryAfterMs)
      case 'unavailable': return fail(notRun, 'budgetUnavailable', 'the budget cannot be checked now', answer.retryAfterMs)
    }
  }

  settle (budget: string, reservation: Reservation, tokens: number): void {
    if (reservation.holder === this.#options.home.holder) {
      this.#options.home.settle({ items: [{ budget, reservation, tokens }] }).catch(() => {})
      return
    }
    this.#options.settlements.add(budget, reservation, tokens)
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  async #ask (shard: number, budget: string, tokens: number, deadlineAtMs: number): Promise<ReserveItemOutput> {
    const demand = this.#demandOf(budget)
    demand.requests.add(1, this.#nowMs())
    const asked = new Set<string>()
    let last: ReserveItemOutput = { kind: 'unavailable', retryAfterMs: this.#options.limits.recallMs }
    for (let attempt = 0; attempt < maxAttempts && this.#nowMs() < deadlineAtMs; attempt++) {
      const peer = this.#nextPeer(shard, demand, asked)
      if (peer === undefined) return last
      asked.add(peer.id)
      const answer = await this.#askOne(peer, shard, budget, tokens, deadlineAtMs)
      if (answer?.kind === 'reserved') return answer
      // A domain's home that has no more tokens sends the request on to where the rest is.
      if (answer?.kind === 'exhausted') demand.tightUntilMs = this.#nowMs() + this.#options.limits.scarcityMs
      if (answer?.kind === 'exhausted' && this.#homesOf(shard).collector === peer.id) return answer
      last = answer ?? last
    }
    return last
  }

  /** Rejected calls leave it open whether tokens were reserved; the holder counts them wholly after `orphanMs`. */
  async #askOne (peer: Member, shard: number, budget: string, tokens: number, deadlineAtMs: number): Promise<ReserveItemOutput | undefined> {
    const { membership, home, peers } = this.#options
    if (peer.id === membership.self.id || peers === undefined) return home.reserveHere(shard, budget, tokens, deadlineAtMs - this.#nowMs())
    try {
      const answer = await peers.reserve(peer, shard, budget, tokens)
      membership.noteAlive(peer.id)
      return answer
    } catch {
      membership.noteUnreachable(peer.id)
      this.#homes.clear()
      return undefined
    }
  }

  #nextPeer (shard: number, demand: BudgetDemand, asked: ReadonlySet<string>): Member | undefined {
    const { membership, peers } = this.#options
    if (peers === undefined) return asked.size === 0 ? membership.self : undefined
    const nowMs = this.#nowMs()
    const routes = selectRouters({
      homes: this.#homesOf(shard, asked),
      requestsPerSecond: demand.requests.tokensPerSecond(nowMs),
      domainRouters: membership.routers({ failureDomain: membership.self.failureDomain, isReachable: true }).length,
      isTight: nowMs < demand.tightUntilMs
    })
    const id = routes.find(route => !asked.has(route))
    return membership.routers().find(router => router.id === id)
  }

  /** Homes without the routers asked before: one that drains or does not answer may still be registered. */
  #homesOf (shard: number, asked: ReadonlySet<string> = new Set()): Homes {
    const present = this.#homes.get(shard)
    if (present !== undefined && asked.size === 0) return present
    const { membership } = this.#options
    const routers = membership.routers({ isReachable: true }).filter(router => !router.leaving && !asked.has(router.id))
    const homes = homesOf(shard, membership.self.failureDomain, routers)
    if (asked.size === 0) this.#homes.set(shard, homes)
    return homes
  }

  #demandOf (budget: string): BudgetDemand {
    const present = this.#demands.get(budget)
    if (present !== undefined) return present
    const demand = { requests: new SpendRate(this.#options.limits.rateWindowMs), tightUntilMs: 0 }
    this.#demands.set(budget, demand)
    return demand
  }
}
