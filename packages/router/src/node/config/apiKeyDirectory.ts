/** Directory of API keys: the organisation and budget of each key. */
import { createHash } from 'node:crypto'
import { directoryShardOf, directoryShardSchema, type DirectoryKey } from '@buckthorndrift/policy'

/** API keys of all directory shards received so far, by their SHA-256 hash. */
export class ApiKeyDirectory {
  readonly #shards = new Map<number, ReadonlyMap<string, DirectoryKey>>()

  /** Replaces a shard. Returns false and keeps the previous one if the value is malformed. */
  replaceShard (shard: number, value: unknown): boolean {
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
