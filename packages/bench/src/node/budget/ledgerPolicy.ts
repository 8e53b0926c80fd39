/** The chosen policy: the real holders, placement and reclaim on the simulated fleet. */
import {
  defaultReclaimLimits, HolderReclaim, holdersOf, homesOf, rankCandidates, selectRouters, ShardHolder, shardOf, SpendRate,
  type BudgetLimits, type FenceEntry, type HolderEffect, type Homes, type ReclaimEffect, type ReserveAnswer
} from '@buckthorndrift/policy'
import type { FleetModel, Place, RunningRequest } from './fleetModel.ts'
import type { BudgetPolicy, Reserved } from './simulate.ts'

const tickMs = 100
/** A control call without an answer fails after this time, and its router is suspected for `suspectMs`. */
const callTimeoutMs = 500
const suspectMs = 5000
const lostAfterMs = 3000
const anyoneAfterMs = 10_000
const maxAttempts = 3

interface Demand {
  readonly requests: SpendRate
  tightUntilMs: number
}

class LedgerRouter {
  readonly place: Place
  readonly holders = new Map<number, ShardHolder>()
  readonly suspected = new Map<string, number>()
  readonly demands = new Map<string, Demand>()
  readonly homes = new Map<number, { readonly homes: Homes, readonly untilMs: number }>()
  readonly scanned = new Set<string>()
  readonly reclaims = new Map<string, { readonly reclaim: HolderReclaim, readonly sinceMs: number }>()
  readonly lost = new Map<string, { sinceMs: number, readonly shards: Set<number> }>()

  constructor (place: Place) {
    this.place = place
  }
}

export class LedgerPolicy implements BudgetPolicy {
  readonly #fleet: FleetModel
  readonly #limits: BudgetLimits
  readonly #routers: ReadonlyMap<string, LedgerRouter>
  readonly #answers = new Map<number, (answer: ReserveAnswer) => void>()
  readonly #recalls = new Map<number, () => void>()
  #lastId = 0

