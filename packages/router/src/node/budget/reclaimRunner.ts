/** Runs the reclaim of the budget slices of a lost holder: fences it at the endpoint processes, collects what they ran, and closes its slices on the platform. */
import { createEndpointClient } from '@buckthorndrift/protocol'
import { departedEndpointsOf, membersOf, membersPrefix, updateObject, type DepartedEndpoint, type Documents, type ObjectStore } from '@buckthorndrift/coordination'
import {
  fencesName, fencesSchema, handoverName, handoverSchema, HolderReclaim,
  type ReclaimEffect, type ReclaimEndpoint, type ReclaimHandover, type ReclaimLimits, type ReclaimRegistry
} from '@buckthorndrift/policy'
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { readShard, writeShard } from './shardStore.ts'

export interface ReclaimRunnerOptions {
  readonly holder: string
  /** Number of shards of the layout. */
  readonly shards: number
  /** Shards that are known to have slices of the holder; their slices are closed first. */
  readonly firstShards: readonly number[]
  readonly limits: ReclaimLimits
  readonly store: ObjectStore
  readonly documents: Documents
  readonly timers: TimerService
  readonly log: Log
  readonly fleetSecret: string
  readonly timeoutMs: number
  /** Uniform in [0, 1). */
  readonly random: () => number
  onDone (): void
}

/** Maximum number of concurrent fence calls to endpoints, so that a reclaim does not slow down requests. */
const maxConcurrentFenceCalls = 32

/** Maximum number of objects listed per call. */
const listLimit = 1000

export class ReclaimRunner {
  readonly #options: ReclaimRunnerOptions
  readonly #reclaim: HolderReclaim
  readonly #controlUrls = new Map<string, string>()
  readonly #queuedFenceCalls: ReclaimEndpoint[] = []
  #activeFenceCalls = 0

  constructor (options: ReclaimRunnerOptions) {
    this.#options = options
    this.#reclaim = new HolderReclaim({ ...options, nowMs: options.timers.monotonicMs() })
    options.log.event('budgetReclaimStarted', { holder: options.holder })
    this.#runEffects(this.#reclaim.start())
  }

  get isDone (): boolean {
    return this.#reclaim.isDone
  }

  tick (): void {
    this.#runEffects(this.#reclaim.tick(this.#nowMs()))
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #runEffects (effects: readonly ReclaimEffect[]): void {
    for (const effect of effects) this.#runEffect(effect)
  }

