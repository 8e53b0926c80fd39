/**
 * The budget model: routers with the real decision logic, endpoint processes,
 * the platform and operators on a network whose messages wait for steps.
 */
import { createBudget, freeTokens, shardOf, topUpBudget, isHolderOf, type BudgetShard, type FenceEntry, type ReadOutcome, type WriteOutcome } from '@buckthorndrift/policy'
import { ModelEndpoint } from './modelEndpoint.ts'
import { ModelRouter } from './modelRouter.ts'
import { ModelStore } from './modelStore.ts'
import { Network, type Message } from './network.ts'
import { Truth } from './truth.ts'

/** A broken requirement, found by a check of the model. */
export class ModelViolation extends Error {
  override readonly name = 'ModelViolation'
}

export interface WorldOptions {
  readonly routers: readonly string[]
  readonly endpoints: readonly string[]
  readonly shards: number
  /** First grants by budget, in tokens. */
  readonly budgets: Readonly<Record<string, number>>
}

interface TopUpOperation {
  readonly budget: string
  readonly operationId: string
  readonly tokens: number
  isConfirmed: boolean
}

/** Most rounds until everything is accounted for at the end of a run. */
const maxQuietRounds = 400

export class BudgetWorld {
  nowMs = 0
  readonly network = new Network()
  readonly store = new ModelStore()
  readonly truth = new Truth()
  readonly endpoints = new Map<string, ModelEndpoint>()
  readonly routers = new Map<string, ModelRouter>()
  readonly shards: number
  readonly budgets: readonly string[]
  readonly #operations: TopUpOperation[] = []
  /** Slices that were closed as wholly spent make the ledger count more than what ran. */
  #hasWhollySpent = false
  #incarnations = 0
  #joined = 0

  readonly #routerIds: readonly string[]

  constructor (options: WorldOptions) {
    this.#routerIds = options.routers
    this.shards = options.shards
    this.budgets = Object.keys(options.budgets)
    for (const id of options.endpoints) this.joinEndpoint(id)
    for (const endpoint of this.endpoints.values()) endpoint.accept([])
    for (const id of options.routers) this.startRouter(id)
    for (const [budget, grantedTokens] of Object.entries(options.budgets)) {
      const shard = shardOf(budget, this.shards)
      const created = createBudget(this.store.shard(shard), { budget, organisation: 'o', grantedTokens, operationId: 'create' }).unwrap()
      const present = this.store.read(shard)
      if (present.kind === 'read') this.store.write(shard, created, present.version)
      this.truth.grantedTokens.set(budget, grantedTokens)
    }
  }

  /** Router at which the reservations of a shard concentrate. */
  collectorOf (shard: number): string | undefined {
    return this.#routerIds[shard % this.#routerIds.length]
  }

  startRouter (id: string): void {
    this.network.setSilent(id, false)
    this.routers.set(id, new ModelRouter(id, `i${++this.#incarnations}`, this))
  }

  crashRouter (id: string): void {
    const router = this.routers.get(id)
    if (router === undefined) return
    router.isLost = true
    this.network.setSilent(id, true)
    this.network.lose(id)
    this.routers.delete(id)
  }

  /** An id that no endpoint had before. */
  nextEndpointId (): string {
    return `n${++this.#joined}`
  }

  /** The endpoint registers; it accepts calls only after `acceptEndpoint`. */
  joinEndpoint (id: string): void {
    const endpoint = new ModelEndpoint(id, this.truth)
    this.endpoints.set(id, endpoint)
    this.network.setSilent(id, false)
    this.store.registry.set(id, endpoint.ref)
  }

  acceptEndpoint (id: string): void {
    this.endpoints.get(id)?.accept(this.store.fences)
  }

  /** The endpoint and its VM are lost for good. */
  loseEndpoint (id: string): void {
    if (!this.endpoints.delete(id)) return
    this.store.registry.delete(id)
    this.store.hasLostEndpoint = true
    this.network.setSilent(id, true)
    this.network.lose(id)
  }

  addFence (holder: string): boolean {
    if (this.store.isDown) return false
    this.store.fences.add(holder)
    return true
  }

  noteClosing (isWhollySpent: boolean, unsettled: readonly FenceEntry[]): void {
    this.#hasWhollySpent ||= isWhollySpent
    for (const entry of unsettled) this.truth.addSlack(entry.budget, entry.tokens)
  }

  routerOfHolder (holder: string): ModelRouter | undefined {
    return [...this.routers.values()].find(router => isHolderOf(holder, router))
  }

  /** Holders with slices in the platform. */
  get storedHolders (): readonly string[] {
    const shards = Array.from({ length: this.shards }, (_, shard) => this.store.shard(shard))
    return [...new Set(shards.flatMap(shard => [...shard.settledSeqs.keys()]))]
  }

  /** An operator begins a top-up, or repeats one whose reply was lost. */
  topUp (budget: string, operationId: string, tokens: number): void {
    const present = this.#operations.find(operation => operation.budget === budget && operation.operationId === operationId)
    const operation = present ?? { budget, operationId, tokens, isConfirmed: false }
    if (present === undefined) {
      this.#operations.push(operation)
      this.truth.grantedTokens.set(budget, (this.truth.grantedTokens.get(budget) ?? 0) + tokens)
    }
    this.#tryTopUp(operation)
  }

