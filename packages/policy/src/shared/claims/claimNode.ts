/**
 * All claim shards of one service in one endpoint process. Plans and writes the
 * changes of owner and witness that this process is responsible for. All I/O
 * goes through `ClaimPorts`.
 */
import { ClaimShard } from './claimShard.ts'
import { findPreferredOwner, chooseWitness, createClaimLayout, isRegistered, createShardLayout } from './claimLayout.ts'
import {
  isSameProcess, type ClaimAnswer, type ClaimCopy, type ClaimCopyAnswer, type ClaimLayout, type ClaimProcess, type ClaimRequest, type ClaimShardLayout
} from './claimTypes.ts'

/** The layout as read from the platform. */
export interface StoredLayout {
  /** Version of the stored object; 0 when it does not exist. */
  readonly version: number
  readonly layout: ClaimLayout | undefined
}

/** Outcome of a conditional write; `version` is the version written. */
export type LayoutWrite = { readonly kind: 'written', readonly version: number } | { readonly kind: 'conflict' | 'unavailable' }

export interface ClaimPorts {
  /** Monotonic time in ms. */
  nowMs (): number
  /** Sends claims to a witness; resolves to `undefined` when it does not answer. */
  send (witness: ClaimProcess, copy: ClaimCopy): Promise<ClaimCopyAnswer | undefined>
  /** Reads the layout from the platform; resolves to `undefined` when the platform does not answer. */
  read (): Promise<StoredLayout | undefined>
  /** Writes the layout if the stored version is still `expectedVersion`. After `unavailable` the write may have taken effect. */
  write (layout: ClaimLayout, expectedVersion: number): Promise<LayoutWrite>
  /** Registered endpoint processes of the service, except those that are shutting down. */
  processes (): readonly ClaimProcess[]
  /** Whether the process can never answer again: its VM is gone, or a later incarnation is registered under its id. */
  isGone (process: ClaimProcess): Promise<boolean>
  /** Reports that this process became the owner of shards, either with their claims (`takenOver`) or without them (`lost`). */
  onChange (kind: 'takenOver' | 'lost', shards: number): void
}

export interface ClaimNodeOptions {
  readonly service: string
  readonly self: ClaimProcess
  /** Number of shards in a new layout. */
  readonly shards: number
  readonly retentionMs: number
  /** Maximum number of claims kept per shard. */
  readonly limit: number
  readonly ports: ClaimPorts
}

/** Plans the next layout of one shard; `undefined` leaves it unchanged. */
type ShardPlan = (stored: ClaimShardLayout, shard: ClaimShard, index: number) => ClaimShardLayout | undefined

/** Interval of the rebalancing steps that move shards towards an even distribution. */
const rebalanceIntervalMs = 5000
/** How long a process that did not answer is assigned no shards. Otherwise it might be chosen again and again. */
const silentProcessAvoidanceMs = 60_000
/** Attempts of a layout update that conflicts with other writers. Each attempt reads again, and there are few writers. */
const maxUpdateAttempts = 5

export class ClaimNode {
  readonly #options: ClaimNodeOptions
  #shards: ClaimShard[] = []
  #stored: StoredLayout = { version: 0, layout: undefined }
  #lastUpdate: Promise<unknown> = Promise.resolve()
  #isLeaving = false
  #nextRebalanceMs = 0
  /** Monotonic time until which an incarnation that did not answer a copy is assigned no shards. */
  readonly #avoidedUntilMs = new Map<string, number>()

  constructor (options: ClaimNodeOptions) {
    this.#options = options
  }

