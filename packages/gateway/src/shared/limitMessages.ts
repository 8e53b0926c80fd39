/** Messages with which routers tell each other which limit an endpoint has named. */
import * as z from 'zod/mini'

const reportSchema = z.readonly(z.object({
  /** `null` if the endpoint named no limit. */
  requestsPerSecond: z.nullable(z.number().check(z.nonnegative())),
  /** Age of this knowledge in ms. */
  ageMs: z.number().check(z.nonnegative())
}))

export const limitMessageSchema = z.readonly(z.object({
  endpoint: z.string(),
  /** Start of the endpoint's incarnation, in ms since the Unix epoch; `null` if it does not tell. */
  startedAtMs: z.nullable(z.number()),
  report: reportSchema
}))
/** What a router knows of the limit of an endpoint. */
export type LimitMessage = z.infer<typeof limitMessageSchema>

/** The knowledge of the receiver, after it has taken over that of the sender. */
export const limitReplySchema = reportSchema
export type LimitReply = z.infer<typeof limitReplySchema>
