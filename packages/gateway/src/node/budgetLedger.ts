/**
 * Keeps this router's slices of the prepaid budgets in step with the ledger
 * objects in the store. A request is admitted from the slice alone; the store is
 * written before a slice runs low, and in the last part of a budget for each
 * request.
 */
import type { Unsubscribe } from '@buckthorndrift/kernel'
import type { Organisation } from '../shared/fleet.ts'
import { heldElsewhereMs, LedgerShard, type LedgerOptions, type Reservation } from './ledgerShard.ts'

/** Organisations per ledger object when the layout is chosen. */
const organisationsPerShard = 16
const layoutName = 'layout'
/** Least time between two writes of one ledger object without a waiting request. */
const updateIntervalMs = 250
/** Size of the fleet that is assumed before the ledger was read. */
const unknownRouterCount = 32

export class BudgetLedger {
  readonly #options: LedgerOptions
  readonly #prepaid = new Map<string, number>()
  readonly #shards = new Map<number, LedgerShard>()
  #shardCount: number | undefined
  #isLoadingLayout = false

  readonly #stopTicking: Unsubscribe

  constructor (options: LedgerOptions) {
    this.#options = options
    this.#stopTicking = options.timers.every(updateIntervalMs, () => { this.#tick() })
  }

  /** Takes the prepaid budgets of a new configuration. */
  configure (organisations: readonly Organisation[]): void {
    this.#prepaid.clear()
    for (const organisation of organisations) {
      if (organisation.prepaidTokens !== undefined) this.#prepaid.set(organisation.name, organisation.prepaidTokens)
    }
    if (this.#prepaid.size > 0) void this.#loadLayout()
  }

  hasBudget (organisation: string): boolean {
    return this.#prepaid.has(organisation)
  }

  /** Reserves the largest size of a request of a rank, 0 being the most urgent, waiting for the store at most `maxWaitMs`. */
  reserve (organisation: string, tokens: number, rank: number, maxWaitMs: number): Promise<Reservation> | Reservation {
    if (this.#shardCount === undefined) {
      void this.#loadLayout()
      return { kind: 'unavailable', retryAfterMs: heldElsewhereMs }
    }
    const prepaidTokens = this.#prepaid.get(organisation) ?? 0
    if (tokens > prepaidTokens) return { kind: 'exhausted' }
    return this.#shardOf(organisation, this.#shardCount).reserve(organisation, tokens, rank, maxWaitMs)
  }

  /** Routers of the fleet, by the holders in the ledger; those that ended without a word count until their node comes back. */
  routerCount (): number {
    let count = 0
    for (const shard of this.#shards.values()) count = Math.max(count, shard.routerCount)
    return count === 0 ? unknownRouterCount : count
  }

  /** Whether the store is away and most slices are nearly spent, so that other routers serve better. */
  isStarved (): boolean {
    if (this.#prepaid.size === 0) return false
    if (this.#shardCount === undefined) return true
    return [...this.#shards.values()].some(shard => shard.isStarved())
  }

  /** Gives all unspent tokens back before the process ends. */
  async close (): Promise<void> {
    this.#stopTicking()
    await Promise.all([...this.#shards.values()].map(shard => shard.close()))
  }

  /** Stops without a word to the store. */
  abandon (): void {
    this.#stopTicking()
  }

  #shardOf (organisation: string, count: number): LedgerShard {
    const index = hashOf(organisation) % count
    let shard = this.#shards.get(index)
    if (shard === undefined) {
      shard = new LedgerShard(`shard-${index}`, this.#options, name => this.#prepaid.get(name))
      this.#shards.set(index, shard)
    }
    return shard
  }

  #tick (): void {
    if (this.#shardCount === undefined) {
      if (this.#prepaid.size > 0) void this.#loadLayout()
      return
    }
    for (const shard of this.#shards.values()) shard.update()
  }

  /** The number of ledger objects is chosen once for the fleet, because two layouts would grant a budget twice. */
  async #loadLayout (): Promise<void> {
    if (this.#shardCount !== undefined || this.#isLoadingLayout) return
    this.#isLoadingLayout = true
    try {
      const wanted = { shards: Math.max(1, Math.ceil(this.#prepaid.size / organisationsPerShard)) }
      const read = await this.#options.store.read('budgets', layoutName)
      const answer = read.isErr() && read.error.kind === 'notFound' ? await this.#options.store.create('budgets', layoutName, wanted) : read
      if (answer.isErr()) return
      const shards = (answer.value.value as { shards?: unknown } | undefined)?.shards
      if (typeof shards !== 'number' || !Number.isInteger(shards) || shards < 1) return
      this.#shardCount = shards
      for (const organisation of this.#prepaid.keys()) this.#shardOf(organisation, shards).slice(organisation)
      for (const shard of this.#shards.values()) shard.update()
    } finally {
      this.#isLoadingLayout = false
    }
  }
}

/** FNV-1a, 32 bits; the layout of the ledger depends on it. */
function hashOf (text: string): number {
  let hash = 0x811C9DC5
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  }
  return hash >>> 0
}
