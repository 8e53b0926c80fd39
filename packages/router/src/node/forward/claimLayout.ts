/** The document `claims/<service>`: who owns and who witnesses each shard of idempotency keys. */
import { z } from 'zod'
import { endpointRefSchema } from '@buckthorndrift/protocol'

const shardSchema = z.object({
  owner: endpointRefSchema,
  witness: endpointRefSchema.optional(),
  epoch: z.number().int().nonnegative()
})
const layoutSchema = z.object({ shards: z.array(shardSchema).min(1) })

export type ClaimShard = z.infer<typeof shardSchema>
export type ClaimLayout = z.infer<typeof layoutSchema>

/** The layout; `undefined` while the service has none. */
export function claimLayoutOf (value: unknown): ClaimLayout | undefined {
  const parsed = layoutSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}

/** Shard of a key, by the first 32 bits of its hash. */
export function shardOfKey (keyHash: string, shardCount: number): number {
  return Number.parseInt(keyHash.slice(0, 8), 16) % shardCount
}
