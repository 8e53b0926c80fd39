/**
 * Model of the budget ledger for randomised tests: routers with the decision
 * logic of @buckthorndrift/policy, endpoint processes, the platform and
 * operators. They communicate over a network whose messages stay in flight
 * until a step delivers or drops them.
 */
import { createBudget, freeTokens, shardOf, topUpBudget, isHolderOf, type BudgetShard, type FenceEntry, type ReadOutcome, type WriteOutcome } from '@buckthorndrift/policy'
import { ModelEndpoint } from './modelEndpoint.ts'
import { ModelRouter } from './modelRouter.ts'
import { ModelStore } from './modelStore.ts'
import { Network, type Message } from './network.ts'
import { GroundTruth } from './groundTruth.ts'

/** A check of the model found a violated invariant. */
export class ModelViolation extends Error {
  override readonly name = 'ModelViolation'
}

export interface BudgetModelOptions {
  readonly routers: readonly string[]
  readonly endpoints: readonly string[]
  readonly shards: number
  /** Initial grants in tokens by budget. */
  readonly budgets: Readonly<Record<string, number>>
}

interface TopUpOperation {
  readonly budget: string
  readonly operationId: string
  readonly tokens: number
  isConfirmed: boolean
}

/** Maximum rounds in which all open work must finish at the end of a run. */
const maxSettleRounds = 400

export class BudgetModel {
  nowMs = 0
  readonly network = new Network()
  readonly store = new ModelStore()
  readonly groundTruth = new GroundTruth()
  readonly endpoints = new Map<string, ModelEndpoint>()
  readonly routers = new Map<string, ModelRouter>()
  readonly shards: number
  readonly budgets: readonly string[]
  readonly #topUpOperations: TopUpOperation[] = []
  /** Whether a reclaim counted all tokens of a slice as spent, because the actual spend was unknown. The ledger may then count more tokens than were executed. */
  #hasWhollySpentSlices = false
  #incarnations = 0
  #generatedEndpointIds = 0

  readonly #routerIds: readonly string[]

  constructor (options: BudgetModelOptions) {
    this.#routerIds = options.routers
    this.shards = options.shards
    this.budgets = Object.keys(options.budgets)
    for (const id of options.endpoints) this.joinEndpoint(id)
    for (const endpoint of this.endpoints.values()) endpoint.startAccepting([])
    for (const id of options.routers) this.startRouter(id)
    for (const [budget, grantedTokens] of Object.entries(options.budgets)) {
      const shard = shardOf(budget, this.shards)
      const created = createBudget(this.store.currentShard(shard), { budget, organisation: 'o', grantedTokens, operationId: 'create' }).unwrap()
      const present = this.store.read(shard)
      if (present.kind === 'read') this.store.write(shard, created, present.version)
      this.groundTruth.grantedTokens.set(budget, grantedTokens)
    }
  }

  /** Router that recalls slices of a shard from the others and takes the remaining tokens. */
  collectorOf (shard: number): string | undefined {
    return this.#routerIds[shard % this.#routerIds.length]
  }

  startRouter (id: string): void {
    this.network.setUnresponsive(id, false)
    this.routers.set(id, new ModelRouter(id, `i${++this.#incarnations}`, this))
  }

  crashRouter (id: string): void {
    const router = this.routers.get(id)
    if (router === undefined) return
    router.isCrashed = true
    this.network.setUnresponsive(id, true)
    this.network.dropMessagesTo(id)
    this.routers.delete(id)
  }

  /** Returns an id that no endpoint has had before. */
  nextEndpointId (): string {
    return `n${++this.#generatedEndpointIds}`
  }

  /** Registers an endpoint; it accepts calls only after `acceptEndpoint`. */
  joinEndpoint (id: string): void {
    const endpoint = new ModelEndpoint(id, this.groundTruth)
    this.endpoints.set(id, endpoint)
    this.network.setUnresponsive(id, false)
    this.store.registry.set(id, endpoint.reclaimEndpoint)
  }

