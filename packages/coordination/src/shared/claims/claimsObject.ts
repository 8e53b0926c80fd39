/** Schema of the object `claims/<service>`, which assigns an owner and a witness (backup) to each shard of a service's idempotency keys. */
import { z } from 'zod'
import type { ClaimLayout } from '@buckthorndrift/policy'

/** Prefix of the objects that hold claim layouts. */
export const claimsPrefix = 'claims/'

/** Returns the name of the object with a service's claim layout. */
export function claimsName (service: string): string {
  return `${claimsPrefix}${service}`
}

const processSchema = z.object({
  id: z.string(),
  incarnation: z.string(),
  url: z.string(),
  vm: z.string(),
  failureDomain: z.string()
}).readonly()

/** A shard's number is its index in `shards`; `locateClaimShard` maps a key hash to its shard. */
export const claimsSchema = z.object({
  shards: z.array(z.object({
    epoch: z.number().int().positive(),
    owner: processSchema,
    witness: processSchema.optional(),
    /** Time after the start of this epoch during which the shard cannot tell whether a key that it does not know is already claimed. */
    unknownForMs: z.number().nonnegative()
  }).readonly()).min(1).readonly()
}).readonly()

/** Parses a stored claim layout; `undefined` if the value is malformed. */
export function claimLayoutOf (value: unknown): ClaimLayout | undefined {
  return claimsSchema.safeParse(value).data
}
