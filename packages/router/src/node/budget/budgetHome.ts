/** The holders of a router and the control handlers that other routers reach them by. */
import { Ok, type Result } from 'ts-results-es'
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { fail, notRun, shardOf, type BudgetLimits, type Failure } from '@buckthorndrift/policy'
import { ensureBudgetLayout, type Membership, type ObjectStore } from '@buckthorndrift/platform'
import type { BudgetHandlers, RecallInput, ReserveInput, ReserveItemOutput, SettledSeqInput, SettleInput } from '@buckthorndrift/protocol'
import type { BudgetService, HeldReservation } from '../../shared/services.ts'
import { HolderRunner } from './holderRunner.ts'

export interface BudgetHomeOptions {
  readonly store: ObjectStore
  readonly membership: Membership
  readonly timers: TimerService
  readonly log: Log
  readonly limits: BudgetLimits
}

export class BudgetHome implements BudgetHandlers {
  readonly #options: BudgetHomeOptions
  readonly #runners = new Map<number, HolderRunner>()
  #holder: string
  #holderNumber = 1
  #shards: Promise<number | undefined> | undefined

  constructor (options: BudgetHomeOptions) {
    this.#options = options
    this.#holder = `${options.membership.self.id}.${options.membership.self.incarnation}`
  }

  readonly service: BudgetService = {
    reserve: (budget, tokens, deadlineMs) => this.#reserveFor(budget, tokens, deadlineMs),
    settle: (budget, reservation, tokens) => { this.settle({ items: [{ budget, reservation, tokens }] }) }
  }

  async reserve (input: ReserveInput): Promise<readonly ReserveItemOutput[]> {
    return Promise.all(input.items.map(item => this.#reserveHere(input.shard, item.budget, item.tokens)))
  }

  async settle (input: SettleInput): Promise<void> {
    for (const { budget, reservation, tokens } of input.items) {
      const runner = this.#runners.get(reservation.shard)
      if (runner?.holder === reservation.holder) runner.settle(budget, reservation.seq, tokens)
    }
  }

  async recall (input: RecallInput): Promise<void> {
    await this.#runners.get(input.shard)?.recall(input.budgets)
  }

  async settledSeq (input: SettledSeqInput): Promise<number> {
    const runner = this.#runners.get(input.shard)
    return runner?.holder === input.holder ? runner.flushedSeq : -1
  }

  tick (): void {
    for (const runner of this.#runners.values()) runner.tick()
  }

  async drain (): Promise<void> {
    for (const runner of this.#runners.values()) runner.drain()
  }

  async #reserveFor (budget: string, tokens: number, deadlineMs: number): Promise<Result<HeldReservation, Failure>> {
    const shards = await this.#shardCount()
    if (shards === undefined) return fail(notRun, 'budgetUnavailable', 'the platform does not answer', this.#options.limits.recallMs)
    const answer = await this.#reserveHere(shardOf(budget, shards), budget, tokens, deadlineMs)
    switch (answer.kind) {
      case 'reserved': return Ok({ reservation: answer.reservation, settledSeq: answer.settledSeq })
      case 'exhausted': return fail(notRun, 'budgetExhausted', 'the budget does not cover the request', answer.retryAfterMs)
      case 'unavailable': return fail(notRun, 'budgetUnavailable', 'the budget cannot be checked now', answer.retryAfterMs)
    }
  }

  async #reserveHere (shard: number, budget: string, tokens: number, waitMs?: number): Promise<ReserveItemOutput> {
    const runner = this.#runnerOf(shard)
    const answer = await runner.reserve(budget, tokens, waitMs)
    if (answer.kind !== 'reserved') return answer
    return { kind: 'reserved', reservation: { holder: runner.holder, shard, seq: answer.seq, tokens }, settledSeq: answer.settledSeq }
  }

  #runnerOf (shard: number): HolderRunner {
    const present = this.#runners.get(shard)
    if (present !== undefined && present.holder === this.#holder) return present
    const { store, timers, log, limits } = this.#options
    const runner = new HolderRunner({
      holder: this.#holder,
      shard,
      limits,
      store,
      timers,
      log,
      recall: async () => false,
      onFenced: holder => { this.#replaceHolder(holder) },
      onHoldersSeen: () => {}
    })
    runner.setCollector(true)
    this.#runners.set(shard, runner)
    return runner
  }

  /** Goes on under a new incarnation after a slice was closed by another router. */
  #replaceHolder (fenced: string): void {
    if (fenced !== this.#holder) return
    this.#options.log.event('budgetHolderFenced', { holder: fenced })
    const { id, incarnation } = this.#options.membership.self
    this.#holderNumber += 1
    this.#holder = `${id}.${incarnation}-${this.#holderNumber}`
    for (const runner of this.#runners.values()) if (runner.holder === fenced) runner.fence()
  }

  async #shardCount (): Promise<number | undefined> {
    this.#shards ??= ensureBudgetLayout(this.#options.store).then(layout => layout.isOk() ? layout.value.shards : undefined)
    const shards = await this.#shards
    if (shards === undefined) this.#shards = undefined
    return shards
  }
}
