/** Reserves tokens for the caller path at the home router of a budget's shard, and settles with the holder of the reservation. */
import { LRUCache } from 'lru-cache'
import { Ok, type Result } from 'ts-results-es'
import type { TimerService } from '@buckthorndrift/kernel'
import { fail, homesOf, notRun, selectRouters, shardOf, SpendRate, type BudgetLimits, type Failure, type Homes } from '@buckthorndrift/policy'
import { ensureBudgetLayout, type Membership, type ObjectStore } from '@buckthorndrift/coordination'
import type { Member, Reservation, ReserveItemOutput } from '@buckthorndrift/protocol'
import type { BudgetService, HeldReservation } from '../../shared/services.ts'
import type { LocalHolders } from './localHolders.ts'
import type { PeerBudgetClient } from './peerBudgetClient.ts'
import type { SettlementQueue } from './settlementQueue.ts'

export interface BudgetClientOptions {
  readonly store: ObjectStore
  readonly membership: Membership
  readonly timers: TimerService
  readonly limits: BudgetLimits
  readonly localHolders: LocalHolders
  readonly settlementQueue: SettlementQueue
  readonly peerClient: PeerBudgetClient | undefined
  /** Number of shards if the layout has to be created. */
  readonly initialShardCount: number | undefined
}

/** Requests of this router for one budget. */
interface BudgetTraffic {
  /** Rate of requests, measured with a `SpendRate` to which each request adds 1. */
  readonly requestRate: SpendRate
  /** Monotonic time in ms until which the budget counts as scarce, because a home router refused a reservation as exhausted. */
  scarceUntilMs: number
}

/** Maximum number of routers that are tried for one reservation. */
const maxAttempts = 3

/** Maximum number of budgets whose traffic is tracked. */
const maxTrackedBudgets = 10_000

/** The `BudgetService` of a router. */
export class BudgetClient implements BudgetService {
  readonly #options: BudgetClientOptions
  readonly #trafficByBudget = new LRUCache<string, BudgetTraffic>({ max: maxTrackedBudgets })
  readonly #homesByShard = new Map<number, Homes>()
  #shardCount: Promise<number | undefined> | undefined

