/** The simulated fleet of the budget benchmark: places, delays, partition and death, the platform, and what truly ran. */
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

export interface Place {
  readonly id: string
  readonly failureDomain: string
  readonly region: number
}

/** One-way delays in ms: within a failure domain, between two of a region, between regions, and to the platform. */
const delaysMs = { domain: 0.3, region: 1, regions: 8, platform: 3 }

export interface RunningRequest {
  readonly budget: string
  readonly reservedTokens: number
  readonly tokens: number
  readonly entry: FenceEntry
  readonly holder: string
  readonly endpointDomain: string
}

export class FleetModel {
  readonly events = new EventQueue()
  readonly options: FleetOptions
  readonly places: readonly Place[]
  readonly dead = new Set<string>()
  /** Routers that the registry does not list any more. */
  readonly unregistered = new Set<string>()
  isPartitioned = false
  writes = 0
  reads = 0
  bytes = 0
  readonly spentTokens = new Map<string, number>()
  readonly openTokens = new Map<string, number>()
  /** Entries of endpoints by holder. */
  readonly entries = new Map<string, Map<string, RunningRequest & { isSettled: boolean }>>()
  readonly fences = new Set<string>()
  readonly #shards: { version: number, value: BudgetShard }[]

  constructor (options: FleetOptions) {
    this.options = options
    this.places = Array.from({ length: options.routers }, (_, index) => {
      const domain = index % options.failureDomains
      return { id: `r${index}`, failureDomain: `d${domain}`, region: domain % options.regions }
    })
    this.#shards = Array.from({ length: options.shards }, () => ({ version: 0, value: emptyShard }))
    for (const [budget, grantedTokens] of options.budgets) {
      const stored = this.#stored(shardOf(budget, options.shards))
      stored.value = createBudget(stored.value, { budget, organisation: 'o', grantedTokens, operationId: 'create' }).unwrap()
    }
  }

  canReach (from: Place, to: Place): boolean {
    return !this.dead.has(to.id) && !(this.isPartitioned && from.region !== to.region)
  }

  delayMs (from: Place, to: Place): number {
    if (from.failureDomain === to.failureDomain) return delaysMs.domain
    return from.region === to.region ? delaysMs.region : delaysMs.regions
  }

  read (shard: number, done: (outcome: ReadOutcome) => void): void {
    this.reads += 1
    this.events.after(delaysMs.platform, () => {
      const { version, value } = this.#stored(shard)
      this.bytes += bytesOf(value)
      this.events.after(delaysMs.platform, () => { done({ kind: 'read', version, shard: value }) })
    })
  }

  write (shard: number, value: BudgetShard, expectedVersion: number, done: (outcome: WriteOutcome) => void): void {
    this.writes += 1
    this.bytes += bytesOf(value)
    this.events.after(delaysMs.platform, () => {
      const stored = this.#stored(shard)
      const isExpected = stored.version === expectedVersion
      if (isExpected) {
        stored.version += 1
        stored.value = value
      }
      const { version } = stored
      this.events.after(delaysMs.platform, () => { done(isExpected ? { kind: 'written', version } : { kind: 'conflict' }) })
    })
  }

  /** The present value, for measurements. */
  shard (shard: number): BudgetShard {
    return this.#stored(shard).value
  }

  /** Tokens that the budget could still pay for if nothing were stranded. */
  coverTokens (budget: string): number {
    return (this.options.budgets.get(budget) ?? 0) - (this.spentTokens.get(budget) ?? 0) - (this.openTokens.get(budget) ?? 0)
  }

  addOpen (budget: string, tokens: number): void {
    this.openTokens.set(budget, (this.openTokens.get(budget) ?? 0) + tokens)
  }

  /** A request ended at its endpoint. */
  end (request: RunningRequest): void {
    this.addOpen(request.budget, -request.reservedTokens)
    this.spentTokens.set(request.budget, (this.spentTokens.get(request.budget) ?? 0) + request.tokens)
  }

  get overspendTokens (): number {
    return [...this.options.budgets].reduce((sum, [budget, granted]) => sum + Math.max(0, (this.spentTokens.get(budget) ?? 0) - granted), 0)
  }

  #stored (shard: number): { version: number, value: BudgetShard } {
    const stored = this.#shards[shard]
    if (stored === undefined) throw new Error(`no shard ${shard}`)
    return stored
  }
}

const sizes = new WeakMap<BudgetShard, number>()

function bytesOf (shard: BudgetShard): number {
  const known = sizes.get(shard)
  if (known !== undefined) return known
  const size = JSON.stringify(encodeShard(shard)).length
  sizes.set(shard, size)
  return size
}
