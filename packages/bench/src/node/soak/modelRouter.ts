/** A router in the budget model: real shard holders and reclaims on the model's network. */
import {
  defaultBudgetLimits, holderName, HolderReclaim, ShardHolder, shardOf,
  type BudgetLimits, type HolderEffect, type ReadOutcome, type ReclaimEffect, type ReserveAnswer, type WriteOutcome
} from '@buckthorndrift/policy'
import type { CallAnswer, ModelCall } from './modelEndpoint.ts'
import type { BudgetWorld } from './budgetWorld.ts'

/** Short waits make the model's steps reach the later states. */
export const modelLimits: BudgetLimits = { ...defaultBudgetLimits, flushMs: 2000, closeIdleMs: 20_000, orphanMs: 400_000, collectorRequests: 3 }
const reclaimLimits = { reclaimWaitMs: 8000, reclaimAskMs: 1000 }

interface OutstandingCall {
  readonly call: ModelCall
  readonly endpoint: string
}

type ReserveReply = { readonly kind: 'refused' } | { readonly kind: 'reserved', readonly holder: string, readonly seq: number, readonly settledSeq: number }

export class ModelRouter {
  readonly id: string
  readonly incarnation: string
  isLost = false
  isDraining = false
  readonly calls = new Map<string, OutstandingCall>()
  readonly reclaims = new Map<string, HolderReclaim>()
  /** Settlements that the holder has not acknowledged. */
  readonly #settlements = new Map<string, { readonly call: ModelCall, readonly tokens: number }>()
  readonly #world: BudgetWorld
  readonly #holders = new Map<number, ShardHolder>()
  #holderNumber = 1
  #lastId = 0
  #lastRequest = 0
  readonly #answers = new Map<number, (answer: ReserveAnswer) => void>()
  readonly #recalled = new Map<number, () => void>()

  constructor (id: string, incarnation: string, world: BudgetWorld) {
    this.id = id
    this.incarnation = incarnation
    this.#world = world
  }

