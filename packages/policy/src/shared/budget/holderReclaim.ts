/**
 * Reclaims the slices of a lost holder: writes the fence, asks every endpoint
 * of the registry as it is after the fence, waits for running requests, closes
 * the slices of all shards, and only then lets the endpoints forget. It has no
 * sockets and no clock; every input returns the effects to carry out.
 */
import { assertShardWrite, BudgetInvariantError } from './invariants.ts'
import { closeSlices, holdersOf, type BudgetShard } from './shard.ts'
import { FenceAnswers, type FenceEntry, type ReclaimEndpoint, type ReclaimRegistry } from './fenceAnswers.ts'
import type { ReadOutcome, WriteOutcome } from './effects.ts'

export interface ReclaimLimits {
  /** How long running requests are waited for before they count with their whole reservation. */
  readonly reclaimWaitMs: number
  /** Time between two rounds of questions to endpoints, and before a failed step is repeated. */
  readonly reclaimAskMs: number
}

export const defaultReclaimLimits: ReclaimLimits = { reclaimWaitMs: 120_000, reclaimAskMs: 2000 }

export type ReclaimEffect =
  /** Add the holder to the object `fences`; answer with `fenceDone`. */
  | { readonly kind: 'addFence' }
  /** Read the registry of endpoints and the VM list now; answer with `registryDone`. */
  | { readonly kind: 'readRegistry' }
  /** Fence the holder at an endpoint; answer with `answerDone`, or not at all when it does not answer. */
  | { readonly kind: 'ask', readonly endpoint: ReclaimEndpoint }
  | { readonly kind: 'readShard', readonly shard: number }
  /** `unsettled` are running requests that count wholly; with `isWhollySpent` the whole slices do. */
  | { readonly kind: 'writeShard', readonly shard: number, readonly value: BudgetShard, readonly expectedVersion: number, readonly isWhollySpent: boolean, readonly unsettled: readonly FenceEntry[] }
  /** The slices are closed; the endpoint may drop its entries. */
  | { readonly kind: 'forget', readonly endpoint: ReclaimEndpoint }
  /** Slices of a shard were closed with these tokens returned to their budgets. */
  | { readonly kind: 'closed', readonly shard: number, readonly returnedTokens: number }
  | { readonly kind: 'invariant', readonly detail: string }
  | { readonly kind: 'done' }

type Stage = 'fence' | 'registry' | 'answers' | 'close' | 'done'

export interface ReclaimOptions {
  readonly holder: string
  readonly shards: number
  readonly limits: ReclaimLimits
  readonly nowMs: number
  /** Shards that are known to have slices of the holder; closed first. */
  readonly firstShards?: readonly number[]
}

export class HolderReclaim {
  readonly holder: string
  readonly #limits: ReclaimLimits
  readonly #answers = new FenceAnswers()
  readonly #remaining: number[]
  #stage: Stage = 'fence'
  #stepMs: number
  #allInMs: number | undefined
  #isStepPending = true
  #pendingWrite: { readonly before: BudgetShard, readonly after: BudgetShard } | undefined

  constructor (options: ReclaimOptions) {
    this.holder = options.holder
    this.#limits = options.limits
    this.#stepMs = options.nowMs
    const first = options.firstShards ?? []
    const others = Array.from({ length: options.shards }, (_, shard) => shard).filter(shard => !first.includes(shard))
    this.#remaining = [...first, ...others]
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
    this.#begin(nowMs)
    return [{ kind: 'readRegistry' }]
  }

