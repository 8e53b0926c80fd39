/** Budget slice holders of this router, and the control handlers through which other routers use them. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { fencesName, fencesSchema, holderName, homesOf, isHolderOf, type BudgetLimits } from '@buckthorndrift/policy'
import type { Documents, Membership, ObjectStore } from '@buckthorndrift/coordination'
import type { BudgetHandlers, RecallInput, ReserveInput, ReserveItemOutput, SettledSeqInput, SettleInput } from '@buckthorndrift/protocol'
import { HolderRunner } from './holderRunner.ts'
import type { LostHolderDetector } from './lostHolderDetector.ts'
import type { PeerBudgetClient } from './peerBudgetClient.ts'

export interface LocalHoldersOptions {
  readonly store: ObjectStore
  readonly membership: Membership
  readonly documents: Documents | undefined
  readonly timers: TimerService
  readonly log: Log
  readonly limits: BudgetLimits
  /** Undefined for a router that runs without a fleet. */
  readonly peerClient: PeerBudgetClient | undefined
}

/** Longest time that a graceful shutdown waits until all slices are returned. */
const drainLimitMs = 10_000
const drainPollIntervalMs = 50

/** Runs one holder per shard. All of them share the holder name of this router. */
export class LocalHolders implements BudgetHandlers {
  readonly #options: LocalHoldersOptions
  readonly #runners = new Map<number, HolderRunner>()
  #holderNumber = 1
  #isDraining = false
  #lostHolderDetector: LostHolderDetector | undefined

  constructor (options: LocalHoldersOptions) {
    this.#options = options
    options.documents?.subscribe(fencesName, ({ value }) => {
      const fences = fencesSchema.safeParse(value)
      if (fences.success && fences.data.holders.includes(this.holder)) this.#replaceHolder(this.holder)
    })
  }

  /** Holder name under which this router currently takes slices and reserves tokens. */
  get holder (): string {
    return holderName(this.#options.membership.self, this.#holderNumber)
  }

  /** Sets the detector that is told which holders have slices in a shard that was read. */
  setLostHolderDetector (detector: LostHolderDetector): void {
    this.#lostHolderDetector = detector
  }

  async reserve (input: ReserveInput): Promise<readonly ReserveItemOutput[]> {
    return Promise.all(input.items.map(item => this.reserveLocally(input.shard, item.budget, item.tokens)))
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

  /** Reserves from the slice of this router; waits at most `waitMs` for tokens. */
  async reserveLocally (shard: number, budget: string, tokens: number, waitMs?: number): Promise<ReserveItemOutput> {
    const runner = this.#runnerFor(shard)
    const answer = await runner.reserve(budget, tokens, waitMs)
    if (answer.kind !== 'reserved') return answer
    return { kind: 'reserved', reservation: { holder: runner.holder, shard, seq: answer.seq, tokens }, settledSeq: answer.settledSeq }
  }

  tick (): void {
    for (const runner of this.#runners.values()) runner.tick()
  }

  /** Decides again for each shard whether this router is its collector; called when the set of reachable routers changed. */
  updateCollectors (): void {
    for (const [shard, runner] of this.#runners) runner.setCollector(this.#isCollector(shard))
  }

  /** Returns all slices to the platform. Slices that are not returned within `drainLimitMs` are reclaimed later by another router. */
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
      await new Promise<void>(resolve => { timers.after(drainPollIntervalMs, resolve) })
      this.tick()
    }
  }

  /** Whether this router is the collector of the shard: its home router for the whole fleet, not only for one failure domain. */
  #isCollector (shard: number): boolean {
    const { membership } = this.#options
    const routers = membership.routers({ isReachable: true }).filter(router => !router.leaving)
    return homesOf(shard, membership.self.failureDomain, routers).collector === membership.self.id
  }

  #runnerFor (shard: number): HolderRunner {
    const existing = this.#runners.get(shard)
    if (existing !== undefined && existing.holder === this.holder) return existing
    const { store, timers, log, limits } = this.#options
    const runner = new HolderRunner({
      holder: this.holder,
      shard,
      limits,
      store,
      timers,
      log,
      recall: (recalledShard, holders, budgets) => this.#recallFromHolders(recalledShard, holders, budgets),
      onFenced: holder => { this.#replaceHolder(holder) },
      onHoldersSeen: holders => { this.#lostHolderDetector?.recordHolders(shard, holders) }
    })
    runner.setCollector(this.#isCollector(shard))
    if (this.#isDraining) runner.drain()
    this.#runners.set(shard, runner)
    return runner
  }

  /** Asks the routers of these holders to return idle tokens. Resolves to false if one of them is unreachable or does not answer. */
  async #recallFromHolders (shard: number, holders: readonly string[], budgets: readonly string[]): Promise<boolean> {
    const { membership, peerClient } = this.#options
    const answered = await Promise.all(holders.map(async holder => {
      const peer = membership.routers({ isReachable: true }).find(router => isHolderOf(holder, router))
      if (peer === undefined || peer.id === membership.self.id || peerClient === undefined) return false
      try {
        await peerClient.recall(peer, shard, budgets)
        return true
      } catch {
        membership.noteUnreachable(peer.id)
        return false
      }
    }))
    return answered.every(Boolean)
  }

  /** Switches to a new holder name if `fencedHolder` is the current one: another router has closed its slices or is about to. */
  #replaceHolder (fencedHolder: string): void {
    if (fencedHolder !== this.holder) return
    this.#options.log.event('budgetHolderFenced', { holder: fencedHolder })
    this.#holderNumber += 1
    for (const runner of this.#runners.values()) if (runner.holder === fencedHolder) runner.fence()
  }
}