  /** Lets an endpoint read the fences and accept calls from then on. */
  acceptEndpoint (id: string): void {
    this.endpoints.get(id)?.startAccepting(this.store.fences)
  }

  /** Removes an endpoint and its VM permanently. */
  loseEndpoint (id: string): void {
    if (!this.endpoints.delete(id)) return
    this.store.registry.delete(id)
    this.store.hasLostEndpoint = true
    this.network.setUnresponsive(id, true)
    this.network.dropMessagesTo(id)
  }

  addFence (holder: string): boolean {
    if (this.store.isDown) return false
    this.store.fences.add(holder)
    return true
  }

  /** Records that a reclaim closed slices. The ledger may then count more tokens than were executed: slices of unknown spend count as wholly spent, and unsettled entries with their full reservation. */
  recordSliceClosing (isWhollySpent: boolean, unsettled: readonly FenceEntry[]): void {
    this.#hasWhollySpentSlices ||= isWhollySpent
    for (const entry of unsettled) this.groundTruth.addAllowedExcess(entry.budget, entry.tokens)
  }

  routerOfHolder (holder: string): ModelRouter | undefined {
    return [...this.routers.values()].find(router => isHolderOf(holder, router))
  }

  /** Names of all slice holders in the shards that the platform stores. */
  get storedHolders (): readonly string[] {
    const shards = Array.from({ length: this.shards }, (_, shard) => this.store.currentShard(shard))
    return [...new Set(shards.flatMap(shard => [...shard.settledSeqs.keys()]))]
  }

  /** Starts a top-up by an operator. With a known operation id it repeats that top-up, as an operator does after a lost reply. */
  topUp (budget: string, operationId: string, tokens: number): void {
    const present = this.#topUpOperations.find(operation => operation.budget === budget && operation.operationId === operationId)
    const operation = present ?? { budget, operationId, tokens, isConfirmed: false }
    if (present === undefined) {
      this.#topUpOperations.push(operation)
      this.groundTruth.grantedTokens.set(budget, (this.groundTruth.grantedTokens.get(budget) ?? 0) + tokens)
    }
    this.#tryTopUp(operation)
  }

  /** Reads the shard of the budget. Confirms the top-up if the shard already contains it, and writes it otherwise. */
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

  /** Advances the clock and runs the timers of all responsive routers. */
  advance (durationMs: number): void {
    this.nowMs += durationMs
    for (const router of this.routers.values()) if (!this.network.isUnresponsive(router.id)) router.tick()
  }

  /** Delivers up to `count` messages in order. */
  deliverUpTo (count: number, matches: (message: Message) => boolean = () => true): void {
    for (let delivered = 0; delivered < count; delivered++) {
      const next = this.network.deliverable.find(matches)
      if (next === undefined) return
      this.network.deliver(next)
    }
  }

  /** Throws `ModelViolation` when a budget is missing or overspent, its sum of caps exceeds the grant, or a top-up counts twice. */
  check (): void {
    for (const budget of this.budgets) {
      const entry = this.store.currentShard(shardOf(budget, this.shards)).budgets.get(budget)
      if (entry === undefined) throw new ModelViolation(`budget ${budget} is missing`)
      const executedTokens = this.groundTruth.executedTokens(budget)
      if (executedTokens > entry.grantedTokens) throw new ModelViolation(`budget ${budget}: ${executedTokens} tokens executed, but only ${entry.grantedTokens} granted`)
      if (freeTokens(entry) < 0) throw new ModelViolation(`budget ${budget}: sum of caps exceeds the grant`)
      if (entry.grantedTokens > (this.groundTruth.grantedTokens.get(budget) ?? 0)) throw new ModelViolation(`budget ${budget}: a top-up counts twice`)
    }
  }

