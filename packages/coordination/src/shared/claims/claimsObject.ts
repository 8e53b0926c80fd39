/** Object `claims/<service>`: who owns and who witnesses each shard of idempotency keys. */
import { z } from 'zod'
import type { ClaimLayout } from '@buckthorndrift/policy'

/** Prefix of the layouts. */
export const claimsPrefix = 'claims/'

/** Name of the layout of a service. */
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

/** Index in `shards` is the shard; its key hashes are found with `findClaimPlace`. */
export const claimsSchema = z.object({
  shards: z.array(z.object({
    epoch: z.number().int().positive(),
    owner: processSchema,
    witness: processSchema.optional(),
    /** How long unknown keys cannot be judged after the change to this epoch, in ms. */
    unknownForMs: z.number().nonnegative()
  }).readonly()).min(1).readonly()
}).readonly()

/** The layout in a stored value, or `undefined`. */
export function claimLayoutOf (value: unknown): ClaimLayout | undefined {
  return claimsSchema.safeParse(value).data
}
