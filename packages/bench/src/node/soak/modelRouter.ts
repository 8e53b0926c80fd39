/** Router of the budget model: runs the shard holders and reclaims of @buckthorndrift/policy on the network of the model. */
import {
  defaultBudgetLimits, holderName, HolderReclaim, ShardHolder, shardOf,
  type BudgetLimits, type HolderEffect, type ReadOutcome, type ReclaimEffect, type ReserveAnswer, type WriteOutcome
} from '@buckthorndrift/policy'
import type { CallAnswer, ModelCall } from './modelEndpoint.ts'
import type { BudgetModel } from './budgetModel.ts'

/** Limits with shorter times than in production, so that random runs also reach the states that follow these times. */
export const modelLimits: BudgetLimits = { ...defaultBudgetLimits, flushMs: 2000, closeIdleMs: 20_000, orphanMs: 400_000, collectorRequests: 3 }
const reclaimLimits = { reclaimWaitMs: 8000, reclaimAskMs: 1000 }

interface PendingCall {
  readonly call: ModelCall
  readonly endpoint: string
}

type ReserveReply = { readonly kind: 'refused' } | { readonly kind: 'reserved', readonly holder: string, readonly seq: number, readonly settledSeq: number }

export class ModelRouter {
  readonly id: string
  readonly incarnation: string
  isCrashed = false
  isDraining = false
  readonly calls = new Map<string, PendingCall>()
  readonly reclaims = new Map<string, HolderReclaim>()
  /** Settlements that the holder of the reservation has not acknowledged yet, by request id. */
  readonly #pendingSettlements = new Map<string, { readonly call: ModelCall, readonly tokens: number }>()
  readonly #model: BudgetModel
  readonly #holders = new Map<number, ShardHolder>()
  #holderNumber = 1
  #lastId = 0
  #lastRequest = 0
  readonly #pendingReservations = new Map<number, (answer: ReserveAnswer) => void>()
  readonly #pendingRecalls = new Map<number, () => void>()

  constructor (id: string, incarnation: string, model: BudgetModel) {
    this.id = id
    this.incarnation = incarnation
    this.#model = model
  }

