/** The call from a router to an endpoint process: headers, trailer, problem body. */
import { z } from 'zod'

/** Names of the headers and trailers between router and endpoint process. */
export const callHeader = 'bd-call'
export const loadHeader = 'bd-load'
export const verdictHeader = 'bd-verdict'
export const requestIdHeader = 'bd-request-id'
export const settlementTrailer = 'bd-settlement'

/** Header with the fleet secret, as `Bearer <secret>`. */
export const fleetAuthorizationHeader = 'authorization'

const count = z.number().int().nonnegative()
const name = z.string().min(1).max(200)

/** A reservation of tokens under a slice of a budget. */
export const reservationSchema = z.object({
  /** `<routerId>.<incarnation>` */
  holder: name,
  shard: count,
  /** Increases per holder and shard. */
  seq: count,
  tokens: count
}).readonly()
export type Reservation = z.infer<typeof reservationSchema>

/** Header `bd-call`: what the endpoint process has to know about a call. */
export const callSchema = z.object({
  /** `<routerId>.<incarnation>.<sequence>` */
  requestId: name,
  organisation: name,
  budget: name,
  service: name,
  version: name,
  /** The matched call of the service, such as `POST /bookings`. */
  route: name,
  /** SHA-256 in hex of organisation and idempotency key. */
  keyHash: z.string().regex(/^[0-9a-f]{64}$/).optional(),
  idempotent: z.boolean(),
  priority: z.enum(['interactive', 'batch']),
  /** Time left in ms when the router sent the call. */
  deadlineMs: z.number().nonnegative(),
  reservation: reservationSchema,
  /** Cost in tokens of a plain call; absent for model calls, which cost what they use. */
  priceTokens: count.optional(),
  /** Highest flushed sequence of the holder in the reservation's shard. */
  settledSeq: z.number().int(),
  /** Hash in hex of service, route and body; crash evidence is kept by it. */
  contentHash: z.string().min(1).max(64),
  /** Base URL of the control listener of the router that sent the call. */
  routerUrl: z.string().max(300)
}).readonly()
export type Call = z.infer<typeof callSchema>

/** Header `bd-load`: load of an endpoint process when it answered. */
export const loadSchema = z.object({
  /** Requests handed to the back end and not finished. */
  inFlight: count,
  /** Most requests that the back end may hold. */
  limit: count,
  queued: count,
  leaving: z.boolean(),
  /** False after the back end fell over, until it answers again. */
  healthy: z.boolean()
}).readonly()
export type Load = z.infer<typeof loadSchema>

/** How a request ended, for billing. */
export const outcomeSchema = z.enum(['completed', 'cancelled', 'failed', 'notRun', 'lost'])
export type Outcome = z.infer<typeof outcomeSchema>

/** Trailer `bd-settlement`: the real cost of a call. */
export const settlementSchema = z.object({
  requestId: name,
  tokens: count,
  outcome: outcomeSchema
}).readonly()
export type Settlement = z.infer<typeof settlementSchema>

/** Body of a refusal, `application/problem+json`. */
export const problemSchema = z.object({
  type: z.string(),
  title: z.string(),
  status: z.number().int(),
  detail: z.string(),
  verdict: z.enum(['notRun', 'mayHaveRun', 'ran']),
  reason: z.string(),
  requestId: z.string(),
  retryAfterMs: z.number().optional()
}).readonly()
export type Problem = z.infer<typeof problemSchema>