  get layout (): ClaimLayout | undefined { return this.#stored.layout }

  /** Applies a stored layout, unless its version is not newer. */
  applyLayout (stored: StoredLayout): void {
    if (stored.layout === undefined || stored.version <= this.#stored.version) return
    this.#stored = stored
    stored.layout.shards.forEach((layout, index) => { this.#shardAt(index).applyLayout(layout) })
  }

  /** Handles a claim request of a router. */
  async claim (request: ClaimRequest): Promise<ClaimAnswer> {
    const shard = this.#shardAt(request.shard)
    if (request.epoch > shard.epoch) await this.#refresh()
    if (shard.role === 'witness' && request.epoch === shard.epoch && shard.hasAllClaims) return await this.#answerAsWitness(shard, request)
    const answer = await shard.claim(request)
    if (answer.kind !== 'unavailable') return answer
    await this.reconcile()
    const secondAnswer = await shard.claim(request)
    if (secondAnswer.kind !== 'unavailable') return secondAnswer
    return { kind: 'unavailable', isKnownUnclaimed: await this.#isCertainlyUnclaimed(shard, request) }
  }

  /** Stores claims that an owner sends to this process as its witness. */
  replicate (copy: ClaimCopy): ClaimCopyAnswer {
    return this.#shardAt(copy.shard).replicate(copy)
  }

  /** Takes a shard over from an owner that does not answer. Resolves to false when that is not possible at present. */
  async takeOver (index: number, epoch: number): Promise<boolean> {
    const shard = this.#shardAt(index)
    if (shard.epoch > epoch) return true
    await this.#updateLayout((stored, ownShard, shardIndex) => shardIndex === index && stored.epoch === epoch ? this.#planTakeOver(stored, ownShard, shardIndex) : undefined)
    return shard.epoch > epoch
  }

  /**
   * Makes the layout changes that are due: creates the first layout, replaces
   * witnesses, takes over shards, reassigns shards whose claims are lost, and
   * rebalances shards.
   */
  async reconcile (): Promise<void> {
    if (this.#isLeaving) return
    if (this.#stored.layout === undefined && !await this.#createLayout()) return
    for (const shard of this.#shards) shard.resendPending()
    const gone = await this.#findGoneProcesses()
    const nowMs = this.#options.ports.nowMs()
    const mayRebalance = nowMs >= this.#nextRebalanceMs
    if (mayRebalance) this.#nextRebalanceMs = nowMs + rebalanceIntervalMs
    const plan: ShardPlan = (stored, shard, index) =>
      this.#planRepair(stored, shard, index, gone) ?? (mayRebalance ? this.#planRebalance(stored, shard, index) : undefined)
    if (this.#planLayout(this.#stored.layout, plan) !== undefined) await this.#updateLayout(plan)
  }

  /** Hands the shards of this process over to their witnesses, before it shuts down. */
  async handOffShards (): Promise<void> {
    await this.reconcile()
    this.#isLeaving = true
    await this.#updateLayout((stored, shard, index) => {
      const { witness } = stored
      if (!this.#isOwner(stored, shard) || witness === undefined || !shard.isWitnessInSync || shard.isWitnessSilent) return undefined
      return createShardLayout(stored.epoch + 1, witness, chooseWitness(index, witness, this.#otherProcesses()), Math.ceil(shard.unknownForMs))
    })
  }

  #shardAt (index: number): ClaimShard {
    const { service, self, retentionMs, limit, ports } = this.#options
    this.#shards[index] ??= new ClaimShard({
      service, shard: index, self, retentionMs, limit, nowMs: () => ports.nowMs(), send: (witness, copy) => ports.send(witness, copy)
    })
    return this.#shards[index]
  }

  #otherProcesses (): readonly ClaimProcess[] {
    return this.#options.ports.processes().filter(process => process.id !== this.#options.self.id)
  }

  #isAvoided (process: ClaimProcess): boolean {
    return (this.#avoidedUntilMs.get(incarnationKeyOf(process)) ?? 0) > this.#options.ports.nowMs()
  }

  async #answerAsWitness (shard: ClaimShard, request: ClaimRequest): Promise<ClaimAnswer> {
    const held = shard.find(request.claim.keyHash)
    if (held !== undefined) return { kind: 'held', claim: held }
    return { kind: 'unavailable', isKnownUnclaimed: await this.#isCertainlyUnclaimed(shard, request) }
  }

  /**
   * Whether the key was certainly not claimed when the platform answered. The
   * epoch must be read from the platform: another process may have raised it
   * without the knowledge of this one, and then may have granted the claim.
   */
  async #isCertainlyUnclaimed (shard: ClaimShard, request: ClaimRequest): Promise<boolean> {
    if (!await this.#refresh()) return false
    const stored = this.#stored.layout?.shards[request.shard]
    if (stored === undefined || stored.epoch !== shard.epoch || shard.role === 'none') return false
    return !shard.mayBeGranted(request.claim.keyHash)
  }

  async #refresh (): Promise<boolean> {
    const stored = await this.#options.ports.read()
    if (stored === undefined) return false
    this.applyLayout(stored)
    return true
  }

  #isOwner (stored: ClaimShardLayout, shard: ClaimShard): boolean {
    return isSameProcess(stored.owner, this.#options.self) && shard.role === 'owner' && shard.epoch === stored.epoch
  }

  /** Plans the replacement of a lost owner or witness, if this process is responsible for it. */
  #planRepair (stored: ClaimShardLayout, shard: ClaimShard, index: number, gone: ReadonlySet<string>): ClaimShardLayout | undefined {
    const { self, ports, retentionMs } = this.#options
    const registered = ports.processes()
    if (this.#isOwner(stored, shard)) return this.#planWitness(stored, shard, index)
    if (isRegistered(stored.owner, registered)) return undefined
    const isWitness = isSameProcess(stored.witness, self)
    if (isWitness && shard.hasAllClaims) return this.#planTakeOver(stored, shard, index)
    const isWitnessLost = stored.witness === undefined || (isWitness && !shard.hasAllClaims) || gone.has(incarnationKeyOf(stored.witness))
    if (!gone.has(incarnationKeyOf(stored.owner)) || !isWitnessLost) return undefined
    if (!isSameProcess(findPreferredOwner(index, registered), self)) return undefined
    return createShardLayout(stored.epoch + 1, self, chooseWitness(index, self, this.#otherProcesses()), retentionMs)
  }

  /** Plans a new witness for a shard that this process owns, when the current one is absent, unregistered or does not answer. */
  #planWitness (stored: ClaimShardLayout, shard: ClaimShard, index: number): ClaimShardLayout | undefined {
    const { self } = this.#options
    const { witness } = stored
    const others = this.#otherProcesses()
    if (witness !== undefined && shard.isWitnessSilent) this.#avoidedUntilMs.set(incarnationKeyOf(witness), this.#options.ports.nowMs() + silentProcessAvoidanceMs)
    const isUsable = witness !== undefined && isRegistered(witness, others) && !shard.isWitnessSilent
    if (isUsable) return undefined
    // A process that did not answer may stay registered for a minute. Choosing it again would raise the epoch indefinitely.
    const next = chooseWitness(index, self, others.filter(other => !isSameProcess(other, witness) && !this.#isAvoided(other)))
    if (next === undefined && witness === undefined) return undefined
    return createShardLayout(stored.epoch + 1, self, next, Math.ceil(shard.unknownForMs))
  }

  /**
   * Plans a step towards the owner that rendezvous hashing prefers. That process
   * becomes the witness first, and the owner once it has a full copy. Without
   * rebalancing, the first process of a service would own every shard.
   */
  #planRebalance (stored: ClaimShardLayout, shard: ClaimShard, index: number): ClaimShardLayout | undefined {
    const { self, ports } = this.#options
    const registered = ports.processes()
    const preferred = findPreferredOwner(index, registered)
    if (!this.#isOwner(stored, shard) || !shard.isWitnessInSync || preferred === undefined || isSameProcess(preferred, self)) return undefined
    if (this.#isAvoided(preferred)) return undefined
    const unknownForMs = Math.ceil(shard.unknownForMs)
    if (!isSameProcess(stored.witness, preferred)) return createShardLayout(stored.epoch + 1, self, preferred, unknownForMs)
    return createShardLayout(stored.epoch + 1, preferred, chooseWitness(index, preferred, registered), unknownForMs)
  }

  /** Plans the takeover of a shard by this process, its witness; `undefined` without a full copy under the current epoch. */
  #planTakeOver (stored: ClaimShardLayout, shard: ClaimShard, index: number): ClaimShardLayout | undefined {
    const { self } = this.#options
    const mayTakeOver = isSameProcess(stored.witness, self) && shard.role === 'witness' && shard.epoch === stored.epoch && shard.hasAllClaims
    if (!mayTakeOver) return undefined
    const others = this.#otherProcesses().filter(other => !isSameProcess(other, stored.owner))
    return createShardLayout(stored.epoch + 1, self, chooseWitness(index, self, others), Math.ceil(shard.unknownForMs))
  }

  #planLayout (layout: ClaimLayout | undefined, plan: ShardPlan): ClaimLayout | undefined {
    if (layout === undefined) return undefined
    const planned = layout.shards.map((stored, index) => plan(stored, this.#shardAt(index), index))
    if (planned.every(shard => shard === undefined)) return undefined
    return { shards: layout.shards.map((stored, index) => planned[index] ?? stored) }
  }

  /**
   * Reads, plans and conditionally writes the layout, one update at a time. When
   * the reply to a write is lost, the next read shows whether it took effect.
   */
  #updateLayout (plan: ShardPlan): Promise<void> {
    const change = this.#lastUpdate.then(() => this.#updateLayoutNow(plan))
    this.#lastUpdate = change.catch(() => {})
    return change
  }

  async #updateLayoutNow (plan: ShardPlan): Promise<void> {
    for (let attempt = 0; attempt < maxUpdateAttempts; attempt += 1) {
      if (!await this.#refresh()) return
      const { layout, version } = this.#stored
      const next = this.#planLayout(layout, plan)
      if (layout === undefined || next === undefined) return
      const outcome = await this.#options.ports.write(next, version)
      if (outcome.kind !== 'written') continue
      this.applyLayout({ version: outcome.version, layout: next })
      this.#reportOwnedShards(layout, next)
      return
    }
  }

  /** Reports the shards that a layout change gave to this process. */
  #reportOwnedShards (before: ClaimLayout, after: ClaimLayout): void {
    const { self, ports } = this.#options
    const newlyOwned = after.shards.filter((shard, index) => isSameProcess(shard.owner, self) && !isSameProcess(before.shards[index]?.owner, self))
    const lost = newlyOwned.filter((shard) => shard.unknownForMs === this.#options.retentionMs)
    if (newlyOwned.length > lost.length) ports.onChange('takenOver', newlyOwned.length - lost.length)
    if (lost.length > 0) ports.onChange('lost', lost.length)
  }

  async #createLayout (): Promise<boolean> {
    const { ports, self, shards } = this.#options
    if (!await this.#refresh()) return false
    if (this.#stored.layout !== undefined) return true
    const registered = ports.processes()
    if (!isSameProcess(findPreferredOwner(0, registered), self)) return false
    const layout = createClaimLayout(shards, registered)
    if (layout === undefined) return false
    await ports.write(layout, 0)
    return await this.#refresh() && this.layout !== undefined
  }

  /** Keys of the incarnations in the layout that are not registered and can never answer again. */
  async #findGoneProcesses (): Promise<ReadonlySet<string>> {
    const registered = this.#options.ports.processes()
    const missing = new Map<string, ClaimProcess>()
    for (const { owner, witness } of this.#stored.layout?.shards ?? []) {
      for (const process of [owner, witness]) {
        if (process !== undefined && !isRegistered(process, registered)) missing.set(incarnationKeyOf(process), process)
      }
    }
    const checks = [...missing].map(async ([key, process]) => ({ key, isGone: await this.#options.ports.isGone(process) }))
    return new Set((await Promise.all(checks)).filter(({ isGone }) => isGone).map(({ key }) => key))
  }
}

/** Key of one incarnation of a process. */
function incarnationKeyOf (process: ClaimProcess): string {
  return `${process.id}.${process.incarnation}`
}
