/** Budget ledger on the simulated fleet, with the shard holders, placement and reclaim of @buckthorndrift/policy. */
import {
  defaultReclaimLimits, HolderReclaim, holdersOf, homesOf, rankCandidates, selectRouters, ShardHolder, shardOf, SpendRate,
  type BudgetLimits, type FenceEntry, type HolderEffect, type Homes, type ReclaimEffect, type ReserveAnswer
} from '@buckthorndrift/policy'
import type { FleetModel, RouterNode, RunningRequest } from './fleetModel.ts'
import type { BudgetPolicy, Reservation } from './simulate.ts'

const tickMs = 100
/** Timeout of control calls. After a timeout the caller suspects the called router for `suspicionMs`. */
const callTimeoutMs = 500
const suspicionMs = 5000
/** Delay before a deregistered holder's slices are reclaimed by the responsible router, which ranks first among the reachable routers for this holder. */
const reclaimDelayMs = 3000
/** Delay after which any router may reclaim these slices, in case the responsible router has not done so. */
const anyRouterReclaimDelayMs = 10_000
const maxReservationAttempts = 3

/** Demand for one budget as seen by one router. */
interface Demand {
  readonly requestRate: SpendRate
  /** Until this time the budget is treated as nearly exhausted. Reservations then go first to the collector, the router that recalls the slices of the others. */
  scarceUntilMs: number
}

/** Ledger state of one router. */
class LedgerRouter {
  readonly node: RouterNode
  /** Shard holders of this router, by shard number. */
  readonly holders = new Map<number, ShardHolder>()
  /** Time until which this router suspects another one of being unreachable, by the id of the other router. */
  readonly suspectedUntilMs = new Map<string, number>()
  readonly demands = new Map<string, Demand>()
  readonly cachedHomes = new Map<number, { readonly homes: Homes, readonly untilMs: number }>()
  /** Deregistered holders whose slices this router has already looked for in all shards. */
  readonly scannedHolders = new Set<string>()
  readonly reclaims = new Map<string, { readonly reclaim: HolderReclaim, readonly sinceMs: number }>()
  /** Deregistered holders found to have slices, with the shards of these slices. */
  readonly lostHolders = new Map<string, { sinceMs: number, readonly shards: Set<number> }>()

  constructor (node: RouterNode) {
    this.node = node
  }
}

export class LedgerPolicy implements BudgetPolicy {
  readonly #fleet: FleetModel
  readonly #limits: BudgetLimits
  readonly #routers: ReadonlyMap<string, LedgerRouter>
  readonly #pendingReservations = new Map<number, (answer: ReserveAnswer) => void>()
  readonly #pendingRecalls = new Map<number, () => void>()
  #lastId = 0

