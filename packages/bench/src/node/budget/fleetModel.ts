/** Simulated fleet of the budget bench: router nodes, network delays, a partition, crashes, the platform, and the tokens that requests spent. */
import { createBudget, emptyShard, shardOf, type BudgetShard, type FenceEntry, type ReadOutcome, type WriteOutcome } from '@buckthorndrift/policy'
import { encodeShard } from '@buckthorndrift/coordination'
import { EventQueue } from '../../shared/eventQueue.ts'

export interface FleetOptions {
  readonly routers: number
  readonly failureDomains: number
  readonly regions: number
  readonly shards: number
  /** Granted tokens by budget. */
  readonly budgets: ReadonlyMap<string, number>
  readonly seed: number
}

/** A router with its location. */
export interface RouterNode {
  readonly id: string
  readonly failureDomain: string
  readonly region: number
}

/** One-way network delays; `withinRegion` applies between two failure domains of one region. */
const oneWayDelaysMs = { withinDomain: 0.3, withinRegion: 1, betweenRegions: 8, toPlatform: 3 }

export interface RunningRequest {
  readonly budget: string
  readonly reservedTokens: number
  /** Tokens that the request spends when it ends. */
  readonly tokens: number
  /** Entry that the endpoint reports for this request when it fences the holder while the request runs. */
  readonly entry: FenceEntry
  /** Id of the router whose slice the reservation belongs to. */
  readonly holder: string
  readonly endpointDomain: string
}

export class FleetModel {
  readonly events = new EventQueue()
  readonly options: FleetOptions
  readonly nodes: readonly RouterNode[]
  readonly crashedIds = new Set<string>()
  /** Crashed routers that the registry no longer lists. */
  readonly deregisteredIds = new Set<string>()
  /** Whether routers in different regions cannot reach each other. */
  isPartitioned = false
  writes = 0
  reads = 0
  bytes = 0
  readonly spentTokens = new Map<string, number>()
  /** Reserved tokens of running requests by budget. */
  readonly inFlightTokens = new Map<string, number>()
  /** Running and settled requests of which endpoints keep a record, by the holder of the reservation and then by the reservation. */
  readonly requestsByHolder = new Map<string, Map<string, RunningRequest & { isSettled: boolean }>>()
  readonly fences = new Set<string>()
  readonly #shards: { version: number, value: BudgetShard }[]

  constructor (options: FleetOptions) {
    this.options = options
    this.nodes = Array.from({ length: options.routers }, (_, index) => {
      const domain = index % options.failureDomains
      return { id: `r${index}`, failureDomain: `d${domain}`, region: domain % options.regions }
    })
    this.#shards = Array.from({ length: options.shards }, () => ({ version: 0, value: emptyShard }))
    for (const [budget, grantedTokens] of options.budgets) {
      const stored = this.#storedShard(shardOf(budget, options.shards))
      stored.value = createBudget(stored.value, { budget, organisation: 'o', grantedTokens, operationId: 'create' }).unwrap()
    }
  }

  canReach (from: RouterNode, to: RouterNode): boolean {
    return !this.crashedIds.has(to.id) && !(this.isPartitioned && from.region !== to.region)
  }

  delayMs (from: RouterNode, to: RouterNode): number {
    if (from.failureDomain === to.failureDomain) return oneWayDelaysMs.withinDomain
    return from.region === to.region ? oneWayDelaysMs.withinRegion : oneWayDelaysMs.betweenRegions
  }

  read (shard: number, done: (outcome: ReadOutcome) => void): void {
    this.reads += 1
    this.events.after(oneWayDelaysMs.toPlatform, () => {
      const { version, value } = this.#storedShard(shard)
      this.bytes += encodedBytes(value)
      this.events.after(oneWayDelaysMs.toPlatform, () => { done({ kind: 'read', version, shard: value }) })
    })
  }

  write (shard: number, value: BudgetShard, expectedVersion: number, done: (outcome: WriteOutcome) => void): void {
    this.writes += 1
    this.bytes += encodedBytes(value)
    this.events.after(oneWayDelaysMs.toPlatform, () => {
      const stored = this.#storedShard(shard)
      const isVersionCurrent = stored.version === expectedVersion
      if (isVersionCurrent) {
        stored.version += 1
        stored.value = value
      }
      const { version } = stored
      this.events.after(oneWayDelaysMs.toPlatform, () => { done(isVersionCurrent ? { kind: 'written', version } : { kind: 'conflict' }) })
    })
  }

  /** Returns the stored value without a simulated platform call. */
  currentShard (shard: number): BudgetShard {
    return this.#storedShard(shard).value
  }

  /** Tokens of the budget that are neither spent nor reserved by a running request, wherever they are held. */
  availableTokens (budget: string): number {
    return (this.options.budgets.get(budget) ?? 0) - (this.spentTokens.get(budget) ?? 0) - (this.inFlightTokens.get(budget) ?? 0)
  }

  addInFlightTokens (budget: string, tokens: number): void {
    this.inFlightTokens.set(budget, (this.inFlightTokens.get(budget) ?? 0) + tokens)
  }

  /** Replaces the reservation of a request by its actual spend when the request ends at its endpoint. */
  completeRequest (request: RunningRequest): void {
    this.addInFlightTokens(request.budget, -request.reservedTokens)
    this.spentTokens.set(request.budget, (this.spentTokens.get(request.budget) ?? 0) + request.tokens)
  }

  get overspendTokens (): number {
    return [...this.options.budgets].reduce((sum, [budget, grantedTokens]) => sum + Math.max(0, (this.spentTokens.get(budget) ?? 0) - grantedTokens), 0)
  }

  #storedShard (shard: number): { version: number, value: BudgetShard } {
    const stored = this.#shards[shard]
    if (stored === undefined) throw new Error(`shard ${shard} does not exist`)
    return stored
  }
}

const encodedSizes = new WeakMap<BudgetShard, number>()

function encodedBytes (shard: BudgetShard): number {
  const cached = encodedSizes.get(shard)
  if (cached !== undefined) return cached
  const size = JSON.stringify(encodeShard(shard)).length
  encodedSizes.set(shard, size)
  return size
}
