/** Carries the steps of a reclaim out on the platform and the endpoint processes. */
import { createEndpointClient } from '@buckthorndrift/protocol'
import { departedEndpointsOf, membersOf, membersPrefix, updateObject, type DepartedEndpoint, type Documents, type ObjectStore } from '@buckthorndrift/coordination'
import {
  fencesName, fencesSchema, handoverName, handoverSchema, HolderReclaim,
  type ReclaimEffect, type ReclaimEndpoint, type ReclaimHandover, type ReclaimLimits, type ReclaimRegistry
} from '@buckthorndrift/policy'
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { readShard, writeShard } from './shardCalls.ts'

export interface ReclaimRunnerOptions {
  readonly holder: string
  readonly shards: number
  readonly firstShards: readonly number[]
  readonly limits: ReclaimLimits
  readonly store: ObjectStore
  readonly documents: Documents
  readonly timers: TimerService
  readonly log: Log
  readonly fleetSecret: string
  readonly timeoutMs: number
  /** Numbers from 0 below 1. */
  readonly random: () => number
  onDone (): void
}

/** Endpoints asked at the same time, so that a reclaim does not crowd out requests. */
const parallelAsks = 32

/** Most objects of one prefix that are listed per call. */
const listLimit = 1000

export class ReclaimRunner {
  readonly #options: ReclaimRunnerOptions
  readonly #reclaim: HolderReclaim
  readonly #urls = new Map<string, string>()
  readonly #asks: ReclaimEndpoint[] = []
  #activeAsks = 0

  constructor (options: ReclaimRunnerOptions) {
    this.#options = options
    this.#reclaim = new HolderReclaim({ ...options, nowMs: options.timers.monotonicMs() })
    options.log.event('budgetReclaimStarted', { holder: options.holder })
    this.#carryOut(this.#reclaim.start())
  }

  get isDone (): boolean {
    return this.#reclaim.isDone
  }

  tick (): void {
    this.#carryOut(this.#reclaim.tick(this.#nowMs()))
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #carryOut (effects: readonly ReclaimEffect[]): void {
    for (const effect of effects) this.#carryOutOne(effect)
  }

  #carryOutOne (effect: ReclaimEffect): void {
    const { store, log, holder } = this.#options
    switch (effect.kind) {
      case 'addFence':
        this.#addFence().then(isWritten => { this.#carryOut(this.#reclaim.fenceDone(isWritten, this.#nowMs())) })
        return
      case 'readRegistry':
        this.#readRegistry().then(registry => { this.#carryOut(this.#reclaim.registryDone(registry, this.#nowMs())) })
        return
      case 'ask':
        this.#asks.push(effect.endpoint)
        this.#startAsks()
        return
      case 'readShard':
        readShard(store, log, effect.shard).then(outcome => { this.#carryOut(this.#reclaim.readDone(outcome, this.#nowMs())) })
        return
      case 'writeShard':
        if (effect.isWhollySpent) log.event('budgetSliceSpentWholly', { holder, shard: effect.shard })
        writeShard(store, log, effect.shard, effect.value, effect.expectedVersion)
          .then(outcome => { this.#carryOut(this.#reclaim.writeDone(outcome, this.#nowMs())) })
        return
      case 'forget':
        this.#clientOf(effect.endpoint.id)?.slices.forget.mutate({ holder }).catch(() => {})
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
    const result = await updateObject(store, fencesName, present => {
      const fences = fencesSchema.safeParse(present?.value)
      const holders = fences.success ? fences.data.holders : []
      return holders.includes(holder) ? undefined : { holders: [...holders, holder] }
    }, { timers, random })
    if (result.isErr()) return false
    if (result.value.object !== undefined) documents.learn(result.value.object)
    return true
  }

  /** Reads the registry from the platform and not from documents, which may be older than the fence. */
  async #readRegistry (): Promise<ReclaimRegistry | undefined> {
    const members = await this.#readAll(membersPrefix)
    const vms = await this.#options.store.vms()
    if (members === undefined || vms.isErr()) return undefined
    const departed = members.flatMap(object => departedEndpointsOf(object))
    const handedOver = await this.#readHandovers(departed)
    if (handedOver === undefined) return undefined
    const endpoints = members.flatMap(object => membersOf(object)).filter(member => member.role === 'endpoint')
    for (const endpoint of endpoints) this.#urls.set(endpoint.id, endpoint.controlUrl)
    const handovers = handedOver.flatMap(value => this.#handoverOf(value))
    const liveVms = new Set(vms.value.map(({ vm }) => vm))
    // What a process ran that left no handover is not known.
    return { endpoints, liveVms, handovers, hasLostEndpoint: handovers.length < departed.length }
  }

  async #readHandovers (departed: readonly DepartedEndpoint[]): Promise<readonly unknown[] | undefined> {
    const values: unknown[] = []
    for (const { id, incarnation } of departed) {
      const present = await this.#options.store.read(handoverName(id, incarnation))
      if (present.isErr()) return undefined
      if (present.value !== undefined) values.push(present.value.value)
    }
    return values
  }

  #handoverOf (value: unknown): readonly ReclaimHandover[] {
    const handover = handoverSchema.safeParse(value)
    if (!handover.success) return []
    const { endpointId, incarnation, holders } = handover.data
    return [{ endpointId, incarnation, entries: Object.hasOwn(holders, this.#options.holder) ? holders[this.#options.holder] ?? [] : [] }]
  }

  async #readAll (prefix: string) {
    const { store } = this.#options
    const objects: { name: string, version: number, value: unknown }[] = []
    for (let after: string | undefined = ''; after !== undefined;) {
      const listed = await store.list(prefix, after === '' ? { limit: listLimit } : { after, limit: listLimit })
      if (listed.isErr()) return undefined
      for (const { name } of listed.value) {
        const present = await store.read(name)
        if (present.isErr()) return undefined
        if (present.value !== undefined) objects.push(present.value)
      }
      after = listed.value.length < listLimit ? undefined : listed.value.at(-1)?.name
    }
    return objects
  }

  #startAsks (): void {
    while (this.#activeAsks < parallelAsks) {
      const endpoint = this.#asks.shift()
      if (endpoint === undefined) return
      this.#activeAsks += 1
      this.#ask(endpoint).finally(() => {
        this.#activeAsks -= 1
        this.#startAsks()
      })
    }
  }

  async #ask (endpoint: ReclaimEndpoint): Promise<void> {
    try {
      const answer = await this.#clientOf(endpoint.id)?.slices.fence.mutate({ holder: this.#options.holder })
      if (answer === undefined) return
      this.#carryOut(this.#reclaim.answerDone(answer.endpointId, answer.incarnation, answer.entries, this.#nowMs()))
    } catch {
      // The next round asks again; until then the slices stay counted as spent.
    }
  }

  #clientOf (endpointId: string) {
    const url = this.#urls.get(endpointId)
    const { fleetSecret, timeoutMs } = this.#options
    return url === undefined ? undefined : createEndpointClient({ url, fleetSecret, timeoutMs })
  }
}
