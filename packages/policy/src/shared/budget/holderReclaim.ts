/**
 * Reclaims the slices of a lost holder, as a state machine: it writes the
 * fence, then reads the registry and asks every endpoint listed there for the
 * holder's entries. It waits for running requests, closes the slices in all
 * shards, and only then tells the endpoints to drop their entries. It does no
 * I/O and reads no clock. Each method returns the effects to execute.
 */
import { assertShardWrite, BudgetInvariantError } from './invariants.ts'
import { closeSlices, holdersOf, type BudgetShard } from './shard.ts'
import { FenceAnswers, type FenceEntry, type ReclaimEndpoint, type ReclaimRegistry } from './fenceAnswers.ts'
import type { ReadOutcome, WriteOutcome } from './effects.ts'

export interface ReclaimLimits {
  /** Maximum wait for running requests; those that still run afterwards count with their full reservation. */
  readonly reclaimWaitMs: number
  /** Interval between two queries of the endpoints, and the delay before a failed step is retried. */
  readonly reclaimAskMs: number
}

export const defaultReclaimLimits: ReclaimLimits = { reclaimWaitMs: 120_000, reclaimAskMs: 2000 }

/** An action that the caller of `HolderReclaim` must execute. */
export type ReclaimEffect =
  /** Add the holder to the stored object `fences`, then call `fenceDone`. */
  | { readonly kind: 'addFence' }
  /** Read the registry of endpoints and the VM list from the platform, then call `registryDone`. */
  | { readonly kind: 'readRegistry' }
  /** Fence the holder at an endpoint, then call `answerDone` if the endpoint answers. */
  | { readonly kind: 'ask', readonly endpoint: ReclaimEndpoint }
  /** Read the shard, then call `readDone`. */
  | { readonly kind: 'readShard', readonly shard: number }
  /**
   * Write the shard, then call `writeDone`. `unsettled` are running requests that
   * count with their full reservation. With `isWhollySpent` the slices count as
   * spent up to their caps.
   */
  | { readonly kind: 'writeShard', readonly shard: number, readonly value: BudgetShard, readonly expectedVersion: number, readonly isWhollySpent: boolean, readonly unsettled: readonly FenceEntry[] }
  /** All slices are closed: tell the endpoint to drop its entries of the holder. */
  | { readonly kind: 'forget', readonly endpoint: ReclaimEndpoint }
  /** The holder's slices in a shard were closed and `returnedTokens` went back to their budgets. */
  | { readonly kind: 'closed', readonly shard: number, readonly returnedTokens: number }
  /** A write was withheld because it would break an invariant. */
  | { readonly kind: 'invariant', readonly detail: string }
  | { readonly kind: 'done' }

type Stage = 'fence' | 'registry' | 'answers' | 'close' | 'done'

export interface ReclaimOptions {
  readonly holder: string
  /** Number of shards. */
  readonly shards: number
  readonly limits: ReclaimLimits
  readonly nowMs: number
  /** Shards that are known to contain slices of the holder; they are processed first. */
  readonly firstShards?: readonly number[]
}

export class HolderReclaim {
  readonly holder: string
  readonly #limits: ReclaimLimits
  readonly #answers = new FenceAnswers()
  readonly #remainingShards: number[]
  #stage: Stage = 'fence'
  #lastStepMs: number
  #allAnsweredMs: number | undefined
  #isStepPending = true
  #pendingWrite: { readonly before: BudgetShard, readonly after: BudgetShard } | undefined

  constructor (options: ReclaimOptions) {
    this.holder = options.holder
    this.#limits = options.limits
    this.#lastStepMs = options.nowMs
    const first = options.firstShards ?? []
    const others = Array.from({ length: options.shards }, (_, shard) => shard).filter(shard => !first.includes(shard))
    this.#remainingShards = [...first, ...others]
  }

  get isDone (): boolean {
    return this.#stage === 'done'
  }

  start (): readonly ReclaimEffect[] {
    return [{ kind: 'addFence' }]
  }

