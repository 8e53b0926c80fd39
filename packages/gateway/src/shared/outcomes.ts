/** Messages with which routers report the outcomes of requests to the controller of a rollout. */
import * as z from 'zod/mini'

const count = z.int().check(z.nonnegative())

export const outcomeReportSchema = z.readonly(z.object({
  service: z.string(),
  target: z.string(),
  /** Holder id of the reporting process. */
  routerId: z.string(),
  /** Increases with each report of this process. */
  interval: count,
  /** Whether the router has stopped the target because its own outcomes show a fault. */
  isStopped: z._default(z.boolean(), false),
  /** Counts by version group and route. */
  counts: z.array(z.object({ service: z.string(), version: z.string(), route: z.string(), completed: count, failed: count, latencyBuckets: z.array(count), gapBuckets: z._default(z.array(count), []) }))
}))

export type OutcomeReportMessage = z.infer<typeof outcomeReportSchema>

const stageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('trial') }),
  z.object({ kind: z.literal('ramp'), progressMs: z.number(), suspiciousMs: z.number() })
])

/** Reply of the controller to a report. */
export const reportReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted'), stage: stageSchema }),
  /** The target is bad and gets no more requests. */
  z.object({ kind: z.literal('stopped') }),
  /** The receiver does not control the rollout. */
  z.object({ kind: z.literal('rejected') })
])

export type ReportReply = z.infer<typeof reportReplySchema>