  /** Ends all faults, finishes all requests, returns or reclaims all slices, and compares the ledger with the executed tokens. */
  settleAndCheck (): void {
    this.store.isDown = false
    this.network.healPartitions()
    for (const id of [...this.routers.keys(), ...this.endpoints.keys()]) this.network.setUnresponsive(id, false)
    for (const id of this.endpoints.keys()) this.acceptEndpoint(id)
    for (let round = 0; round < maxSettleRounds; round++) {
      if (this.#isSettled()) break
      this.#runSettleRound(round)
      this.check()
    }
    if (!this.#isSettled()) throw new ModelViolation(`open work remains at the end of the run: ${this.#describeOpenWork()}`)
    for (const budget of this.budgets) this.#checkAccounts(budget)
  }

  #runSettleRound (round: number): void {
    this.#dropUndeliverable()
    this.deliverUpTo(5000)
    for (const endpoint of this.endpoints.values()) for (const requestId of endpoint.running) endpoint.finish(requestId, 7)
    for (const router of this.routers.values()) {
      for (const requestId of [...router.calls.keys()]) router.abandon(requestId)
      router.resendSettlements()
    }
    this.deliverUpTo(5000)
    for (const operation of this.#topUpOperations) if (!operation.isConfirmed) this.#tryTopUp(operation)
    this.deliverUpTo(5000)
    if (round > 3) this.#returnSlices()
    this.advance(round < 40 ? 1000 : 50_000)
    this.deliverUpTo(5000)
  }

  /** Drops messages to processes that no longer exist. */
  #dropUndeliverable (): void {
    const processes = new Set(['store', 'operator', ...this.routers.keys(), ...this.endpoints.keys()])
    for (const message of [...this.network.messages]) if (!processes.has(message.to)) this.network.drop(message)
  }

  #returnSlices (): void {
    for (const router of this.routers.values()) if (!router.isDraining) router.drain()
    const reclaimingRouter = [...this.routers.values()][0]
    for (const holder of this.storedHolders) {
      const router = this.routerOfHolder(holder)
      if (router === undefined || router.holder !== holder) reclaimingRouter?.reclaim(holder)
    }
  }

  #isSettled (): boolean {
    return this.storedHolders.length === 0 && this.network.messages.length === 0 && this.#topUpOperations.every(operation => operation.isConfirmed) &&
      [...this.routers.values()].every(router => router.hasNoActiveSlices && router.calls.size === 0 && router.pendingSettlementCount === 0)
  }

  #describeOpenWork (): string {
    const routers = [...this.routers.values()].map(router => (
      `${router.holder} calls ${router.calls.size} settlements ${router.pendingSettlementCount}${router.hasNoActiveSlices ? '' : ' holds slices'}`))
    const messages = this.network.messages.map(message => `${message.kind} to ${message.to}`)
    return [`stored holders ${this.storedHolders.join(' ')}`, ...routers, ...messages].join('; ')
  }

  #checkAccounts (budget: string): void {
    const entry = this.store.currentShard(shardOf(budget, this.shards)).budgets.get(budget)
    const executedTokens = this.groundTruth.executedTokens(budget)
    const ledgerTokens = entry?.spentTokens ?? 0
    const allowedExcessTokens = this.#hasWhollySpentSlices ? Infinity : this.groundTruth.allowedExcessTokens.get(budget) ?? 0
    if (ledgerTokens < executedTokens) throw new ModelViolation(`budget ${budget}: ${executedTokens} tokens executed, but the ledger counts only ${ledgerTokens}`)
    if (ledgerTokens > executedTokens + allowedExcessTokens) throw new ModelViolation(`budget ${budget}: the ledger counts ${ledgerTokens} tokens, but only ${executedTokens} executed`)
    if (entry?.grantedTokens !== this.groundTruth.grantedTokens.get(budget)) throw new ModelViolation(`budget ${budget}: a top-up was lost or counts twice`)
  }
}