  /** `registry` is undefined when it could not be read. */
  registryDone (registry: ReclaimRegistry | undefined, nowMs: number): readonly ReclaimEffect[] {
    if (registry === undefined) return this.#retryLater(nowMs)
    this.#answers.noteHandovers(registry.handovers)
    if (this.#stage === 'answers') {
      this.#answers.noteRegistry(registry)
      return this.#closeIfReady(nowMs)
    }
    if (this.#stage !== 'registry') return []
    this.#stage = 'answers'
    this.#answers.expect(registry.endpoints)
    if (registry.hasLostEndpoint) this.#answers.noteLostEndpoint()
    this.#begin(nowMs)
    const ready = this.#closeIfReady(nowMs)
    return ready.length > 0 ? ready : this.#answers.toAsk.map(endpoint => ({ kind: 'ask', endpoint }))
  }

  answerDone (endpointId: string, incarnation: string, entries: readonly FenceEntry[], nowMs: number): readonly ReclaimEffect[] {
    if (this.#stage !== 'answers') return []
    this.#answers.note(endpointId, incarnation, entries)
    return this.#closeIfReady(nowMs)
  }

  readDone (outcome: ReadOutcome, nowMs: number): readonly ReclaimEffect[] {
    if (this.#stage !== 'close') return []
    if (outcome.kind === 'failed') return this.#retryLater(nowMs)
    const shard = this.#remaining[0]
    if (shard === undefined || !holdersOf(outcome.shard).has(this.holder)) return this.#nextShard(nowMs)
    const after = closeSlices(outcome.shard, this.holder, (budget, slice, settledSeq) => this.#answers.spentOf(shard, budget, slice, settledSeq))
    try {
      assertShardWrite(outcome.shard, after, { kind: 'reclaim', holder: this.holder })
    } catch (error) {
      if (!(error instanceof BudgetInvariantError)) throw error
      this.#retryLater(nowMs)
      return [{ kind: 'invariant', detail: error.message }]
    }
    this.#begin(nowMs)
    this.#pendingWrite = { before: outcome.shard, after }
    return [{
      kind: 'writeShard',
      shard,
      value: after,
      expectedVersion: outcome.version,
      isWhollySpent: this.#answers.isUnknowable,
      unsettled: this.#answers.unsettledOf(shard)
    }]
  }

  writeDone (outcome: WriteOutcome, nowMs: number): readonly ReclaimEffect[] {
    const written = this.#pendingWrite
    const shard = this.#remaining[0]
    if (this.#stage !== 'close' || written === undefined || shard === undefined) return []
    this.#pendingWrite = undefined
    // Without a reply the next read shows whether the slices are closed.
    if (outcome.kind === 'conflict') return this.#readNext(nowMs)
    if (outcome.kind !== 'written') return this.#retryLater(nowMs)
    const closed: ReclaimEffect = {
      kind: 'closed',
      shard,
      returnedTokens: heldBy(written.before, this.holder) - spentDifference(written.before, written.after)
    }
    return [closed, ...this.#nextShard(nowMs)]
  }

  /** Called regularly: asks again and repeats failed steps. */
  tick (nowMs: number): readonly ReclaimEffect[] {
    if (this.#stage === 'done' || nowMs - this.#stepMs < this.#limits.reclaimAskMs) return []
    if (this.#stage === 'answers') {
      const ready = this.#closeIfReady(nowMs)
      if (ready.length > 0) return ready
      this.#begin(nowMs)
      const asks = this.#answers.toAsk.map(endpoint => ({ kind: 'ask', endpoint } as const))
      return this.#answers.areAllIn ? asks : [{ kind: 'readRegistry' }, ...asks]
    }
    if (this.#isStepPending) return []
    this.#begin(nowMs)
    if (this.#stage === 'fence') return [{ kind: 'addFence' }]
    if (this.#stage === 'registry') return [{ kind: 'readRegistry' }]
    return this.#readNext(nowMs)
  }

  #begin (nowMs: number): void {
    this.#stepMs = nowMs
    this.#isStepPending = true
  }

  #retryLater (nowMs: number): readonly ReclaimEffect[] {
    this.#stepMs = nowMs
    this.#isStepPending = false
    return []
  }

  #closeIfReady (nowMs: number): readonly ReclaimEffect[] {
    if (!this.#answers.areAllIn) return []
    this.#allInMs ??= nowMs
    const isWaiting = this.#answers.hasRunning && !this.#answers.isUnknowable && nowMs - this.#allInMs < this.#limits.reclaimWaitMs
    if (isWaiting) return []
    this.#stage = 'close'
    return this.#readNext(nowMs)
  }

  #nextShard (nowMs: number): readonly ReclaimEffect[] {
    this.#remaining.shift()
    return this.#readNext(nowMs)
  }

  #readNext (nowMs: number): readonly ReclaimEffect[] {
    this.#begin(nowMs)
    const shard = this.#remaining[0]
    if (shard !== undefined) return [{ kind: 'readShard', shard }]
    this.#stage = 'done'
    return [...this.#answers.endpoints.map(endpoint => ({ kind: 'forget', endpoint } as const)), { kind: 'done' }]
  }
}

function heldBy (shard: BudgetShard, holder: string): number {
  return [...shard.budgets.values()].flatMap(entry => entry.slices)
    .filter(slice => slice.holder === holder)
    .reduce((sum, slice) => sum + slice.capTokens, 0)
}

function spentDifference (before: BudgetShard, after: BudgetShard): number {
  const spent = (shard: BudgetShard) => [...shard.budgets.values()].reduce((sum, entry) => sum + entry.spentTokens, 0)
  return spent(after) - spent(before)
}
