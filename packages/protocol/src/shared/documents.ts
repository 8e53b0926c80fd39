/** Documents: named, versioned values that processes pass on to each other. */
import { z } from 'zod'

/** One document as the platform stores it; a higher version replaces a lower one. */
export const documentSchema = z.object({
  name: z.string(),
  version: z.number().int().positive(),
  value: z.unknown()
}).readonly()
export type Document = z.infer<typeof documentSchema>

/** Versions by document name. */
export const digestSchema = z.record(z.string(), z.number().int()).readonly()
export type Digest = z.infer<typeof digestSchema>

/** A process in the registry, object `members/<failureDomain>`. */
export const memberSchema = z.object({
  /** Id of the process, unique in the fleet: `<vm>` or as set. */
  id: z.string(),
  incarnation: z.string(),
  role: z.enum(['router', 'endpoint']),
  vm: z.string(),
  failureDomain: z.string(),
  /** Base URL of the control listener; for endpoints also of the data listener. */
  controlUrl: z.string(),
  /** Service and version in front of which an endpoint process stands. */
  service: z.string().optional(),
  version: z.string().optional(),
  leaving: z.boolean()
}).readonly()
export type Member = z.infer<typeof memberSchema>