  get holder (): string {
    return holderName(this, this.#holderNumber)
  }

  get openSettlements (): number {
    return this.#settlements.size
  }

  get areHoldersEmpty (): boolean {
    return [...this.#holders.values()].every(holder => holder.isEmpty || holder.isFenced)
  }

  /** Requests tokens at `home`, then calls `endpoint` under the reservation. */
  request (budget: string, tokens: number, home: ModelRouter, endpoint: string): void {
    const requestId = `${this.id}.${this.incarnation}.${++this.#lastRequest}`
    const shard = shardOf(budget, this.#world.shards)
    this.#world.network.call<ReserveReply>({
      from: this.id,
      to: home.id,
      kind: 'reserve',
      handle: respond => { home.reserveFor(shard, budget, tokens, respond) },
      done: reply => {
        if (this.isLost || reply === undefined || reply.kind === 'refused') return
        this.#send({ requestId, holder: reply.holder, shard, budget, seq: reply.seq, tokens, settledSeq: reply.settledSeq }, endpoint)
      }
    })
  }

  reserveFor (shard: number, budget: string, tokens: number, respond: (reply: ReserveReply) => void): void {
    if (this.isLost) return
    const holder = this.#holderOf(shard)
    const id = ++this.#lastId
    this.#answers.set(id, answer => {
      respond(answer.kind === 'reserved' ? { kind: 'reserved', holder: holder.holder, seq: answer.seq, settledSeq: answer.settledSeq } : { kind: 'refused' })
    })
    this.#carryOut(shard, holder, holder.reserve(id, budget, tokens, this.#world.nowMs))
  }

  settleFor (call: ModelCall, tokens: number): void {
    const holder = this.#holders.get(call.shard)
    if (this.isLost || holder === undefined || holder.holder !== call.holder) return
    this.#carryOut(call.shard, holder, holder.settle(call.budget, call.seq, tokens, this.#world.nowMs))
  }

  recallFor (shard: number, budgets: readonly string[], respond: (isDone: true) => void): void {
    const holder = this.#holders.get(shard)
    if (this.isLost || holder === undefined) return respond(true)
    const id = ++this.#lastId
    this.#recalled.set(id, () => { respond(true) })
    this.#carryOut(shard, holder, holder.recall(id, budgets, this.#world.nowMs))
  }

  /** Gives a silent call up: asks its endpoint, or counts the whole reservation when the endpoint is lost. */
  abandon (requestId: string): void {
    const outstanding = this.calls.get(requestId)
    if (outstanding === undefined) return
    const { call, endpoint } = outstanding
    const target = this.#world.endpoints.get(endpoint)
    if (target === undefined) {
      this.calls.delete(requestId)
      this.#world.truth.addSlack(call.budget, call.tokens)
      this.#settle(call, call.tokens)
      return
    }
    this.#world.network.call<CallAnswer>({
      from: this.id,
      to: endpoint,
      kind: 'attach',
      isRepeatable: true,
      handle: respond => { target.attach(requestId, respond) },
      done: answer => { this.#ended(call, answer) }
    })
  }

  tick (): void {
    const { nowMs } = this.#world
    for (const [shard, holder] of this.#holders) this.#carryOut(shard, holder, holder.tick(nowMs))
    for (const reclaim of this.reclaims.values()) this.#carryOutReclaim(reclaim, reclaim.tick(nowMs))
  }

  /** Sends unacknowledged settlements again. */
  resend (): void {
    for (const { call, tokens } of this.#settlements.values()) this.#settle(call, tokens)
  }

  drain (): void {
    this.isDraining = true
    for (const [shard, holder] of this.#holders) this.#carryOut(shard, holder, holder.drain(this.#world.nowMs))
  }

  reclaim (holder: string): void {
    if (holder === this.holder || this.reclaims.get(holder)?.isDone === false) return
    const reclaim = new HolderReclaim({ holder, shards: this.#world.shards, limits: reclaimLimits, nowMs: this.#world.nowMs })
    this.reclaims.set(holder, reclaim)
    this.#carryOutReclaim(reclaim, reclaim.start())
  }

  /** The fences document arrived. */
  learnFences (): void {
    if (!this.#world.store.fences.has(this.holder)) return
    this.#replaceHolder()
  }

  #replaceHolder (): void {
    this.#holderNumber += 1
    const fenced = [...this.#holders]
    this.#holders.clear()
    for (const [shard, holder] of fenced) this.#carryOut(shard, holder, holder.fence())
  }

  #holderOf (shard: number): ShardHolder {
    const present = this.#holders.get(shard)
    if (present !== undefined) return present
    const holder = new ShardHolder({ holder: this.holder, limits: modelLimits, nowMs: this.#world.nowMs })
    // One router per shard recalls and takes what is left; the others give back.
    holder.setCollector(this.#world.collectorOf(shard) === this.id)
    if (this.isDraining) holder.drain(this.#world.nowMs)
    this.#holders.set(shard, holder)
    return holder
  }

  #send (call: ModelCall, endpoint: string): void {
    this.calls.set(call.requestId, { call, endpoint })
    const target = this.#world.endpoints.get(endpoint)
    if (target === undefined) return
    this.#world.network.call<CallAnswer>({
      from: this.id,
      to: endpoint,
      kind: 'call',
      isRepeatable: true,
      handle: respond => { target.call(call, respond) },
      done: answer => { this.#ended(call, answer) }
    })
  }

  /** An answer ends the call; silence leaves it to `abandon`. */
  #ended (call: ModelCall, answer: CallAnswer | undefined): void {
    if (this.isLost || answer === undefined || !this.calls.delete(call.requestId)) return
    this.#settle(call, answer.kind === 'settled' ? answer.tokens : 0)
  }

  #settle (call: ModelCall, tokens: number): void {
    this.#settlements.set(call.requestId, { call, tokens })
    const home = this.#world.routerOfHolder(call.holder)
    if (home === undefined) {
      this.#settlements.delete(call.requestId)
      return
    }
    this.#world.network.call<true>({
      from: this.id,
      to: home.id,
      kind: 'settle',
      isRepeatable: true,
      handle: respond => { home.settleFor(call, tokens); respond(true) },
      done: isDone => { if (isDone) this.#settlements.delete(call.requestId) }
    })
  }

  #carryOut (shard: number, holder: ShardHolder, effects: readonly HolderEffect[]): void {
    for (const effect of effects) this.#carryOutOne(shard, holder, effect)
  }

  #carryOutOne (shard: number, holder: ShardHolder, effect: HolderEffect): void {
    const { network, store, truth } = this.#world
    switch (effect.kind) {
      case 'read':
        network.call<ReadOutcome>({
          from: this.id,
          to: 'store',
          kind: 'read',
          handle: respond => { respond(store.read(shard)) },
          done: outcome => { if (!this.isLost) this.#carryOut(shard, holder, holder.readDone(outcome ?? { kind: 'failed' }, this.#world.nowMs)) }
        })
        return
      case 'write':
        network.call<WriteOutcome>({
          from: this.id,
          to: 'store',
          kind: 'write',
          handle: respond => { respond(store.write(shard, effect.value, effect.expectedVersion)) },
          done: outcome => { if (!this.isLost) this.#carryOut(shard, holder, holder.writeDone(outcome ?? { kind: 'unknown' }, this.#world.nowMs)) }
        })
        return
      case 'recall':
        this.#recallAll(shard, holder, effect.holders, effect.budgets)
        return
      case 'answer':
        this.#answers.get(effect.id)?.(effect.answer)
        this.#answers.delete(effect.id)
        return
      case 'recalled':
        this.#recalled.get(effect.id)?.()
        this.#recalled.delete(effect.id)
        return
      case 'fenced':
        if (holder.holder === this.holder) this.#replaceHolder()
        return
      case 'orphan':
        truth.addSlack(effect.budget, effect.tokens)
        return
      case 'invariant':
        throw new Error(effect.detail)
      case 'holdersSeen':
    }
  }

  #recallAll (shard: number, holder: ShardHolder, holders: readonly string[], budgets: readonly string[]): void {
    let open = holders.length
    let areAllAnswered = true
    for (const other of holders) {
      const router = this.#world.routerOfHolder(other)
      const finish = (isDone: true | undefined) => {
        open -= 1
        areAllAnswered &&= isDone === true
        if (open === 0 && !this.isLost) this.#carryOut(shard, holder, holder.recallDone(budgets, areAllAnswered, this.#world.nowMs))
      }
      if (router === undefined) finish(undefined)
      else this.#world.network.call<true>({ from: this.id, to: router.id, kind: 'recall', handle: respond => { router.recallFor(shard, budgets, respond) }, done: finish })
    }
  }

  #carryOutReclaim (reclaim: HolderReclaim, effects: readonly ReclaimEffect[]): void {
    const perform = reclaimPerformer(this.#world, this, reclaim, next => { this.#carryOutReclaim(reclaim, next) })
    for (const effect of effects) perform(effect)
  }
}

function reclaimPerformer (world: BudgetWorld, router: ModelRouter, reclaim: HolderReclaim, proceed: (effects: readonly ReclaimEffect[]) => void) {
  const { network, store } = world
  const call = <Answer>(to: string, kind: string, answer: () => Answer, done: (given: Answer | undefined) => readonly ReclaimEffect[]) => {
    network.call<Answer>({
      from: router.id,
      to,
      kind,
      isRepeatable: true,
      handle: respond => { respond(answer()) },
      done: given => { if (!router.isLost) proceed(done(given)) }
    })
  }
  return (effect: ReclaimEffect): void => {
    switch (effect.kind) {
      case 'addFence':
        return call('store', 'addFence', () => world.addFence(reclaim.holder), isWritten => reclaim.fenceDone(isWritten === true, world.nowMs))
      case 'readRegistry':
        return call('store', 'readRegistry', () => store.readRegistry(), registry => reclaim.registryDone(registry, world.nowMs))
      case 'ask':
        return call(effect.endpoint.id, 'fence', () => world.endpoints.get(effect.endpoint.id)?.fence(reclaim.holder), entries => (
          entries === undefined ? [] : reclaim.answerDone(effect.endpoint.id, effect.endpoint.incarnation, entries, world.nowMs)))
      case 'readShard':
        return call('store', 'read', () => store.read(effect.shard), outcome => reclaim.readDone(outcome ?? { kind: 'failed' }, world.nowMs))
      case 'writeShard':
        world.noteClosing(effect.isWhollySpent, effect.unsettled)
        return call('store', 'write', () => store.write(effect.shard, effect.value, effect.expectedVersion), outcome => (
          reclaim.writeDone(outcome ?? { kind: 'unknown' }, world.nowMs)))
      case 'forget':
        return call(effect.endpoint.id, 'forget', () => { world.endpoints.get(effect.endpoint.id)?.forget(reclaim.holder) }, () => [])
      case 'invariant':
        throw new Error(effect.detail)
      case 'closed':
      case 'done':
    }
  }
}
