/** Platform of the budget model: versioned shards, fences, the registry of endpoints, and outages. */
import type { ReadOutcome, ReclaimEndpoint, ReclaimRegistry, BudgetShard, WriteOutcome } from '@buckthorndrift/policy'
import { decodeShard, encodeShard } from '@buckthorndrift/coordination'

export class ModelStore {
  /** Whether the platform refuses calls. */
  isDown = false
  readonly fences = new Set<string>()
  readonly registry = new Map<string, ReclaimEndpoint>()
  hasLostEndpoint = false
  writes = 0
  reads = 0
  readonly #shards = new Map<number, { readonly version: number, readonly text: string }>()

  read (shard: number): ReadOutcome {
    this.reads += 1
    if (this.isDown) return { kind: 'failed' }
    return { kind: 'read', version: this.#shards.get(shard)?.version ?? 0, shard: this.currentShard(shard) }
  }

  write (shard: number, value: BudgetShard, expectedVersion: number): WriteOutcome {
    this.writes += 1
    if (this.isDown) return { kind: 'refused' }
    const version = this.#shards.get(shard)?.version ?? 0
    if (version !== expectedVersion) return { kind: 'conflict' }
    // Stored as JSON, so that every value is encoded and decoded as in the real store.
    this.#shards.set(shard, { version: version + 1, text: JSON.stringify(encodeShard(value)) })
    return { kind: 'written', version: version + 1 }
  }

  /** Returns the stored value, also during an outage. */
  currentShard (shard: number): BudgetShard {
    const stored = this.#shards.get(shard)
    return decodeShard(stored === undefined ? undefined : JSON.parse(stored.text)).unwrap()
  }

  readRegistry (): ReclaimRegistry | undefined {
    if (this.isDown) return undefined
    const endpoints = [...this.registry.values()]
    return { endpoints, liveVms: new Set(endpoints.map(endpoint => endpoint.vm)), handovers: [], hasLostEndpoint: this.hasLostEndpoint }
  }
}
