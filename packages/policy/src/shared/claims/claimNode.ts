/**
 * All claim shards of one service as one endpoint process sees them, and the
 * changes of owner and witness that are this process's to make. Talks to the
 * rest of the world through ports only.
 */
import { ClaimShard } from './claimShard.ts'
import { caretakerOf, chooseWitness, createClaimLayout, isRegistered, shardLayout } from './claimLayout.ts'
import {
  isSameProcess, type ClaimAnswer, type ClaimCopy, type ClaimCopyAnswer, type ClaimLayout, type ClaimProcess, type ClaimRequest, type ClaimShardLayout
} from './claimTypes.ts'

export interface StoredLayout {
  /** 0 when there is no object. */
  readonly version: number
  readonly layout: ClaimLayout | undefined
}

/** Outcome of a conditional write; `version` is the new one. */
export type LayoutWrite = { readonly kind: 'written', readonly version: number } | { readonly kind: 'conflict' | 'unavailable' }

export interface ClaimPorts {
  /** Monotonic time in ms. */
  nowMs (): number
  /** Sends claims to a witness; `undefined` without an answer. */
  send (witness: ClaimProcess, copy: ClaimCopy): Promise<ClaimCopyAnswer | undefined>
  /** Reads the layout from the platform; `undefined` when it does not answer. */
  read (): Promise<StoredLayout | undefined>
  /** Writes if the version is still `expectedVersion`. After `unavailable` the write may have taken effect. */
  write (layout: ClaimLayout, expectedVersion: number): Promise<LayoutWrite>
  /** Registered endpoint processes of the service, without those that are leaving. */
  processes (): readonly ClaimProcess[]
  /** Whether the process can never answer again: its VM is gone or its slot runs a later life. */
  isGone (process: ClaimProcess): Promise<boolean>
  /** Notes a change for the log. */
  onChange (kind: 'takenOver' | 'lost', shards: number): void
}

export interface ClaimNodeOptions {
  readonly service: string
  readonly self: ClaimProcess
  /** Shards of a new layout. */
  readonly shards: number
  readonly retentionMs: number
  /** Most claims kept per shard. */
  readonly limit: number
  readonly ports: ClaimPorts
}

/** Changes of one shard; `undefined` leaves it as it is. */
type ShardPlan = (stored: ClaimShardLayout, shard: ClaimShard, index: number) => ClaimShardLayout | undefined

/** Interval at which shards move towards an even distribution, in ms. */
const moveIntervalMs = 5000
/** How long a silent process gets no shards, in ms; it might otherwise be chosen again and again. */
const avoidMs = 60_000
/** Rounds of a conditional update that meets other writers; there are few, and each round reads anew. */
const updateRounds = 5

export class ClaimNode {
  readonly #options: ClaimNodeOptions
  #shards: ClaimShard[] = []
  #stored: StoredLayout = { version: 0, layout: undefined }
  #lastChange: Promise<unknown> = Promise.resolve()
  #isLeaving = false
  #nextMoveMs = 0
  /** Until when processes that left a copy without an answer get no shards, in ms. */
  readonly #avoided = new Map<string, number>()

  constructor (options: ClaimNodeOptions) {
    this.#options = options
  }