  constructor (fleet: FleetModel, limits: BudgetLimits) {
    this.#fleet = fleet
    this.#limits = limits
    this.#routers = new Map(fleet.places.map(place => [place.id, new LedgerRouter(place)]))
    let offsetMs = 0
    for (const router of this.#routers.values()) fleet.events.after(offsetMs++ % tickMs, () => { this.#tick(router) })
  }

  reserve (place: Place, budget: string, tokens: number, done: (reserved: Reserved | undefined) => void): void {
    const router = this.#router(place.id)
    const demand = router.demands.get(budget) ?? { requests: new SpendRate(this.#limits.rateWindowMs), tightUntilMs: 0 }
    router.demands.set(budget, demand)
    demand.requests.add(1, this.#nowMs)
    this.#ask(router, demand, budget, tokens, new Set(), done)
  }

  settle (place: Place, request: RunningRequest): void {
    const home = this.#router(request.holder)
    this.#send(this.#router(place.id), home, () => {
      const holder = home.holders.get(request.entry.shard)
      if (holder !== undefined) this.#carryOut(home, request.entry.shard, holder.settle(request.budget, request.entry.seq, request.tokens, this.#nowMs))
    }, () => {
      // The router keeps the settlement and sends it again.
      this.#fleet.events.after(callTimeoutMs, () => { this.settle(place, request) })
    })
  }

  strandedTokens (dead: Place): number {
    let tokens = 0
    for (let shard = 0; shard < this.#fleet.options.shards; shard++) {
      for (const entry of this.#fleet.shard(shard).budgets.values()) {
        tokens += entry.slices.filter(slice => slice.holder === dead.id).reduce((sum, slice) => sum + slice.capTokens, 0)
      }
    }
    const used = [...this.#fleet.entries.get(dead.id)?.values() ?? []]
    return Math.max(0, tokens - used.reduce((sum, { isSettled, tokens: spent, reservedTokens }) => sum + (isSettled ? spent : reservedTokens), 0))
  }

  get #nowMs (): number {
    return this.#fleet.events.nowMs
  }

  #router (id: string): LedgerRouter {
    const router = this.#routers.get(id)
    if (router === undefined) throw new Error(`no router ${id}`)
    return router
  }

  /** Sends one message, which is lost and its receiver suspected when it cannot be reached. */
  #send (from: LedgerRouter, to: LedgerRouter, deliver: () => void, onFailure: () => void): void {
    if (from === to) return deliver()
    const isLost = !this.#fleet.canReach(from.place, to.place)
    if (!isLost) {
      this.#fleet.events.after(this.#fleet.delayMs(from.place, to.place), deliver)
      return
    }
    this.#fleet.events.after(callTimeoutMs, () => {
      from.suspected.set(to.place.id, this.#nowMs + suspectMs)
      from.homes.clear()
      onFailure()
    })
  }

  #homesOf (router: LedgerRouter, shard: number): Homes {
    const known = router.homes.get(shard)
    if (known !== undefined && known.untilMs > this.#nowMs) return known.homes
    const reachable = this.#fleet.places.filter(({ id }) => !this.#fleet.unregistered.has(id) && (router.suspected.get(id) ?? 0) <= this.#nowMs)
    const homes = homesOf(shard, router.place.failureDomain, reachable)
    router.homes.set(shard, { homes, untilMs: this.#nowMs + 1000 })
    return homes
  }

  #ask (router: LedgerRouter, demand: Demand, budget: string, tokens: number, asked: Set<string>, done: (reserved: Reserved | undefined) => void): void {
    const shard = shardOf(budget, this.#fleet.options.shards)
    const homes = this.#homesOf(router, shard)
    const domainRouters = this.#fleet.options.routers / this.#fleet.options.failureDomains
    const routes = selectRouters({ homes, requestsPerSecond: demand.requests.tokensPerSecond(this.#nowMs), domainRouters, isTight: this.#nowMs < demand.tightUntilMs })
    const id = routes.find(route => !asked.has(route))
    if (id === undefined || asked.size >= maxAttempts) return done(undefined)
    asked.add(id)
    const home = this.#router(id)
    const askNext = () => { this.#ask(router, demand, budget, tokens, asked, done) }
    this.#send(router, home, () => {
      this.#reserveAt(home, shard, budget, tokens, answer => {
        const back = () => {
          if (answer.kind === 'reserved') return done({ holder: id, shard, seq: answer.seq })
          if (answer.kind === 'exhausted') demand.tightUntilMs = this.#nowMs + this.#limits.scarcityMs
          if (answer.kind === 'exhausted' && homes.collector === id) return done(undefined)
          askNext()
        }
        if (home === router) back()
        else this.#fleet.events.after(this.#fleet.delayMs(router.place, home.place), back)
      })
    }, askNext)
  }

  #reserveAt (home: LedgerRouter, shard: number, budget: string, tokens: number, done: (answer: ReserveAnswer) => void): void {
    const id = ++this.#lastId
    this.#answers.set(id, done)
    const holder = home.holders.get(shard) ?? new ShardHolder({ holder: home.place.id, limits: this.#limits, nowMs: this.#nowMs })
    home.holders.set(shard, holder)
    holder.setCollector(this.#homesOf(home, shard).collector === home.place.id)
    this.#carryOut(home, shard, holder.reserve(id, budget, tokens, this.#nowMs))
  }

  #carryOut (router: LedgerRouter, shard: number, effects: readonly HolderEffect[]): void {
    if (this.#fleet.dead.has(router.place.id)) return
    for (const effect of effects) this.#carryOutOne(router, shard, effect)
  }

  #carryOutOne (router: LedgerRouter, shard: number, effect: HolderEffect): void {
    const holder = router.holders.get(shard)
    if (holder === undefined) return
    switch (effect.kind) {
      case 'read':
        return this.#fleet.read(shard, outcome => { this.#carryOut(router, shard, holder.readDone(outcome, this.#nowMs)) })
      case 'write':
        return this.#fleet.write(shard, effect.value, effect.expectedVersion, outcome => { this.#carryOut(router, shard, holder.writeDone(outcome, this.#nowMs)) })
      case 'recall':
        return this.#recall(router, shard, effect.holders, effect.budgets)
      case 'answer':
        this.#answers.get(effect.id)?.(effect.answer)
        this.#answers.delete(effect.id)
        return
      case 'recalled':
        this.#recalls.get(effect.id)?.()
        this.#recalls.delete(effect.id)
        return
      case 'holdersSeen':
        return this.#noteHolders(router, shard, effect.holders)
      case 'invariant':
        throw new Error(effect.detail)
      case 'fenced':
      case 'orphan':
    }
  }

  #recall (router: LedgerRouter, shard: number, holders: readonly string[], budgets: readonly string[]): void {
    let open = holders.length
    let areAllAnswered = true
    const finish = (isAnswered: boolean) => {
      open -= 1
      areAllAnswered &&= isAnswered
      if (open === 0) this.#carryOut(router, shard, router.holders.get(shard)?.recallDone(budgets, areAllAnswered, this.#nowMs) ?? [])
    }
    for (const id of holders) {
      const peer = this.#router(id)
      const isSuspected = this.#fleet.unregistered.has(id) || (router.suspected.get(id) ?? 0) > this.#nowMs
      if (isSuspected) {
        // Later, because the holder that asked is still carrying out its effects.
        this.#fleet.events.after(0, () => { finish(false) })
        continue
      }
      this.#send(router, peer, () => {
        const recallId = ++this.#lastId
        this.#recalls.set(recallId, () => { this.#fleet.events.after(this.#fleet.delayMs(router.place, peer.place), () => { finish(true) }) })
        this.#carryOut(peer, shard, peer.holders.get(shard)?.recall(recallId, budgets, this.#nowMs) ?? [{ kind: 'recalled', id: recallId }])
      }, () => { finish(false) })
    }
  }

  #tick (router: LedgerRouter): void {
    if (this.#fleet.dead.has(router.place.id)) return
    for (const [shard, holder] of router.holders) {
      holder.setCollector(this.#homesOf(router, shard).collector === router.place.id)
      this.#carryOut(router, shard, holder.tick(this.#nowMs))
    }
    this.#scanVanished(router)
    for (const [holder, lost] of router.lost) this.#reclaimIfDue(router, holder, lost)
    for (const { reclaim } of router.reclaims.values()) this.#carryOutReclaim(router, reclaim, reclaim.tick(this.#nowMs))
    this.#fleet.events.after(tickMs, () => { this.#tick(router) })
  }

  /** The router whose duty a vanished holder is looks for its slices in all shards. */
  #scanVanished (router: LedgerRouter): void {
    for (const holder of this.#fleet.unregistered) {
      if (router.scanned.has(holder) || !this.#isOwnDuty(router, holder)) continue
      router.scanned.add(holder)
      for (let shard = 0; shard < this.#fleet.options.shards; shard++) {
        this.#fleet.read(shard, outcome => {
          if (outcome.kind === 'read' && holdersOf(outcome.shard).has(holder)) this.#noteHolders(router, shard, [holder])
        })
      }
    }
  }

  #isOwnDuty (router: LedgerRouter, holder: string): boolean {
    const reachable = this.#fleet.places.filter(({ id }) => !this.#fleet.unregistered.has(id) && (router.suspected.get(id) ?? 0) <= this.#nowMs)
    return rankCandidates(holder, reachable.map(({ id }) => id))[0] === router.place.id
  }

  #noteHolders (router: LedgerRouter, shard: number, holders: readonly string[]): void {
    for (const holder of holders) {
      if (!this.#fleet.unregistered.has(holder)) continue
      const lost = router.lost.get(holder) ?? { sinceMs: this.#nowMs, shards: new Set<number>() }
      lost.shards.add(shard)
      router.lost.set(holder, lost)
    }
  }

  #reclaimIfDue (router: LedgerRouter, holder: string, lost: { readonly sinceMs: number, readonly shards: ReadonlySet<number> }): void {
    if (router.reclaims.has(holder) || this.#nowMs - lost.sinceMs < lostAfterMs) return
    if (!this.#isOwnDuty(router, holder) && this.#nowMs - lost.sinceMs < anyoneAfterMs) return
    const reclaim = new HolderReclaim({ holder, shards: this.#fleet.options.shards, limits: defaultReclaimLimits, nowMs: this.#nowMs, firstShards: [...lost.shards] })
    router.reclaims.set(holder, { reclaim, sinceMs: this.#nowMs })
    this.#carryOutReclaim(router, reclaim, reclaim.start())
  }

  #carryOutReclaim (router: LedgerRouter, reclaim: HolderReclaim, effects: readonly ReclaimEffect[]): void {
    const proceed = (next: readonly ReclaimEffect[]) => { this.#carryOutReclaim(router, reclaim, next) }
    for (const effect of effects) {
      switch (effect.kind) {
        case 'addFence':
          this.#fleet.writes += 1
          this.#fleet.events.after(6, () => { proceed(reclaim.fenceDone(true, this.#nowMs)) })
          break
        case 'readRegistry': {
          this.#fleet.reads += 1
          const domains = [...new Set(this.#fleet.places.map(place => place.failureDomain))]
          const endpoints = domains.map(id => ({ id, incarnation: 'a', vm: id }))
          this.#fleet.events.after(6, () => {
            proceed(reclaim.registryDone({ endpoints, liveVms: new Set(domains), handovers: [], hasLostEndpoint: false }, this.#nowMs))
          })
          break
        }
        case 'ask':
          this.#askEndpoint(router, reclaim, effect.endpoint.id, proceed)
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

  /** One endpoint per failure domain has the entries of all requests there. */
  #askEndpoint (router: LedgerRouter, reclaim: HolderReclaim, endpoint: string, proceed: (effects: readonly ReclaimEffect[]) => void): void {
    const place = this.#fleet.places.find(({ failureDomain }) => failureDomain === endpoint)
    if (place === undefined || (this.#fleet.isPartitioned && place.region !== router.place.region)) return
    this.#fleet.events.after(2 * this.#fleet.delayMs(router.place, place), () => {
      const entries = [...this.#fleet.entries.get(reclaim.holder)?.values() ?? []]
        .filter(({ endpointDomain }) => endpointDomain === endpoint)
        .map(({ entry, isSettled, tokens }): FenceEntry => (isSettled ? { ...entry, state: 'settled', tokens } : entry))
      proceed(reclaim.answerDone(endpoint, 'a', entries, this.#nowMs))
    })
  }
}
