/** The holders of a router and the control handlers that other routers reach them by. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { fencesName, fencesSchema, holderName, homesOf, isHolderOf, type BudgetLimits } from '@buckthorndrift/policy'
import type { Documents, Membership, ObjectStore } from '@buckthorndrift/coordination'
import type { BudgetHandlers, RecallInput, ReserveInput, ReserveItemOutput, SettledSeqInput, SettleInput } from '@buckthorndrift/protocol'
import { HolderRunner } from './holderRunner.ts'
import type { LostHolders } from './lostHolders.ts'
import type { PeerCalls } from './peerCalls.ts'

export interface BudgetHomeOptions {
  readonly store: ObjectStore
  readonly membership: Membership
  readonly documents: Documents | undefined
  readonly timers: TimerService
  readonly log: Log
  readonly limits: BudgetLimits
  /** Undefined for a router on its own. */
  readonly peers: PeerCalls | undefined
}

/** How long a graceful shutdown waits for slices to be returned, in ms. */
const drainLimitMs = 10_000
const drainPollMs = 50

export class BudgetHome implements BudgetHandlers {
  readonly #options: BudgetHomeOptions
  readonly #runners = new Map<number, HolderRunner>()
  #holderNumber = 1
  #isDraining = false
  #lostHolders: LostHolders | undefined

  constructor (options: BudgetHomeOptions) {
    this.#options = options
    options.documents?.subscribe(fencesName, ({ value }) => {
      const fences = fencesSchema.safeParse(value)
      if (fences.success && fences.data.holders.includes(this.holder)) this.#replaceHolder(this.holder)
    })
  }

  /** Holder under which this router draws now. */
  get holder (): string {
    return holderName(this.#options.membership.self, this.#holderNumber)
  }

  /** Sets who learns of the holders seen in shards. */
  watchHolders (lostHolders: LostHolders): void {
    this.#lostHolders = lostHolders
  }

  async reserve (input: ReserveInput): Promise<readonly ReserveItemOutput[]> {
    return Promise.all(input.items.map(item => this.reserveHere(input.shard, item.budget, item.tokens)))
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

  async reserveHere (shard: number, budget: string, tokens: number, waitMs?: number): Promise<ReserveItemOutput> {
    const runner = this.#runnerOf(shard)
    const answer = await runner.reserve(budget, tokens, waitMs)
    if (answer.kind !== 'reserved') return answer
    return { kind: 'reserved', reservation: { holder: runner.holder, shard, seq: answer.seq, tokens }, settledSeq: answer.settledSeq }
  }

  tick (): void {
    for (const runner of this.#runners.values()) runner.tick()
  }

  /** The set of reachable routers changed, so homes may have moved. */
  updateCollectors (): void {
    for (const [shard, runner] of this.#runners) runner.setCollector(this.#isCollector(shard))
  }

  /** Returns all slices; gives up after a limit, and the slices are reclaimed later. */
  async drain (): Promise<void> {
    this.#isDraining = true
    const { timers, log } = this.#options
    const startedMs = timers.monotonicMs()
    for (const runner of this.#runners.values()) runner.drain()
    while ([...this.#runners.values()].some(runner => !runner.isEmpty)) {
      if (timers.monotonicMs() - startedMs >= drainLimitMs) {
        log.event('budgetSlicesNotReturned', { holder: this.holder })
        return
      }
      await new Promise<void>(resolve => { timers.after(drainPollMs, resolve) })
      this.tick()
    }
  }

  #isCollector (shard: number): boolean {
    const { membership } = this.#options
    const routers = membership.routers({ isReachable: true }).filter(router => !router.leaving)
    return homesOf(shard, membership.self.failureDomain, routers).collector === membership.self.id
  }

  #runnerOf (shard: number): HolderRunner {
    const present = this.#runners.get(shard)
    if (present !== undefined && present.holder === this.holder) return present
    const { store, timers, log, limits } = this.#options
    const runner = new HolderRunner({
      holder: this.holder,
      shard,
      limits,
      store,
      timers,
      log,
      recall: (recalledShard, holders, budgets) => this.#recallAll(recalledShard, holders, budgets),
      onFenced: holder => { this.#replaceHolder(holder) },
      onHoldersSeen: holders => { this.#lostHolders?.note(shard, holders) }
    })
    runner.setCollector(this.#isCollector(shard))
    if (this.#isDraining) runner.drain()
    this.#runners.set(shard, runner)
    return runner
  }

  /** Asks every holder that can be reached; false when one cannot. */
  async #recallAll (shard: number, holders: readonly string[], budgets: readonly string[]): Promise<boolean> {
    const { membership, peers } = this.#options
    const answered = await Promise.all(holders.map(async holder => {
      const peer = membership.routers({ isReachable: true }).find(router => isHolderOf(holder, router))
      if (peer === undefined || peer.id === membership.self.id || peers === undefined) return false
      try {
        await peers.recall(peer, shard, budgets)
        return true
      } catch {
        membership.noteUnreachable(peer.id)
        return false
      }
    }))
    return answered.every(Boolean)
  }

  /** Goes on under a new incarnation after a slice was closed by another router, or is about to be. */
  #replaceHolder (fenced: string): void {
    if (fenced !== this.holder) return
    this.#options.log.event('budgetHolderFenced', { holder: fenced })
    this.#holderNumber += 1
    for (const runner of this.#runners.values()) if (runner.holder === fenced) runner.fence()
  }
}
