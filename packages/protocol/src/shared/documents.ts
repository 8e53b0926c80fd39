/** Documents are named, versioned values that are stored in the platform and that processes exchange with each other. */
import { z } from 'zod'

/** A document as the platform stores it. A higher version replaces a lower one. */
export const documentSchema = z.object({
  name: z.string(),
  version: z.number().int().positive(),
  value: z.unknown()
}).readonly()
export type Document = z.infer<typeof documentSchema>

/** Versions of the documents that a process has, by document name. */
export const digestSchema = z.record(z.string(), z.number().int()).readonly()
export type Digest = z.infer<typeof digestSchema>

/** Registry entry of a process, stored in the object `members/<failureDomain>`. */
export const memberSchema = z.object({
  /** Unique in the fleet; the value of the setting `id`. */
  id: z.string(),
  /** Differs at each start of the process under the same id. */
  incarnation: z.string(),
  role: z.enum(['router', 'endpoint']),
  vm: z.string(),
  failureDomain: z.string(),
  /** Base URL of the control listener. In endpoint processes the same listener also serves the data API. */
  controlUrl: z.string(),
  /** Service and version of the back end of an endpoint process. Absent for routers. */
  service: z.string().optional(),
  version: z.string().optional(),
  /** Whether the process is shutting down gracefully. */
  leaving: z.boolean()
}).readonly()
export type Member = z.infer<typeof memberSchema>
