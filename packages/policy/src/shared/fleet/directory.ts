/** Layout of the API key directory, which is sharded over the documents `directory/0` to `directory/63`. */
import { z } from 'zod'

/** Number of shards. With 75,000 keys, a document has about 200 KB. */
export const directoryShardCount = 64

export const directoryShardSchema = z.object({
  keys: z.record(z.string(), z.object({ organisation: z.string(), budget: z.string() }))
})

/** Shard of an API key: the first byte of its SHA-256 modulo the number of shards. `hash` is in hex. */
export function directoryShardOf (hash: string): number {
  return Number.parseInt(hash.slice(0, 2), 16) % directoryShardCount
}

/** Name of the document that holds a shard. */
export function directoryDocument (shard: number): string {
  return `directory/${shard}`
}
