/** Maps budgets to shards, and ranks routers for a key by rendezvous hashing. */
import createHashes from 'xxhash-wasm'

const { h32 } = await createHashes()

/** Shard of a budget, in the range from 0 to `shards` - 1. */
export function shardOf (budget: string, shards: number): number {
  return h32(budget) % shards
}

/**
 * Ranks candidates for a key by rendezvous hashing, best first. When a candidate
 * leaves, only the keys for which it ranked first get another one.
 */
export function rankCandidates (key: string, ids: readonly string[]): readonly string[] {
  return ids
    .map(id => ({ id, weight: h32(`${key}/${id}`) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(candidate => candidate.id)
}
