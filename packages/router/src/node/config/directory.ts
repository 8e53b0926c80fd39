/** The key directory: which organisation and budget an API key belongs to. */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import type { DirectoryKey } from '@buckthorndrift/policy'

/** Documents `directory/0` to `directory/63`; the shard of a key is its first hash byte modulo this. */
export const directoryShards = 64

const directoryShardSchema = z.object({
  keys: z.record(z.string(), z.object({ organisation: z.string(), budget: z.string() }))
})

/** Keys of all shards, as far as they are known. */
export class Directory {
  readonly #shards = new Map<number, ReadonlyMap<string, DirectoryKey>>()

  /** Replaces a shard. Returns false and keeps the old one when the value has another shape. */
  replace (shard: number, value: unknown): boolean {
    const parsed = directoryShardSchema.safeParse(value)
    if (!parsed.success) return false
    this.#shards.set(shard, new Map(Object.entries(parsed.data.keys)))
    return true
  }

  find (apiKey: string): DirectoryKey | undefined {
    const hash = createHash('sha256').update(apiKey).digest()
    return this.#shards.get((hash[0] ?? 0) % directoryShards)?.get(hash.toString('hex'))
  }
}