  get layout (): ClaimLayout | undefined { return this.#stored.layout }

  /** Takes a stored layout; an older version has no effect. */
  applyLayout (stored: StoredLayout): void {
    if (stored.layout === undefined || stored.version <= this.#stored.version) return
    this.#stored = stored
    stored.layout.shards.forEach((layout, index) => { this.#shardAt(index).applyLayout(layout) })
  }

  /** Answers a router that asks for a claim. */
  async claim (request: ClaimRequest): Promise<ClaimAnswer> {
    const shard = this.#shardAt(request.shard)
    if (request.epoch > shard.epoch) await this.#refresh()
    if (shard.role === 'witness' && request.epoch === shard.epoch && shard.isWhole) return await this.#answerAsWitness(shard, request)
    const answer = await shard.claim(request)
    if (answer.kind !== 'unavailable') return answer
    await this.reconcile()
    const second = await shard.claim(request)
    if (second.kind !== 'unavailable') return second
    return { kind: 'unavailable', isKnownUnclaimed: await this.#isUnclaimed(shard, request) }
  }

  /** As witness: stores claims of the owner. */
  replicate (copy: ClaimCopy): ClaimCopyAnswer {
    return this.#shardAt(copy.shard).replicate(copy)
  }

  /** Takes a shard over from an owner that does not answer. False when that is not possible now. */
  async takeOver (index: number, epoch: number): Promise<boolean> {
    const shard = this.#shardAt(index)
    if (shard.epoch > epoch) return true
    await this.#change((stored, own, at) => at === index && stored.epoch === epoch ? this.#planTakeOver(stored, own, at) : undefined)
    return shard.epoch > epoch
  }

  /** Makes the changes that are due: a first layout, new witnesses, takeovers, shards that are lost altogether. */
  async reconcile (): Promise<void> {
    if (this.#isLeaving) return
    if (this.#stored.layout === undefined && !await this.#create()) return
    for (const shard of this.#shards) shard.retry()
    const gone = await this.#goneProcesses()
    const nowMs = this.#options.ports.nowMs()
    const mayMove = nowMs >= this.#nextMoveMs
    if (mayMove) this.#nextMoveMs = nowMs + moveIntervalMs
    const plan: ShardPlan = (stored, shard, index) =>
      this.#planTending(stored, shard, index, gone) ?? (mayMove ? this.#planMove(stored, shard, index) : undefined)
    if (this.#planAll(this.#stored.layout, plan) !== undefined) await this.#change(plan)
  }

  /** Gives the shards of this process to their witnesses. */
  async handOffShards (): Promise<void> {
    await this.reconcile()
    this.#isLeaving = true
    await this.#change((stored, shard, index) => {
      const { witness } = stored
      if (!this.#isOwner(stored, shard) || witness === undefined || !shard.isWitnessWhole || shard.isWitnessSilent) return undefined
      return shardLayout(stored.epoch + 1, witness, chooseWitness(index, witness, this.#others()), Math.ceil(shard.unknownForMs))
    })
  }

  #shardAt (index: number): ClaimShard {
    const { service, self, retentionMs, limit, ports } = this.#options
    this.#shards[index] ??= new ClaimShard({
      service, shard: index, self, retentionMs, limit, nowMs: () => ports.nowMs(), send: (witness, copy) => ports.send(witness, copy)
    })
    return this.#shards[index]
  }

  #others (): readonly ClaimProcess[] {
    return this.#options.ports.processes().filter(process => process.id !== this.#options.self.id)
  }

  #isAvoided (process: ClaimProcess): boolean {
    return (this.#avoided.get(lifeOf(process)) ?? 0) > this.#options.ports.nowMs()
  }

  async #answerAsWitness (shard: ClaimShard, request: ClaimRequest): Promise<ClaimAnswer> {
    const held = shard.find(request.claim.keyHash)
    if (held !== undefined) return { kind: 'held', claim: held }
    return { kind: 'unavailable', isKnownUnclaimed: await this.#isUnclaimed(shard, request) }
  }

  /**
   * Whether the key was certainly not claimed when the platform answered. The
   * epoch has to be read there: another process may have raised it unseen, and
   * then others may have granted the key.
   */
  async #isUnclaimed (shard: ClaimShard, request: ClaimRequest): Promise<boolean> {
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

  #planTending (stored: ClaimShardLayout, shard: ClaimShard, index: number, gone: ReadonlySet<string>): ClaimShardLayout | undefined {
    const { self, ports, retentionMs } = this.#options
    const registered = ports.processes()
    if (this.#isOwner(stored, shard)) return this.#planWitness(stored, shard, index)
    if (isRegistered(stored.owner, registered)) return undefined
    const isWitness = isSameProcess(stored.witness, self)
    if (isWitness && shard.isWhole) return this.#planTakeOver(stored, shard, index)
    const isWitnessLost = stored.witness === undefined || (isWitness && !shard.isWhole) || gone.has(lifeOf(stored.witness))
    if (!gone.has(lifeOf(stored.owner)) || !isWitnessLost) return undefined
    if (!isSameProcess(caretakerOf(index, registered), self)) return undefined
    return shardLayout(stored.epoch + 1, self, chooseWitness(index, self, this.#others()), retentionMs)
  }

  /** A new witness for a shard of this process, when the present one is absent, unregistered or silent. */
  #planWitness (stored: ClaimShardLayout, shard: ClaimShard, index: number): ClaimShardLayout | undefined {
    const { self } = this.#options
    const { witness } = stored
    const others = this.#others()
    if (witness !== undefined && shard.isWitnessSilent) this.#avoided.set(lifeOf(witness), this.#options.ports.nowMs() + avoidMs)
    const isUsable = witness !== undefined && isRegistered(witness, others) && !shard.isWitnessSilent
    if (isUsable) return undefined
    // A process that did not answer may stay registered for a minute; choosing it again would raise the epoch without end.
    const next = chooseWitness(index, self, others.filter(other => !isSameProcess(other, witness) && !this.#isAvoided(other)))
    if (next === undefined && witness === undefined) return undefined
    return shardLayout(stored.epoch + 1, self, next, Math.ceil(shard.unknownForMs))
  }

  /**
   * A step towards the owner that the rendezvous hash prefers: it becomes the
   * witness first, and the owner once it has the whole shard. Without this the
   * first process of a service would own every shard.
   */
  #planMove (stored: ClaimShardLayout, shard: ClaimShard, index: number): ClaimShardLayout | undefined {
    const { self, ports } = this.#options
    const registered = ports.processes()
    const preferred = caretakerOf(index, registered)
    if (!this.#isOwner(stored, shard) || !shard.isWitnessWhole || preferred === undefined || isSameProcess(preferred, self)) return undefined
    if (this.#isAvoided(preferred)) return undefined
    const unknownForMs = Math.ceil(shard.unknownForMs)
    if (!isSameProcess(stored.witness, preferred)) return shardLayout(stored.epoch + 1, self, preferred, unknownForMs)
    return shardLayout(stored.epoch + 1, preferred, chooseWitness(index, preferred, registered), unknownForMs)
  }

  #planTakeOver (stored: ClaimShardLayout, shard: ClaimShard, index: number): ClaimShardLayout | undefined {
    const { self } = this.#options
    const mayTakeOver = isSameProcess(stored.witness, self) && shard.role === 'witness' && shard.epoch === stored.epoch && shard.isWhole
    if (!mayTakeOver) return undefined
    const others = this.#others().filter(other => !isSameProcess(other, stored.owner))
    return shardLayout(stored.epoch + 1, self, chooseWitness(index, self, others), Math.ceil(shard.unknownForMs))
  }

  #planAll (layout: ClaimLayout | undefined, plan: ShardPlan): ClaimLayout | undefined {
    if (layout === undefined) return undefined
    const planned = layout.shards.map((stored, index) => plan(stored, this.#shardAt(index), index))
    if (planned.every(shard => shard === undefined)) return undefined
    return { shards: layout.shards.map((stored, index) => planned[index] ?? stored) }
  }

  /** Conditional update, one at a time: reads, plans, writes; a lost reply shows itself at the next read. */
  #change (plan: ShardPlan): Promise<void> {
    const change = this.#lastChange.then(() => this.#changeNow(plan))
    this.#lastChange = change.catch(() => {})
    return change
  }

  async #changeNow (plan: ShardPlan): Promise<void> {
    for (let round = 0; round < updateRounds; round += 1) {
      if (!await this.#refresh()) return
      const { layout, version } = this.#stored
      const next = this.#planAll(layout, plan)
      if (layout === undefined || next === undefined) return
      const outcome = await this.#options.ports.write(next, version)
      if (outcome.kind !== 'written') continue
      this.applyLayout({ version: outcome.version, layout: next })
      this.#note(layout, next)
      return
    }
  }

  #note (before: ClaimLayout, after: ClaimLayout): void {
    const { self, ports } = this.#options
    const taken = after.shards.filter((shard, index) => isSameProcess(shard.owner, self) && !isSameProcess(before.shards[index]?.owner, self))
    const lost = taken.filter((shard) => shard.unknownForMs === this.#options.retentionMs)
    if (taken.length > lost.length) ports.onChange('takenOver', taken.length - lost.length)
    if (lost.length > 0) ports.onChange('lost', lost.length)
  }

  async #create (): Promise<boolean> {
    const { ports, self, shards } = this.#options
    if (!await this.#refresh()) return false
    if (this.#stored.layout !== undefined) return true
    const registered = ports.processes()
    if (!isSameProcess(caretakerOf(0, registered), self)) return false
    const layout = createClaimLayout(shards, registered)
    if (layout === undefined) return false
    await ports.write(layout, 0)
    return await this.#refresh() && this.layout !== undefined
  }

  /** Lives in the layout that are not registered and can never answer again. */
  async #goneProcesses (): Promise<ReadonlySet<string>> {
    const registered = this.#options.ports.processes()
    const missing = new Map<string, ClaimProcess>()
    for (const { owner, witness } of this.#stored.layout?.shards ?? []) {
      for (const process of [owner, witness]) {
        if (process !== undefined && !isRegistered(process, registered)) missing.set(lifeOf(process), process)
      }
    }
    const checks = [...missing].map(async ([life, process]) => ({ life, isGone: await this.#options.ports.isGone(process) }))
    return new Set((await Promise.all(checks)).filter(({ isGone }) => isGone).map(({ life }) => life))
  }
}

function lifeOf (process: ClaimProcess): string {
  return `${process.id}.${process.incarnation}`
}
