/** Billing records of requests, and refusal accounts, which count refused requests. */
import { z } from 'zod'
import { outcomeSchema, reservationSchema } from './call.ts'

/** One billed request. A record may be stored more than once; readers deduplicate by `requestId`. */
export const billingRecordSchema = z.object({
  requestId: z.string(),
  organisation: z.string(),
  budget: z.string(),
  service: z.string(),
  version: z.string(),
  route: z.string(),
  tokens: z.number().int().nonnegative(),
  outcome: outcomeSchema,
  /** Wall-clock time at which the request ended, in ms since the Unix epoch. */
  atMs: z.number(),
  endpointId: z.string(),
  routerId: z.string(),
  reservation: reservationSchema
}).readonly()
export type BillingRecord = z.infer<typeof billingRecordSchema>

/** Counts the refusals with the same cause at one router in one second. The id of a refusal is `<accountId>.<n>`, with n from 1 to `count`. */
export const refusalAccountSchema = z.object({
  /** `<writer>.<number>`, where the writer is `<routerId>.<incarnation>` and numbers increase per writer. */
  accountId: z.string(),
  number: z.number().int().nonnegative(),
  organisation: z.string(),
  budget: z.string(),
  service: z.string(),
  reason: z.string(),
  verdict: z.enum(['notRun', 'mayHaveRun', 'ran']),
  routerId: z.string(),
  /** Start of the second in which the requests were refused, in ms since the Unix epoch. */
  secondMs: z.number(),
  count: z.number().int().positive()
}).readonly()
export type RefusalAccount = z.infer<typeof refusalAccountSchema>