  fenceDone (isWritten: boolean, nowMs: number): readonly ReclaimEffect[] {
    if (this.#stage !== 'fence' || !isWritten) return this.#retryLater(nowMs)
    this.#stage = 'registry'
    this.#beginStep(nowMs)
    return [{ kind: 'readRegistry' }]
  }

  /** Handles the result of `readRegistry`; `registry` is undefined when the read failed. */
  registryDone (registry: ReclaimRegistry | undefined, nowMs: number): readonly ReclaimEffect[] {
    if (registry === undefined) return this.#retryLater(nowMs)
    this.#answers.setHandovers(registry.handovers)
    if (this.#stage === 'answers') {
      this.#answers.applyRegistry(registry)
      return this.#closeIfReady(nowMs)
    }
    if (this.#stage !== 'registry') return []
    this.#stage = 'answers'
    this.#answers.setEndpoints(registry.endpoints)
    if (registry.hasLostEndpoint) this.#answers.markEndpointLost()
    this.#beginStep(nowMs)
    const ready = this.#closeIfReady(nowMs)
    return ready.length > 0 ? ready : this.#answers.pendingEndpoints.map(endpoint => ({ kind: 'ask', endpoint }))
  }

  answerDone (endpointId: string, incarnation: string, entries: readonly FenceEntry[], nowMs: number): readonly ReclaimEffect[] {
    if (this.#stage !== 'answers') return []
    this.#answers.recordAnswer(endpointId, incarnation, entries)
    return this.#closeIfReady(nowMs)
  }

  readDone (outcome: ReadOutcome, nowMs: number): readonly ReclaimEffect[] {
    if (this.#stage !== 'close') return []
    if (outcome.kind === 'failed') return this.#retryLater(nowMs)
    const shard = this.#remainingShards[0]
    if (shard === undefined || !holdersOf(outcome.shard).has(this.holder)) return this.#finishShard(nowMs)
    const after = closeSlices(outcome.shard, this.holder, (budget, slice, settledSeq) => this.#answers.spentTokensOf(shard, budget, slice, settledSeq))
    try {
      assertShardWrite(outcome.shard, after, { kind: 'reclaim', holder: this.holder })
    } catch (error) {
      if (!(error instanceof BudgetInvariantError)) throw error
      this.#retryLater(nowMs)
      return [{ kind: 'invariant', detail: error.message }]
    }
    this.#beginStep(nowMs)
    this.#pendingWrite = { before: outcome.shard, after }
    return [{
      kind: 'writeShard',
      shard,
      value: after,
      expectedVersion: outcome.version,
      isWhollySpent: this.#answers.isSpendUnknown,
      unsettled: this.#answers.runningEntriesOf(shard)
    }]
  }

  writeDone (outcome: WriteOutcome, nowMs: number): readonly ReclaimEffect[] {
    const written = this.#pendingWrite
    const shard = this.#remainingShards[0]
    if (this.#stage !== 'close' || written === undefined || shard === undefined) return []
    this.#pendingWrite = undefined
    // After a conflict or a missing reply, the next read shows whether the slices are already closed.
    if (outcome.kind === 'conflict') return this.#readNextShard(nowMs)
    if (outcome.kind !== 'written') return this.#retryLater(nowMs)
    const closed: ReclaimEffect = {
      kind: 'closed',
      shard,
      returnedTokens: sumCapTokens(written.before, this.holder) - addedSpentTokens(written.before, written.after)
    }
    return [closed, ...this.#finishShard(nowMs)]
  }

  /** Periodic work: asks the endpoints again and retries failed steps. */
  tick (nowMs: number): readonly ReclaimEffect[] {
    if (this.#stage === 'done' || nowMs - this.#lastStepMs < this.#limits.reclaimAskMs) return []
    if (this.#stage === 'answers') {
      const ready = this.#closeIfReady(nowMs)
      if (ready.length > 0) return ready
      this.#beginStep(nowMs)
      const asks = this.#answers.pendingEndpoints.map(endpoint => ({ kind: 'ask', endpoint } as const))
      return this.#answers.haveAllAnswered ? asks : [{ kind: 'readRegistry' }, ...asks]
    }
    if (this.#isStepPending) return []
    this.#beginStep(nowMs)
    if (this.#stage === 'fence') return [{ kind: 'addFence' }]
    if (this.#stage === 'registry') return [{ kind: 'readRegistry' }]
    return this.#readNextShard(nowMs)
  }

  #beginStep (nowMs: number): void {
    this.#lastStepMs = nowMs
    this.#isStepPending = true
  }

  #retryLater (nowMs: number): readonly ReclaimEffect[] {
    this.#lastStepMs = nowMs
    this.#isStepPending = false
    return []
  }

  #closeIfReady (nowMs: number): readonly ReclaimEffect[] {
    if (!this.#answers.haveAllAnswered) return []
    this.#allAnsweredMs ??= nowMs
    const isWaiting = this.#answers.hasRunningRequests && !this.#answers.isSpendUnknown && nowMs - this.#allAnsweredMs < this.#limits.reclaimWaitMs
    if (isWaiting) return []
    this.#stage = 'close'
    return this.#readNextShard(nowMs)
  }

  #finishShard (nowMs: number): readonly ReclaimEffect[] {
    this.#remainingShards.shift()
    return this.#readNextShard(nowMs)
  }

  #readNextShard (nowMs: number): readonly ReclaimEffect[] {
    this.#beginStep(nowMs)
    const shard = this.#remainingShards[0]
    if (shard !== undefined) return [{ kind: 'readShard', shard }]
    this.#stage = 'done'
    return [...this.#answers.endpoints.map(endpoint => ({ kind: 'forget', endpoint } as const)), { kind: 'done' }]
  }
}

function sumCapTokens (shard: BudgetShard, holder: string): number {
  return [...shard.budgets.values()].flatMap(entry => entry.slices)
    .filter(slice => slice.holder === holder)
    .reduce((sum, slice) => sum + slice.capTokens, 0)
}

function addedSpentTokens (before: BudgetShard, after: BudgetShard): number {
  const spent = (shard: BudgetShard) => [...shard.budgets.values()].reduce((sum, entry) => sum + entry.spentTokens, 0)
  return spent(after) - spent(before)
}