  /** Name of the holder under which the router currently reserves. */
  get holder (): string {
    return holderName(this, this.#holderNumber)
  }

  get pendingSettlementCount (): number {
    return this.#pendingSettlements.size
  }

  get hasNoActiveSlices (): boolean {
    return [...this.#holders.values()].every(holder => holder.isEmpty || holder.isFenced)
  }

  /** Reserves tokens in a slice of the router `home`, then calls `endpoint` under the reservation. */
  request (budget: string, tokens: number, home: ModelRouter, endpoint: string): void {
    const requestId = `${this.id}.${this.incarnation}.${++this.#lastRequest}`
    const shard = shardOf(budget, this.#model.shards)
    this.#model.network.call<ReserveReply>({
      from: this.id,
      to: home.id,
      kind: 'reserve',
      handle: respond => { home.handleReserve(shard, budget, tokens, respond) },
      done: reply => {
        if (this.isCrashed || reply === undefined || reply.kind === 'refused') return
        this.#sendCall({ requestId, holder: reply.holder, shard, budget, seq: reply.seq, tokens, settledSeq: reply.settledSeq }, endpoint)
      }
    })
  }

  handleReserve (shard: number, budget: string, tokens: number, respond: (reply: ReserveReply) => void): void {
    if (this.isCrashed) return
    const holder = this.#getOrCreateHolder(shard)
    const id = ++this.#lastId
    this.#pendingReservations.set(id, answer => {
      respond(answer.kind === 'reserved' ? { kind: 'reserved', holder: holder.holder, seq: answer.seq, settledSeq: answer.settledSeq } : { kind: 'refused' })
    })
    this.#applyEffects(shard, holder, holder.reserve(id, budget, tokens, this.#model.nowMs))
  }

  handleSettle (call: ModelCall, tokens: number): void {
    const holder = this.#holders.get(call.shard)
    if (this.isCrashed || holder === undefined || holder.holder !== call.holder) return
    this.#applyEffects(call.shard, holder, holder.settle(call.budget, call.seq, tokens, this.#model.nowMs))
  }

  handleRecall (shard: number, budgets: readonly string[], respond: (isDone: true) => void): void {
    const holder = this.#holders.get(shard)
    if (this.isCrashed || holder === undefined) return respond(true)
    const id = ++this.#lastId
    this.#pendingRecalls.set(id, () => { respond(true) })
    this.#applyEffects(shard, holder, holder.recall(id, budgets, this.#model.nowMs))
  }

  /** Resolves a call without an answer: asks its endpoint for the outcome, or settles the whole reservation when the endpoint is lost. */
  abandon (requestId: string): void {
    const pendingCall = this.calls.get(requestId)
    if (pendingCall === undefined) return
    const { call, endpoint } = pendingCall
    const target = this.#model.endpoints.get(endpoint)
    if (target === undefined) {
      this.calls.delete(requestId)
      this.#model.groundTruth.addAllowedExcess(call.budget, call.tokens)
      this.#sendSettlement(call, call.tokens)
      return
    }
    this.#model.network.call<CallAnswer>({
      from: this.id,
      to: endpoint,
      kind: 'attach',
      isRepeatable: true,
      handle: respond => { target.attach(requestId, respond) },
      done: answer => { this.#handleCallAnswer(call, answer) }
    })
  }

  tick (): void {
    const { nowMs } = this.#model
    for (const [shard, holder] of this.#holders) this.#applyEffects(shard, holder, holder.tick(nowMs))
    for (const reclaim of this.reclaims.values()) this.#applyReclaimEffects(reclaim, reclaim.tick(nowMs))
  }

  /** Resends unacknowledged settlements. */
  resendSettlements (): void {
    for (const { call, tokens } of this.#pendingSettlements.values()) this.#sendSettlement(call, tokens)
  }

  drain (): void {
    this.isDraining = true
    for (const [shard, holder] of this.#holders) this.#applyEffects(shard, holder, holder.drain(this.#model.nowMs))
  }

  reclaim (holder: string): void {
    if (holder === this.holder || this.reclaims.get(holder)?.isDone === false) return
    const reclaim = new HolderReclaim({ holder, shards: this.#model.shards, limits: reclaimLimits, nowMs: this.#model.nowMs })
    this.reclaims.set(holder, reclaim)
    this.#applyReclaimEffects(reclaim, reclaim.start())
  }

  /** Handles an update of the fences document. */
  learnFences (): void {
    if (!this.#model.store.fences.has(this.holder)) return
    this.#replaceHolder()
  }

  /** Continues under a new holder name and fences the shard holders that use the old name. */
  #replaceHolder (): void {
    this.#holderNumber += 1
    const fencedHolders = [...this.#holders]
    this.#holders.clear()
    for (const [shard, holder] of fencedHolders) this.#applyEffects(shard, holder, holder.fence())
  }

  #getOrCreateHolder (shard: number): ShardHolder {
    const existing = this.#holders.get(shard)
    if (existing !== undefined) return existing
    const holder = new ShardHolder({ holder: this.holder, limits: modelLimits, nowMs: this.#model.nowMs })
    // One router per shard is the collector: it recalls the slices of the others and takes the remaining tokens.
    holder.setCollector(this.#model.collectorOf(shard) === this.id)
    if (this.isDraining) holder.drain(this.#model.nowMs)
    this.#holders.set(shard, holder)
    return holder
  }

  #sendCall (call: ModelCall, endpoint: string): void {
    this.calls.set(call.requestId, { call, endpoint })
    const target = this.#model.endpoints.get(endpoint)
    if (target === undefined) return
    this.#model.network.call<CallAnswer>({
      from: this.id,
      to: endpoint,
      kind: 'call',
      isRepeatable: true,
      handle: respond => { target.call(call, respond) },
      done: answer => { this.#handleCallAnswer(call, answer) }
    })
  }

  /** Settles a call that its endpoint answered. A call without an answer stays pending until `abandon` is called. */
  #handleCallAnswer (call: ModelCall, answer: CallAnswer | undefined): void {
    if (this.isCrashed || answer === undefined || !this.calls.delete(call.requestId)) return
    this.#sendSettlement(call, answer.kind === 'settled' ? answer.tokens : 0)
  }

  #sendSettlement (call: ModelCall, tokens: number): void {
    this.#pendingSettlements.set(call.requestId, { call, tokens })
    const home = this.#model.routerOfHolder(call.holder)
    if (home === undefined) {
      this.#pendingSettlements.delete(call.requestId)
      return
    }
    this.#model.network.call<true>({
      from: this.id,
      to: home.id,
      kind: 'settle',
      isRepeatable: true,
      handle: respond => { home.handleSettle(call, tokens); respond(true) },
      done: isDone => { if (isDone) this.#pendingSettlements.delete(call.requestId) }
    })
  }

  #applyEffects (shard: number, holder: ShardHolder, effects: readonly HolderEffect[]): void {
    for (const effect of effects) this.#applyEffect(shard, holder, effect)
  }

  #applyEffect (shard: number, holder: ShardHolder, effect: HolderEffect): void {
    const { network, store, groundTruth } = this.#model
    switch (effect.kind) {
      case 'read':
        network.call<ReadOutcome>({
          from: this.id,
          to: 'store',
          kind: 'read',
          handle: respond => { respond(store.read(shard)) },
          done: outcome => { if (!this.isCrashed) this.#applyEffects(shard, holder, holder.readDone(outcome ?? { kind: 'failed' }, this.#model.nowMs)) }
        })
        return
      case 'write':
        network.call<WriteOutcome>({
          from: this.id,
          to: 'store',
          kind: 'write',
          handle: respond => { respond(store.write(shard, effect.value, effect.expectedVersion)) },
          done: outcome => { if (!this.isCrashed) this.#applyEffects(shard, holder, holder.writeDone(outcome ?? { kind: 'unknown' }, this.#model.nowMs)) }
        })
        return
      case 'recall':
        this.#recallFromHolders(shard, holder, effect.holders, effect.budgets)
        return
      case 'answer':
        this.#pendingReservations.get(effect.id)?.(effect.answer)
        this.#pendingReservations.delete(effect.id)
        return
      case 'recalled':
        this.#pendingRecalls.get(effect.id)?.()
        this.#pendingRecalls.delete(effect.id)
        return
      case 'fenced':
        if (holder.holder === this.holder) this.#replaceHolder()
        return
      case 'orphan':
        groundTruth.addAllowedExcess(effect.budget, effect.tokens)
        return
      case 'invariant':
        throw new Error(effect.detail)
      case 'holdersSeen':
    }
  }

  #recallFromHolders (shard: number, holder: ShardHolder, holders: readonly string[], budgets: readonly string[]): void {
    let pendingCount = holders.length
    let areAllAnswered = true
    for (const other of holders) {
      const router = this.#model.routerOfHolder(other)
      const finish = (isDone: true | undefined) => {
        pendingCount -= 1
        areAllAnswered &&= isDone === true
        if (pendingCount === 0 && !this.isCrashed) this.#applyEffects(shard, holder, holder.recallDone(budgets, areAllAnswered, this.#model.nowMs))
      }
      if (router === undefined) finish(undefined)
      else this.#model.network.call<true>({ from: this.id, to: router.id, kind: 'recall', handle: respond => { router.handleRecall(shard, budgets, respond) }, done: finish })
    }
  }

  #applyReclaimEffects (reclaim: HolderReclaim, effects: readonly ReclaimEffect[]): void {
    const handleEffect = createReclaimEffectHandler(this.#model, this, reclaim, next => { this.#applyReclaimEffects(reclaim, next) })
    for (const effect of effects) handleEffect(effect)
  }
}

function createReclaimEffectHandler (model: BudgetModel, router: ModelRouter, reclaim: HolderReclaim, proceed: (effects: readonly ReclaimEffect[]) => void) {
  const { network, store } = model
  const call = <Answer>(to: string, kind: string, answer: () => Answer, done: (reply: Answer | undefined) => readonly ReclaimEffect[]) => {
    network.call<Answer>({
      from: router.id,
      to,
      kind,
      isRepeatable: true,
      handle: respond => { respond(answer()) },
      done: reply => { if (!router.isCrashed) proceed(done(reply)) }
    })
  }
  return (effect: ReclaimEffect): void => {
    switch (effect.kind) {
      case 'addFence':
        return call('store', 'addFence', () => model.addFence(reclaim.holder), isWritten => reclaim.fenceDone(isWritten === true, model.nowMs))
      case 'readRegistry':
        return call('store', 'readRegistry', () => store.readRegistry(), registry => reclaim.registryDone(registry, model.nowMs))
      case 'ask':
        return call(effect.endpoint.id, 'fence', () => model.endpoints.get(effect.endpoint.id)?.fence(reclaim.holder), entries => (
          entries === undefined ? [] : reclaim.answerDone(effect.endpoint.id, effect.endpoint.incarnation, entries, model.nowMs)))
      case 'readShard':
        return call('store', 'read', () => store.read(effect.shard), outcome => reclaim.readDone(outcome ?? { kind: 'failed' }, model.nowMs))
      case 'writeShard':
        model.recordSliceClosing(effect.isWhollySpent, effect.unsettled)
        return call('store', 'write', () => store.write(effect.shard, effect.value, effect.expectedVersion), outcome => (
          reclaim.writeDone(outcome ?? { kind: 'unknown' }, model.nowMs)))
      case 'forget':
        return call(effect.endpoint.id, 'forget', () => { model.endpoints.get(effect.endpoint.id)?.forget(reclaim.holder) }, () => [])
      case 'invariant':
        throw new Error(effect.detail)
      case 'closed':
      case 'done':
    }
  }
}
