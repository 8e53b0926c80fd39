/** Stored objects: the fences of lost holders, and the entries that an endpoint process hands over when it shuts down. */
import { z } from 'zod'

/** Name of the document with the fenced holders. */
export const fencesName = 'fences'

/** Value of the document `fences`: holders whose slices are being closed or have been closed. */
export const fencesSchema = z.object({ holders: z.array(z.string()).readonly() }).readonly()
export type StoredFences = z.infer<typeof fencesSchema>

/** Name prefix of the handover objects of endpoint processes that have shut down. */
export const handoverPrefix = 'handovers/'

/** Name of the handover object that an endpoint process writes when it shuts down. */
export function handoverName (endpointId: string, incarnation: string): string {
  return `${handoverPrefix}${endpointId}.${incarnation}`
}

/**
 * Entries, by holder, whose settlement the holder had not stored when the endpoint
 * process shut down. The request of a `reserved` entry was cut off by the drain limit,
 * so the entry counts with its full reservation.
 */
export const handoverSchema = z.object({
  endpointId: z.string(),
  incarnation: z.string(),
  holders: z.record(z.string(), z.array(z.object({
    shard: z.number().int().nonnegative(),
    budget: z.string(),
    seq: z.number().int().nonnegative(),
    state: z.enum(['reserved', 'settled']),
    tokens: z.number().int().nonnegative()
  }).readonly()).readonly()).readonly()
}).readonly()
export type StoredHandover = z.infer<typeof handoverSchema>
