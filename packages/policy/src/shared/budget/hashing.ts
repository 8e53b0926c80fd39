/** Placement of budgets on shards and of shards on routers. */
import createHashes from 'xxhash-wasm'

const { h32 } = await createHashes()

/** Shard of a budget, from 0 to `shards` - 1. */
export function shardOf (budget: string, shards: number): number {
  return h32(budget) % shards
}

/**
 * Orders candidates for a key by rendezvous hashing, best first. When a
 * candidate leaves, only keys for which it was the best move to another one.
 */
export function rankCandidates (key: string, ids: readonly string[]): readonly string[] {
  return ids
    .map(id => ({ id, weight: h32(`${key}/${id}`) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(candidate => candidate.id)
}
