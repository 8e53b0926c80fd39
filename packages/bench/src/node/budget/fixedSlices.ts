/** Baseline policy: each router has an equal, fixed slice of every budget, and periodically writes the shards in which it settled requests. */
import { shardOf } from '@buckthorndrift/policy'
import type { FleetModel, RouterNode, RunningRequest } from './fleetModel.ts'
import type { BudgetPolicy, Reservation } from './simulate.ts'

export class FixedSlices implements BudgetPolicy {
  readonly #fleet: FleetModel
  readonly #remainingTokens = new Map<string, number>()
  readonly #dirtyShards = new Map<string, Set<number>>()

  constructor (fleet: FleetModel, flushMs: number) {
    this.#fleet = fleet
    const flush = () => {
      // One write per router and shard. Other routers changed the version since the last flush, so each write needs a read as well.
      for (const shards of this.#dirtyShards.values()) {
        fleet.writes += shards.size
        fleet.reads += shards.size
        shards.clear()
      }
      fleet.events.after(flushMs, flush)
    }
    fleet.events.after(flushMs, flush)
  }

  reserve (node: RouterNode, budget: string, tokens: number, done: (reservation: Reservation | undefined) => void): void {
    const key = `${node.id} ${budget}`
    const remainingTokens = this.#remainingTokensOf(key, budget)
    if (remainingTokens < tokens) return done(undefined)
    this.#remainingTokens.set(key, remainingTokens - tokens)
    done({ holder: node.id, shard: shardOf(budget, this.#fleet.options.shards), seq: 0 })
  }

  settle (node: RouterNode, request: RunningRequest): void {
    const key = `${node.id} ${request.budget}`
    this.#remainingTokens.set(key, this.#remainingTokensOf(key, request.budget) + request.reservedTokens - request.tokens)
    const shards = this.#dirtyShards.get(node.id) ?? new Set<number>()
    this.#dirtyShards.set(node.id, shards.add(request.entry.shard))
  }

  strandedTokens (crashed: RouterNode): number {
    return [...this.#fleet.options.budgets.keys()].reduce((sum, budget) => sum + this.#remainingTokensOf(`${crashed.id} ${budget}`, budget), 0)
  }

  #remainingTokensOf (key: string, budget: string): number {
    const grantedTokens = this.#fleet.options.budgets.get(budget) ?? 0
    return this.#remainingTokens.get(key) ?? Math.floor(grantedTokens / this.#fleet.options.routers)
  }
}
