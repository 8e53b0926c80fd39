/** Layout of the key directory: documents `directory/0` to `directory/63`. */
import { z } from 'zod'

/** 75,000 keys make about 200 KB per document. */
export const directoryShardCount = 64

export const directoryShardSchema = z.object({
  keys: z.record(z.string(), z.object({ organisation: z.string(), budget: z.string() }))
})

/** Shard of a key: the first byte of its SHA-256 modulo the number of shards. `hash` is in hex. */
export function directoryShardOf (hash: string): number {
  return Number.parseInt(hash.slice(0, 2), 16) % directoryShardCount
}

/** `directory/<shard>` */
export function directoryDocument (shard: number): string {
  return `directory/${shard}`
}
