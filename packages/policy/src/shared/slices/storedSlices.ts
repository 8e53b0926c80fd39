/** Stored objects about fences and about entries that a leaving endpoint process hands over. */
import { z } from 'zod'

/** Name of the document with the fenced holders. */
export const fencesName = 'fences'

/** Value of `fences`: holders whose slices are being or were closed. */
export const fencesSchema = z.object({ holders: z.array(z.string()).readonly() }).readonly()
export type StoredFences = z.infer<typeof fencesSchema>

/** Prefix of the objects of endpoint processes that have left. */
export const handoverPrefix = 'handovers/'

/** Name of the object that a leaving endpoint process writes. */
export function handoverName (endpointId: string, incarnation: string): string {
  return `${handoverPrefix}${endpointId}.${incarnation}`
}

/** Entries by holder that were not flushed when the endpoint process left; a `reserved` one was cut off by the drain limit and counts wholly. */
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