  #tryTopUp (operation: TopUpOperation): void {
    const shard = shardOf(operation.budget, this.shards)
    this.network.call<ReadOutcome>({
      from: 'operator',
      to: 'store',
      kind: 'operatorRead',
      handle: respond => { respond(this.store.read(shard)) },
      done: outcome => {
        if (outcome?.kind !== 'read') return
        const changed = topUpBudget(outcome.shard, operation.budget, operation.operationId, operation.tokens).unwrap()
        if (changed === outcome.shard) operation.isConfirmed = true
        else this.#writeTopUp(operation, shard, changed, outcome.version)
      }
    })
  }

  #writeTopUp (operation: TopUpOperation, shard: number, changed: BudgetShard, version: number): void {
    this.network.call<WriteOutcome>({
      from: 'operator',
      to: 'store',
      kind: 'operatorWrite',
      isRepeatable: true,
      handle: respond => { respond(this.store.write(shard, changed, version)) },
      done: outcome => { if (outcome?.kind === 'written') operation.isConfirmed = true }
    })
  }

  advance (durationMs: number): void {
    this.nowMs += durationMs
    for (const router of this.routers.values()) if (!this.network.isSilent(router.id)) router.tick()
  }

  /** Delivers up to `count` messages in order. */
  deliverSome (count: number, matches: (message: Message) => boolean = () => true): void {
    for (let delivered = 0; delivered < count; delivered++) {
      const next = this.network.deliverable.find(matches)
      if (next === undefined) return
      this.network.deliver(next)
    }
  }

  /** Throws `ModelViolation` when a budget is overspent or a grant is wrong. */
  check (): void {
    for (const budget of this.budgets) {
      const entry = this.store.shard(shardOf(budget, this.shards)).budgets.get(budget)
      if (entry === undefined) throw new ModelViolation(`budget ${budget} disappeared`)
      const ranTokens = this.truth.spentOf(budget)
      if (ranTokens > entry.grantedTokens) throw new ModelViolation(`budget ${budget}: ${ranTokens} tokens ran, ${entry.grantedTokens} are granted`)
      if (freeTokens(entry) < 0) throw new ModelViolation(`budget ${budget}: caps exceed the grant`)
      if (entry.grantedTokens > (this.truth.grantedTokens.get(budget) ?? 0)) throw new ModelViolation(`budget ${budget}: a top-up counts twice`)
    }
  }

  /** Ends all faults, lets everything finish, returns and reclaims all slices, and compares the ledger with what ran. */
  settleAndCheck (): void {
    this.store.isDown = false
    this.network.heal()
    for (const id of [...this.routers.keys(), ...this.endpoints.keys()]) this.network.setSilent(id, false)
    for (const id of this.endpoints.keys()) this.acceptEndpoint(id)
    for (let round = 0; round < maxQuietRounds; round++) {
      if (this.#isQuiet()) break
      this.#quietRound(round)
      this.check()
    }
    if (!this.#isQuiet()) throw new ModelViolation(`not all is accounted for at the end: ${this.#openWork()}`)
    for (const budget of this.budgets) this.#checkAccounts(budget)
  }

  #quietRound (round: number): void {
    this.#dropUndeliverable()
    this.deliverSome(5000)
    for (const endpoint of this.endpoints.values()) for (const requestId of endpoint.running) endpoint.finish(requestId, 7)
    for (const router of this.routers.values()) {
      for (const requestId of [...router.calls.keys()]) router.abandon(requestId)
      router.resend()
    }
    this.deliverSome(5000)
    for (const operation of this.#operations) if (!operation.isConfirmed) this.#tryTopUp(operation)
    this.deliverSome(5000)
    if (round > 3) this.#returnSlices()
    this.advance(round < 40 ? 1000 : 50_000)
    this.deliverSome(5000)
  }

  /** Messages to processes that no longer exist. */
  #dropUndeliverable (): void {
    const processes = new Set(['store', 'operator', ...this.routers.keys(), ...this.endpoints.keys()])
    for (const message of [...this.network.messages]) if (!processes.has(message.to)) this.network.drop(message)
  }

  #returnSlices (): void {
    for (const router of this.routers.values()) if (!router.isDraining) router.drain()
    const reclaimer = [...this.routers.values()][0]
    for (const holder of this.storedHolders) {
      const owner = this.routerOfHolder(holder)
      if (owner === undefined || owner.holder !== holder) reclaimer?.reclaim(holder)
    }
  }

  #isQuiet (): boolean {
    return this.storedHolders.length === 0 && this.network.messages.length === 0 && this.#operations.every(operation => operation.isConfirmed) &&
      [...this.routers.values()].every(router => router.areHoldersEmpty && router.calls.size === 0 && router.openSettlements === 0)
  }

  #openWork (): string {
    const routers = [...this.routers.values()].map(router => (
      `${router.holder} calls ${router.calls.size} settlements ${router.openSettlements}${router.areHoldersEmpty ? '' : ' holds slices'}`))
    const messages = this.network.messages.map(message => `${message.kind} to ${message.to}`)
    return [`stored holders ${this.storedHolders.join(' ')}`, ...routers, ...messages].join('; ')
  }

  #checkAccounts (budget: string): void {
    const entry = this.store.shard(shardOf(budget, this.shards)).budgets.get(budget)
    const ranTokens = this.truth.spentOf(budget)
    const countedTokens = entry?.spentTokens ?? 0
    const slackTokens = this.#hasWhollySpent ? Infinity : this.truth.slackTokens.get(budget) ?? 0
    if (countedTokens < ranTokens) throw new ModelViolation(`budget ${budget}: ${ranTokens} tokens ran, only ${countedTokens} are counted`)
    if (countedTokens > ranTokens + slackTokens) throw new ModelViolation(`budget ${budget}: ${countedTokens} tokens are counted, ${ranTokens} ran`)
    if (entry?.grantedTokens !== this.truth.grantedTokens.get(budget)) throw new ModelViolation(`budget ${budget}: a top-up is lost or counts twice`)
  }
}