  #runEffect (effect: ReclaimEffect): void {
    const { store, log, holder } = this.#options
    switch (effect.kind) {
      case 'addFence':
        this.#addFence().then(isWritten => { this.#runEffects(this.#reclaim.fenceDone(isWritten, this.#nowMs())) })
        return
      case 'readRegistry':
        this.#readRegistry().then(registry => { this.#runEffects(this.#reclaim.registryDone(registry, this.#nowMs())) })
        return
      case 'ask':
        this.#queuedFenceCalls.push(effect.endpoint)
        this.#startFenceCalls()
        return
      case 'readShard':
        readShard(store, log, effect.shard).then(outcome => { this.#runEffects(this.#reclaim.readDone(outcome, this.#nowMs())) })
        return
      case 'writeShard':
        if (effect.isWhollySpent) log.event('budgetSliceSpentWholly', { holder, shard: effect.shard })
        writeShard(store, log, effect.shard, effect.value, effect.expectedVersion)
          .then(outcome => { this.#runEffects(this.#reclaim.writeDone(outcome, this.#nowMs())) })
        return
      case 'forget':
        this.#clientFor(effect.endpoint.id)?.slices.forget.mutate({ holder }).catch(() => {})
        return
      case 'closed':
        log.event('budgetSlicesClosed', { holder, shard: effect.shard, returnedTokens: effect.returnedTokens })
        return
      case 'invariant':
        log.event('budgetInvariantFailed', { holder, detail: effect.detail })
        return
      case 'done':
        log.event('budgetReclaimDone', { holder })
        this.#options.onDone()
    }
  }

  async #addFence (): Promise<boolean> {
    const { store, documents, timers, random, holder } = this.#options
    const result = await updateObject(store, fencesName, stored => {
      const fences = fencesSchema.safeParse(stored?.value)
      const holders = fences.success ? fences.data.holders : []
      return holders.includes(holder) ? undefined : { holders: [...holders, holder] }
    }, { timers, random })
    if (result.isErr()) return false
    if (result.value.object !== undefined) documents.learn(result.value.object)
    return true
  }

  /** Reads the registry from the platform, because this process's copies of the member lists may be older than the fence. */
  async #readRegistry (): Promise<ReclaimRegistry | undefined> {
    const members = await this.#readObjects(membersPrefix)
    const vms = await this.#options.store.vms()
    if (members === undefined || vms.isErr()) return undefined
    const departed = members.flatMap(object => departedEndpointsOf(object))
    const handedOver = await this.#readHandovers(departed)
    if (handedOver === undefined) return undefined
    const endpoints = members.flatMap(object => membersOf(object)).filter(member => member.role === 'endpoint')
    for (const endpoint of endpoints) this.#controlUrls.set(endpoint.id, endpoint.controlUrl)
    const handovers = handedOver.flatMap(value => this.#parseHandover(value))
    const liveVms = new Set(vms.value.map(({ vm }) => vm))
    // Without a handover, nobody knows which reservations ran at a departed endpoint process.
    return { endpoints, liveVms, handovers, hasLostEndpoint: handovers.length < departed.length }
  }

  async #readHandovers (departed: readonly DepartedEndpoint[]): Promise<readonly unknown[] | undefined> {
    const values: unknown[] = []
    for (const { id, incarnation } of departed) {
      const stored = await this.#options.store.read(handoverName(id, incarnation))
      if (stored.isErr()) return undefined
      if (stored.value !== undefined) values.push(stored.value.value)
    }
    return values
  }

  #parseHandover (value: unknown): readonly ReclaimHandover[] {
    const handover = handoverSchema.safeParse(value)
    if (!handover.success) return []
    const { endpointId, incarnation, holders } = handover.data
    return [{ endpointId, incarnation, entries: Object.hasOwn(holders, this.#options.holder) ? holders[this.#options.holder] ?? [] : [] }]
  }

  /** All objects of a prefix; `undefined` if a call to the platform failed. */
  async #readObjects (prefix: string) {
    const { store } = this.#options
    const objects: { name: string, version: number, value: unknown }[] = []
    for (let after: string | undefined = ''; after !== undefined;) {
      const listed = await store.list(prefix, after === '' ? { limit: listLimit } : { after, limit: listLimit })
      if (listed.isErr()) return undefined
      for (const { name } of listed.value) {
        const stored = await store.read(name)
        if (stored.isErr()) return undefined
        if (stored.value !== undefined) objects.push(stored.value)
      }
      after = listed.value.length < listLimit ? undefined : listed.value.at(-1)?.name
    }
    return objects
  }

  #startFenceCalls (): void {
    while (this.#activeFenceCalls < maxConcurrentFenceCalls) {
      const endpoint = this.#queuedFenceCalls.shift()
      if (endpoint === undefined) return
      this.#activeFenceCalls += 1
      this.#fenceAt(endpoint).finally(() => {
        this.#activeFenceCalls -= 1
        this.#startFenceCalls()
      })
    }
  }

  /** Fences the holder at an endpoint and passes on which reservations ran there. */
  async #fenceAt (endpoint: ReclaimEndpoint): Promise<void> {
    try {
      const answer = await this.#clientFor(endpoint.id)?.slices.fence.mutate({ holder: this.#options.holder })
      if (answer === undefined) return
      this.#runEffects(this.#reclaim.answerDone(answer.endpointId, answer.incarnation, answer.entries, this.#nowMs()))
    } catch {
      // The reclaim repeats the call in its next round. Until a call succeeds, the slices stay open and their tokens unavailable.
    }
  }

  #clientFor (endpointId: string) {
    const url = this.#controlUrls.get(endpointId)
    const { fleetSecret, timeoutMs } = this.#options
    return url === undefined ? undefined : createEndpointClient({ url, fleetSecret, timeoutMs })
  }
}