  constructor (options: BudgetClientOptions) {
    this.#options = options
    options.membership.subscribe(() => { this.#homesByShard.clear() })
  }

  /** Number of shards of the layout; `undefined` if the platform does not answer. */
  async shardCount (): Promise<number | undefined> {
    this.#shardCount ??= ensureBudgetLayout(this.#options.store, this.#options.initialShardCount).then(layout => layout.isOk() ? layout.value.shards : undefined)
    const shards = await this.#shardCount
    if (shards === undefined) this.#shardCount = undefined
    return shards
  }

  async reserve (budget: string, tokens: number, timeoutMs: number): Promise<Result<HeldReservation, Failure>> {
    const shards = await this.shardCount()
    if (shards === undefined) return fail(notRun, 'budgetUnavailable', 'the platform does not answer', this.#options.limits.recallMs)
    const answer = await this.#reserveAtHomes(shardOf(budget, shards), budget, tokens, this.#nowMs() + timeoutMs)
    switch (answer.kind) {
      case 'reserved': return Ok({ reservation: answer.reservation, settledSeq: answer.settledSeq })
      case 'exhausted': return fail(notRun, 'budgetExhausted', 'the budget does not cover the request', answer.retryAfterMs)
      case 'unavailable': return fail(notRun, 'budgetUnavailable', 'the budget cannot be checked now', answer.retryAfterMs)
    }
  }

  settle (budget: string, reservation: Reservation, tokens: number): void {
    if (reservation.holder === this.#options.localHolders.holder) {
      this.#options.localHolders.settle({ items: [{ budget, reservation, tokens }] }).catch(() => {})
      return
    }
    this.#options.settlementQueue.add(budget, reservation, tokens)
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  async #reserveAtHomes (shard: number, budget: string, tokens: number, deadlineAtMs: number): Promise<ReserveItemOutput> {
    const traffic = this.#trafficOf(budget)
    traffic.requestRate.add(1, this.#nowMs())
    const triedIds = new Set<string>()
    let lastAnswer: ReserveItemOutput = { kind: 'unavailable', retryAfterMs: this.#options.limits.recallMs }
    for (let attempt = 0; attempt < maxAttempts && this.#nowMs() < deadlineAtMs; attempt++) {
      const peer = this.#nextPeer(shard, traffic, triedIds)
      if (peer === undefined) return lastAnswer
      triedIds.add(peer.id)
      const answer = await this.#reserveAt(peer, shard, budget, tokens, deadlineAtMs)
      if (answer?.kind === 'reserved') return answer
      // If the home router of this failure domain has no tokens left, the shard's collector (its home router for the whole fleet) may still have some.
      // An exhausted collector is final.
      if (answer?.kind === 'exhausted') traffic.scarceUntilMs = this.#nowMs() + this.#options.limits.scarcityMs
      if (answer?.kind === 'exhausted' && this.#homesOf(shard).collector === peer.id) return answer
      lastAnswer = answer ?? lastAnswer
    }
    return lastAnswer
  }

  /**
   * Reserves at one router; `undefined` if the call fails. A failed call may have
   * reserved tokens nevertheless. The router that holds them then counts them as
   * spent after `orphanMs`, because nobody settles that reservation.
   */
  async #reserveAt (peer: Member, shard: number, budget: string, tokens: number, deadlineAtMs: number): Promise<ReserveItemOutput | undefined> {
    const { membership, localHolders, peerClient } = this.#options
    if (peer.id === membership.self.id || peerClient === undefined) return localHolders.reserveLocally(shard, budget, tokens, deadlineAtMs - this.#nowMs())
    try {
      const answer = await peerClient.reserve(peer, shard, budget, tokens)
      membership.noteAlive(peer.id)
      return answer
    } catch {
      membership.noteUnreachable(peer.id)
      this.#homesByShard.clear()
      return undefined
    }
  }

  #nextPeer (shard: number, traffic: BudgetTraffic, triedIds: ReadonlySet<string>): Member | undefined {
    const { membership, peerClient } = this.#options
    if (peerClient === undefined) return triedIds.size === 0 ? membership.self : undefined
    const nowMs = this.#nowMs()
    const candidates = selectRouters({
      homes: this.#homesOf(shard, triedIds),
      requestsPerSecond: traffic.requestRate.tokensPerSecond(nowMs),
      domainRouterCount: membership.routers({ failureDomain: membership.self.failureDomain, isReachable: true }).length,
      isScarce: nowMs < traffic.scarceUntilMs
    })
    const id = candidates.find(candidate => !triedIds.has(candidate))
    return membership.routers().find(router => router.id === id)
  }

  /** Chooses the home routers of a shard. Routers in `triedIds` are left out, because a router that drains or does not answer may still be registered. */
  #homesOf (shard: number, triedIds: ReadonlySet<string> = new Set()): Homes {
    const cached = this.#homesByShard.get(shard)
    if (cached !== undefined && triedIds.size === 0) return cached
    const { membership } = this.#options
    const routers = membership.routers({ isReachable: true }).filter(router => !router.leaving && !triedIds.has(router.id))
    const homes = homesOf(shard, membership.self.failureDomain, routers)
    if (triedIds.size === 0) this.#homesByShard.set(shard, homes)
    return homes
  }

  #trafficOf (budget: string): BudgetTraffic {
    const cached = this.#trafficByBudget.get(budget)
    if (cached !== undefined) return cached
    const traffic = { requestRate: new SpendRate(this.#options.limits.rateWindowMs), scarceUntilMs: 0 }
    this.#trafficByBudget.set(budget, traffic)
    return traffic
  }
}
