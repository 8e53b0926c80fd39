/** Baseline: each router has an equal, fixed slice of every budget and flushes shards in which it settled something. */
import { shardOf } from '@buckthorndrift/policy'
import type { FleetModel, Place, RunningRequest } from './fleetModel.ts'
import type { BudgetPolicy, Reserved } from './simulate.ts'

export class FixedSlices implements BudgetPolicy {
  readonly #fleet: FleetModel
  readonly #left = new Map<string, number>()
  readonly #dirty = new Map<string, Set<number>>()

  constructor (fleet: FleetModel, flushMs: number) {
    this.#fleet = fleet
    const flush = () => {
      // One write per shard and router; versions moved on since the last flush, so each needs a read too.
      for (const shards of this.#dirty.values()) {
        fleet.writes += shards.size
        fleet.reads += shards.size
        shards.clear()
      }
      fleet.events.after(flushMs, flush)
    }
    fleet.events.after(flushMs, flush)
  }

  reserve (place: Place, budget: string, tokens: number, done: (reserved: Reserved | undefined) => void): void {
    const key = `${place.id} ${budget}`
    const left = this.#leftOf(key, budget)
    if (left < tokens) return done(undefined)
    this.#left.set(key, left - tokens)
    done({ holder: place.id, shard: shardOf(budget, this.#fleet.options.shards), seq: 0 })
  }

  settle (place: Place, request: RunningRequest): void {
    const key = `${place.id} ${request.budget}`
    this.#left.set(key, this.#leftOf(key, request.budget) + request.reservedTokens - request.tokens)
    const dirty = this.#dirty.get(place.id) ?? new Set<number>()
    this.#dirty.set(place.id, dirty.add(request.entry.shard))
  }

  strandedTokens (dead: Place): number {
    return [...this.#fleet.options.budgets.keys()].reduce((sum, budget) => sum + this.#leftOf(`${dead.id} ${budget}`, budget), 0)
  }

  #leftOf (key: string, budget: string): number {
    const granted = this.#fleet.options.budgets.get(budget) ?? 0
    return this.#left.get(key) ?? Math.floor(granted / this.#fleet.options.routers)
  }
}
