/** Billing records and refusal accounts. */
import { z } from 'zod'
import { outcomeSchema, reservationSchema } from './call.ts'

/** One billed request. Readers deduplicate by `requestId`. */
export const billingRecordSchema = z.object({
  requestId: z.string(),
  organisation: z.string(),
  budget: z.string(),
  service: z.string(),
  version: z.string(),
  route: z.string(),
  tokens: z.number().int().nonnegative(),
  outcome: outcomeSchema,
  /** Wall-clock time of the end, in ms since the Unix epoch. */
  atMs: z.number(),
  endpointId: z.string(),
  routerId: z.string(),
  reservation: reservationSchema
}).readonly()
export type BillingRecord = z.infer<typeof billingRecordSchema>

/** All refusals of one second with the same cause at one router. A refusal's id is `<accountId>.<n>`, n from 1 to `count`. */
export const refusalAccountSchema = z.object({
  /** `<writer>.<number>`; numbers increase per writer. */
  accountId: z.string(),
  number: z.number().int().nonnegative(),
  organisation: z.string(),
  budget: z.string(),
  service: z.string(),
  reason: z.string(),
  verdict: z.enum(['notRun', 'mayHaveRun', 'ran']),
  routerId: z.string(),
  /** Start of the second, in ms since the Unix epoch. */
  secondMs: z.number(),
  count: z.number().int().positive()
}).readonly()
export type RefusalAccount = z.infer<typeof refusalAccountSchema>
