/** Runs one shard holder: carries its effects out on the object store and on peers. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { ShardHolder, type BudgetLimits, type HolderEffect, type ReserveAnswer } from '@buckthorndrift/policy'
import type { ObjectStore } from '@buckthorndrift/coordination'
import { readShard, writeShard } from './shardCalls.ts'

export interface HolderRunnerOptions {
  readonly holder: string
  readonly shard: number
  readonly limits: BudgetLimits
  readonly store: ObjectStore
  readonly timers: TimerService
  readonly log: Log
  /** Asks holders for idle tokens; resolves with whether all of them answered. */
  recall (shard: number, holders: readonly string[], budgets: readonly string[]): Promise<boolean>
  onFenced (holder: string): void
  onHoldersSeen (holders: readonly string[]): void
}

export class HolderRunner {
  readonly #options: HolderRunnerOptions
  readonly #holder: ShardHolder
  readonly #waiting = new Map<number, (answer: ReserveAnswer) => void>()
  readonly #recalls = new Map<number, () => void>()
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
      this.#waiting.set(id, resolve)
      this.#carryOut(this.#holder.reserve(id, budget, tokens, this.#nowMs(), waitMs))
    })
  }

  settle (budget: string, seq: number, tokens: number): void {
    this.#carryOut(this.#holder.settle(budget, seq, tokens, this.#nowMs()))
  }

  /** Returns idle tokens of the budgets; resolves when that is written. */
  recall (budgets: readonly string[]): Promise<void> {
    const id = ++this.#lastId
    return new Promise(resolve => {
      this.#recalls.set(id, resolve)
      this.#carryOut(this.#holder.recall(id, budgets, this.#nowMs()))
    })
  }

  tick (): void {
    this.#carryOut(this.#holder.tick(this.#nowMs()))
  }

  drain (): void {
    this.#carryOut(this.#holder.drain(this.#nowMs()))
  }

  fence (): void {
    this.#carryOut(this.#holder.fence())
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #carryOut (effects: readonly HolderEffect[]): void {
    for (const effect of effects) this.#carryOutOne(effect)
  }

  #carryOutOne (effect: HolderEffect): void {
    const { log, shard, store } = this.#options
    switch (effect.kind) {
      case 'read':
        readShard(store, log, shard).then(outcome => { this.#carryOut(this.#holder.readDone(outcome, this.#nowMs())) })
        return
      case 'write':
        writeShard(store, log, shard, effect.value, effect.expectedVersion).then(outcome => { this.#carryOut(this.#holder.writeDone(outcome, this.#nowMs())) })
        return
      case 'recall':
        this.#options.recall(shard, effect.holders, effect.budgets)
          .then(areAllAnswered => { this.#carryOut(this.#holder.recallDone(effect.budgets, areAllAnswered, this.#nowMs())) })
        return
      case 'answer':
        this.#waiting.get(effect.id)?.(effect.answer)
        this.#waiting.delete(effect.id)
        return
      case 'recalled':
        this.#recalls.get(effect.id)?.()
        this.#recalls.delete(effect.id)
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