  constructor (fleet: FleetModel, limits: BudgetLimits) {
    this.#fleet = fleet
    this.#limits = limits
    this.#routers = new Map(fleet.nodes.map(node => [node.id, new LedgerRouter(node)]))
    let offsetMs = 0
    for (const router of this.#routers.values()) fleet.events.after(offsetMs++ % tickMs, () => { this.#tick(router) })
  }

  reserve (node: RouterNode, budget: string, tokens: number, done: (reservation: Reservation | undefined) => void): void {
    const router = this.#router(node.id)
    const demand = router.demands.get(budget) ?? { requestRate: new SpendRate(this.#limits.rateWindowMs), scarceUntilMs: 0 }
    router.demands.set(budget, demand)
    demand.requestRate.add(1, this.#nowMs)
    this.#tryNextRouter(router, demand, budget, tokens, new Set(), done)
  }

  settle (node: RouterNode, request: RunningRequest): void {
    const home = this.#router(request.holder)
    this.#send(this.#router(node.id), home, () => {
      const holder = home.holders.get(request.entry.shard)
      if (holder !== undefined) this.#applyEffects(home, request.entry.shard, holder.settle(request.budget, request.entry.seq, request.tokens, this.#nowMs))
    }, () => {
      // The router keeps an undelivered settlement and sends it again.
      this.#fleet.events.after(callTimeoutMs, () => { this.settle(node, request) })
    })
  }

  strandedTokens (crashed: RouterNode): number {
    let tokens = 0
    for (let shard = 0; shard < this.#fleet.options.shards; shard++) {
      for (const entry of this.#fleet.currentShard(shard).budgets.values()) {
        tokens += entry.slices.filter(slice => slice.holder === crashed.id).reduce((sum, slice) => sum + slice.capTokens, 0)
      }
    }
    const requests = [...this.#fleet.requestsByHolder.get(crashed.id)?.values() ?? []]
    return Math.max(0, tokens - requests.reduce((sum, { isSettled, tokens: spent, reservedTokens }) => sum + (isSettled ? spent : reservedTokens), 0))
  }

  get #nowMs (): number {
    return this.#fleet.events.nowMs
  }

  #router (id: string): LedgerRouter {
    const router = this.#routers.get(id)
    if (router === undefined) throw new Error(`router ${id} does not exist`)
    return router
  }

  /** Delivers a message after the network delay. If the receiver cannot be reached, the call times out and the sender suspects the receiver. */
  #send (from: LedgerRouter, to: LedgerRouter, deliver: () => void, onFailure: () => void): void {
    if (from === to) return deliver()
    const isUnreachable = !this.#fleet.canReach(from.node, to.node)
    if (!isUnreachable) {
      this.#fleet.events.after(this.#fleet.delayMs(from.node, to.node), deliver)
      return
    }
    this.#fleet.events.after(callTimeoutMs, () => {
      from.suspectedUntilMs.set(to.node.id, this.#nowMs + suspicionMs)
      from.cachedHomes.clear()
      onFailure()
    })
  }

  #homesOf (router: LedgerRouter, shard: number): Homes {
    const cached = router.cachedHomes.get(shard)
    if (cached !== undefined && cached.untilMs > this.#nowMs) return cached.homes
    const reachable = this.#fleet.nodes.filter(({ id }) => !this.#fleet.deregisteredIds.has(id) && (router.suspectedUntilMs.get(id) ?? 0) <= this.#nowMs)
    const homes = homesOf(shard, router.node.failureDomain, reachable)
    router.cachedHomes.set(shard, { homes, untilMs: this.#nowMs + 1000 })
    return homes
  }

  #tryNextRouter (router: LedgerRouter, demand: Demand, budget: string, tokens: number, triedIds: Set<string>, done: (reservation: Reservation | undefined) => void): void {
    const shard = shardOf(budget, this.#fleet.options.shards)
    const homes = this.#homesOf(router, shard)
    const domainRouters = this.#fleet.options.routers / this.#fleet.options.failureDomains
    const routes = selectRouters({ homes, requestsPerSecond: demand.requestRate.tokensPerSecond(this.#nowMs), domainRouterCount: domainRouters, isScarce: this.#nowMs < demand.scarceUntilMs })
    const id = routes.find(route => !triedIds.has(route))
    if (id === undefined || triedIds.size >= maxReservationAttempts) return done(undefined)
    triedIds.add(id)
    const home = this.#router(id)
    const tryNext = () => { this.#tryNextRouter(router, demand, budget, tokens, triedIds, done) }
    this.#send(router, home, () => {
      this.#reserveAt(home, shard, budget, tokens, answer => {
        const handleAnswer = () => {
          if (answer.kind === 'reserved') return done({ holder: id, shard, seq: answer.seq })
          if (answer.kind === 'exhausted') demand.scarceUntilMs = this.#nowMs + this.#limits.scarcityMs
          if (answer.kind === 'exhausted' && homes.collector === id) return done(undefined)
          tryNext()
        }
        if (home === router) handleAnswer()
        else this.#fleet.events.after(this.#fleet.delayMs(router.node, home.node), handleAnswer)
      })
    }, tryNext)
  }

  #reserveAt (home: LedgerRouter, shard: number, budget: string, tokens: number, done: (answer: ReserveAnswer) => void): void {
    const id = ++this.#lastId
    this.#pendingReservations.set(id, done)
    const holder = home.holders.get(shard) ?? new ShardHolder({ holder: home.node.id, limits: this.#limits, nowMs: this.#nowMs })
    home.holders.set(shard, holder)
    holder.setCollector(this.#homesOf(home, shard).collector === home.node.id)
    this.#applyEffects(home, shard, holder.reserve(id, budget, tokens, this.#nowMs))
  }

  #applyEffects (router: LedgerRouter, shard: number, effects: readonly HolderEffect[]): void {
    if (this.#fleet.crashedIds.has(router.node.id)) return
    for (const effect of effects) this.#applyEffect(router, shard, effect)
  }

  #applyEffect (router: LedgerRouter, shard: number, effect: HolderEffect): void {
    const holder = router.holders.get(shard)
    if (holder === undefined) return
    switch (effect.kind) {
      case 'read':
        return this.#fleet.read(shard, outcome => { this.#applyEffects(router, shard, holder.readDone(outcome, this.#nowMs)) })
      case 'write':
        return this.#fleet.write(shard, effect.value, effect.expectedVersion, outcome => { this.#applyEffects(router, shard, holder.writeDone(outcome, this.#nowMs)) })
      case 'recall':
        return this.#recall(router, shard, effect.holders, effect.budgets)
      case 'answer':
        this.#pendingReservations.get(effect.id)?.(effect.answer)
        this.#pendingReservations.delete(effect.id)
        return
      case 'recalled':
        this.#pendingRecalls.get(effect.id)?.()
        this.#pendingRecalls.delete(effect.id)
        return
      case 'holdersSeen':
        return this.#recordLostHolders(router, shard, effect.holders)
      case 'invariant':
        throw new Error(effect.detail)
      case 'fenced':
      case 'orphan':
    }
  }

  #recall (router: LedgerRouter, shard: number, holders: readonly string[], budgets: readonly string[]): void {
    let pendingCount = holders.length
    let areAllAnswered = true
    const finish = (isAnswered: boolean) => {
      pendingCount -= 1
      areAllAnswered &&= isAnswered
      if (pendingCount === 0) this.#applyEffects(router, shard, router.holders.get(shard)?.recallDone(budgets, areAllAnswered, this.#nowMs) ?? [])
    }
    for (const id of holders) {
      const peer = this.#router(id)
      const isSuspected = this.#fleet.deregisteredIds.has(id) || (router.suspectedUntilMs.get(id) ?? 0) > this.#nowMs
      if (isSuspected) {
        // `finish` is deferred, because it applies further effects while those that contain this recall are still being applied.
        this.#fleet.events.after(0, () => { finish(false) })
        continue
      }
      this.#send(router, peer, () => {
        const recallId = ++this.#lastId
        this.#pendingRecalls.set(recallId, () => { this.#fleet.events.after(this.#fleet.delayMs(router.node, peer.node), () => { finish(true) }) })
        this.#applyEffects(peer, shard, peer.holders.get(shard)?.recall(recallId, budgets, this.#nowMs) ?? [{ kind: 'recalled', id: recallId }])
      }, () => { finish(false) })
    }
  }

  #tick (router: LedgerRouter): void {
    if (this.#fleet.crashedIds.has(router.node.id)) return
    for (const [shard, holder] of router.holders) {
      holder.setCollector(this.#homesOf(router, shard).collector === router.node.id)
      this.#applyEffects(router, shard, holder.tick(this.#nowMs))
    }
    this.#scanDeregisteredHolders(router)
    for (const [holder, lost] of router.lostHolders) this.#reclaimIfDue(router, holder, lost)
    for (const { reclaim } of router.reclaims.values()) this.#applyReclaimEffects(router, reclaim, reclaim.tick(this.#nowMs))
    this.#fleet.events.after(tickMs, () => { this.#tick(router) })
  }

  /** If this router is responsible for a deregistered holder, it looks for the holder's slices in all shards. */
  #scanDeregisteredHolders (router: LedgerRouter): void {
    for (const holder of this.#fleet.deregisteredIds) {
      if (router.scannedHolders.has(holder) || !this.#isResponsibleFor(router, holder)) continue
      router.scannedHolders.add(holder)
      for (let shard = 0; shard < this.#fleet.options.shards; shard++) {
        this.#fleet.read(shard, outcome => {
          if (outcome.kind === 'read' && holdersOf(outcome.shard).has(holder)) this.#recordLostHolders(router, shard, [holder])
        })
      }
    }
  }

  #isResponsibleFor (router: LedgerRouter, holder: string): boolean {
    const reachable = this.#fleet.nodes.filter(({ id }) => !this.#fleet.deregisteredIds.has(id) && (router.suspectedUntilMs.get(id) ?? 0) <= this.#nowMs)
    return rankCandidates(holder, reachable.map(({ id }) => id))[0] === router.node.id
  }

  #recordLostHolders (router: LedgerRouter, shard: number, holders: readonly string[]): void {
    for (const holder of holders) {
      if (!this.#fleet.deregisteredIds.has(holder)) continue
      const lost = router.lostHolders.get(holder) ?? { sinceMs: this.#nowMs, shards: new Set<number>() }
      lost.shards.add(shard)
      router.lostHolders.set(holder, lost)
    }
  }

  #reclaimIfDue (router: LedgerRouter, holder: string, lost: { readonly sinceMs: number, readonly shards: ReadonlySet<number> }): void {
    if (router.reclaims.has(holder) || this.#nowMs - lost.sinceMs < reclaimDelayMs) return
    if (!this.#isResponsibleFor(router, holder) && this.#nowMs - lost.sinceMs < anyRouterReclaimDelayMs) return
    const reclaim = new HolderReclaim({ holder, shards: this.#fleet.options.shards, limits: defaultReclaimLimits, nowMs: this.#nowMs, firstShards: [...lost.shards] })
    router.reclaims.set(holder, { reclaim, sinceMs: this.#nowMs })
    this.#applyReclaimEffects(router, reclaim, reclaim.start())
  }

  #applyReclaimEffects (router: LedgerRouter, reclaim: HolderReclaim, effects: readonly ReclaimEffect[]): void {
    const proceed = (next: readonly ReclaimEffect[]) => { this.#applyReclaimEffects(router, reclaim, next) }
    for (const effect of effects) {
      switch (effect.kind) {
        case 'addFence':
          this.#fleet.writes += 1
          this.#fleet.events.after(6, () => { proceed(reclaim.fenceDone(true, this.#nowMs)) })
          break
        case 'readRegistry': {
          this.#fleet.reads += 1
          const domains = [...new Set(this.#fleet.nodes.map(node => node.failureDomain))]
          const endpoints = domains.map(id => ({ id, incarnation: 'a', vm: id }))
          this.#fleet.events.after(6, () => {
            proceed(reclaim.registryDone({ endpoints, liveVms: new Set(domains), handovers: [], hasLostEndpoint: false }, this.#nowMs))
          })
          break
        }
        case 'ask':
          this.#queryEndpoint(router, reclaim, effect.endpoint.id, proceed)
          break
        case 'readShard':
          this.#fleet.read(effect.shard, outcome => { proceed(reclaim.readDone(outcome, this.#nowMs)) })
          break
        case 'writeShard':
          this.#fleet.write(effect.shard, effect.value, effect.expectedVersion, outcome => { proceed(reclaim.writeDone(outcome, this.#nowMs)) })
          break
        case 'invariant':
          throw new Error(effect.detail)
        case 'forget':
        case 'closed':
        case 'done':
      }
    }
  }

  /** Fences the holder at an endpoint. The model has one endpoint per failure domain, which remembers all requests there. */
  #queryEndpoint (router: LedgerRouter, reclaim: HolderReclaim, endpoint: string, proceed: (effects: readonly ReclaimEffect[]) => void): void {
    const node = this.#fleet.nodes.find(({ failureDomain }) => failureDomain === endpoint)
    if (node === undefined || (this.#fleet.isPartitioned && node.region !== router.node.region)) return
    this.#fleet.events.after(2 * this.#fleet.delayMs(router.node, node), () => {
      const entries = [...this.#fleet.requestsByHolder.get(reclaim.holder)?.values() ?? []]
        .filter(({ endpointDomain }) => endpointDomain === endpoint)
        .map(({ entry, isSettled, tokens }): FenceEntry => (isSettled ? { ...entry, state: 'settled', tokens } : entry))
      proceed(reclaim.answerDone(endpoint, 'a', entries, this.#nowMs))
    })
  }
}
