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
  /** Counts by version group and route. */
  counts: z.array(z.object({ service: z.string(), version: z.string(), route: z.string(), completed: count, failed: count, latencyBuckets: z.array(count), gapBuckets: z._default(z.array(count), []) }))
}))
/** Reply of the controller to a report. */
export type ReportReply =
  | 'accepted'
  /** Accepted; the target is under suspicion, so its share is not increased. */
  | 'suspicious'
  /** The receiver does not control the rollout, or did not respond. */
  | 'rejected'

export type OutcomeReportMessage = z.infer<typeof outcomeReportSchema>
