/** The platform in the budget model: versioned objects, the registry of endpoints and outages. */
import type { ReadOutcome, ReclaimEndpoint, ReclaimRegistry, BudgetShard, WriteOutcome } from '@buckthorndrift/policy'
import { decodeShard, encodeShard } from '@buckthorndrift/coordination'

export class ModelStore {
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
    return { kind: 'read', version: this.#shards.get(shard)?.version ?? 0, shard: this.shard(shard) }
  }

  write (shard: number, value: BudgetShard, expectedVersion: number): WriteOutcome {
    this.writes += 1
    if (this.isDown) return { kind: 'refused' }
    const version = this.#shards.get(shard)?.version ?? 0
    if (version !== expectedVersion) return { kind: 'conflict' }
    // Text, so that the model passes every value through the stored form.
    this.#shards.set(shard, { version: version + 1, text: JSON.stringify(encodeShard(value)) })
    return { kind: 'written', version: version + 1 }
  }

  /** The present value, for checks. */
  shard (shard: number): BudgetShard {
    const stored = this.#shards.get(shard)
    return decodeShard(stored === undefined ? undefined : JSON.parse(stored.text)).unwrap()
  }

  readRegistry (): ReclaimRegistry | undefined {
    if (this.isDown) return undefined
    const endpoints = [...this.registry.values()]
    return { endpoints, liveVms: new Set(endpoints.map(endpoint => endpoint.vm)), handovers: [], hasLostEndpoint: this.hasLostEndpoint }
  }
}
