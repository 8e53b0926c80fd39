/** Runs this router's `ShardHolder` of one budget shard, and carries out the effects that it returns: reads and writes of the shard, and calls to other routers. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { ShardHolder, type BudgetLimits, type HolderEffect, type ReserveAnswer } from '@buckthorndrift/policy'
import type { ObjectStore } from '@buckthorndrift/coordination'
import { readShard, writeShard } from './shardStore.ts'

export interface HolderRunnerOptions {
  readonly holder: string
  readonly shard: number
  readonly limits: BudgetLimits
  readonly store: ObjectStore
  readonly timers: TimerService
  readonly log: Log
  /** Asks other holders to return idle tokens; resolves to whether all of them answered. */
  recall (shard: number, holders: readonly string[], budgets: readonly string[]): Promise<boolean>
  /** Called when another router has closed a slice of this holder. */
  onFenced (holder: string): void
  /** Called with all holders that have slices in the shard, each time it was read. */
  onHoldersSeen (holders: readonly string[]): void
}

export class HolderRunner {
  readonly #options: HolderRunnerOptions
  readonly #holder: ShardHolder
  readonly #pendingReservations = new Map<number, (answer: ReserveAnswer) => void>()
  readonly #pendingRecalls = new Map<number, () => void>()
  #lastId = 0

  constructor (options: HolderRunnerOptions) {
    this.#options = options
    this.#holder = new ShardHolder({ holder: options.holder, limits: options.limits, nowMs: options.timers.monotonicMs() })
  }

  get holder (): string {
    return this.#holder.holder
  }

  get flushedSeq (): number {
    return this.#holder.flushedSeq
  }

  get isEmpty (): boolean {
    return this.#holder.isEmpty
  }

  setCollector (isCollector: boolean): void {
    this.#holder.setCollector(isCollector)
  }

  reserve (budget: string, tokens: number, waitMs?: number): Promise<ReserveAnswer> {
    const id = ++this.#lastId
    return new Promise(resolve => {
      this.#pendingReservations.set(id, resolve)
      this.#runEffects(this.#holder.reserve(id, budget, tokens, this.#nowMs(), waitMs))
    })
  }

  settle (budget: string, seq: number, tokens: number): void {
    this.#runEffects(this.#holder.settle(budget, seq, tokens, this.#nowMs()))
  }

  /** Returns idle tokens of the budgets to the platform; resolves once that is written, or there was nothing to return. */
  recall (budgets: readonly string[]): Promise<void> {
    const id = ++this.#lastId
    return new Promise(resolve => {
      this.#pendingRecalls.set(id, resolve)
      this.#runEffects(this.#holder.recall(id, budgets, this.#nowMs()))
    })
  }

  tick (): void {
    this.#runEffects(this.#holder.tick(this.#nowMs()))
  }

  drain (): void {
    this.#runEffects(this.#holder.drain(this.#nowMs()))
  }

  fence (): void {
    this.#runEffects(this.#holder.fence())
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #runEffects (effects: readonly HolderEffect[]): void {
    for (const effect of effects) this.#runEffect(effect)
  }

  #runEffect (effect: HolderEffect): void {
    const { log, shard, store } = this.#options
    switch (effect.kind) {
      case 'read':
        readShard(store, log, shard).then(outcome => { this.#runEffects(this.#holder.readDone(outcome, this.#nowMs())) })
        return
      case 'write':
        writeShard(store, log, shard, effect.value, effect.expectedVersion).then(outcome => { this.#runEffects(this.#holder.writeDone(outcome, this.#nowMs())) })
        return
      case 'recall':
        this.#options.recall(shard, effect.holders, effect.budgets)
          .then(haveAllAnswered => { this.#runEffects(this.#holder.recallDone(effect.budgets, haveAllAnswered, this.#nowMs())) })
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
        this.#options.onFenced(this.holder)
        return
      case 'orphan':
        log.event('budgetReservationOrphaned', { shard, budget: effect.budget, seq: effect.seq, tokens: effect.tokens })
        return
      case 'invariant':
        log.event('budgetInvariantFailed', { shard, detail: effect.detail })
        return
      case 'holdersSeen':
        this.#options.onHoldersSeen(effect.holders)
    }
  }
}
