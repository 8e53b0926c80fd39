/** The key directory: which organisation and budget an API key belongs to. */
import { createHash } from 'node:crypto'
import { directoryShardOf, directoryShardSchema, type DirectoryKey } from '@buckthorndrift/policy'

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
    const hash = createHash('sha256').update(apiKey).digest('hex')
    return this.#shards.get(directoryShardOf(hash))?.get(hash)
  }
}
