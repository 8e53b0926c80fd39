/** The HTTP call by which a router sends a request to an endpoint process: headers, trailer and problem body. */
import { z } from 'zod'

/** Names of headers and trailers; their values are described at the schemas below. */
export const callHeader = 'bd-call'
export const loadHeader = 'bd-load'
export const verdictHeader = 'bd-verdict'
export const requestIdHeader = 'bd-request-id'
export const settlementTrailer = 'bd-settlement'

/** Header that carries the fleet secret, as `Bearer <secret>`. */
export const fleetAuthorizationHeader = 'authorization'

const nonNegativeInteger = z.number().int().nonnegative()
const shortText = z.string().min(1).max(200)

/** Tokens reserved from a budget slice, which is the part of a budget that one holder may spend. */
export const reservationSchema = z.object({
  /** Name under which a router holds slices: `<routerId>.<incarnation>`, followed by `-<n>` from the second name of an incarnation on. */
  holder: shortText,
  /** Index of the budget shard. */
  shard: nonNegativeInteger,
  /** Sequence number, increasing per holder and shard. */
  seq: nonNegativeInteger,
  tokens: nonNegativeInteger
}).readonly()
export type Reservation = z.infer<typeof reservationSchema>

/** Header `bd-call`: what the endpoint process needs to know about a request besides its HTTP head and body. */
export const callSchema = z.object({
  /** `<routerId>.<incarnation>.<sequence>` */
  requestId: shortText,
  organisation: shortText,
  budget: shortText,
  service: shortText,
  version: shortText,
  /** The route of the service that the request matched, such as `POST /bookings`. */
  route: shortText,
  /** SHA-256, in hex, of the organisation and the idempotency key. Absent without an idempotency key. */
  keyHash: z.string().regex(/^[0-9a-f]{64}$/).optional(),
  idempotent: z.boolean(),
  priority: z.enum(['interactive', 'batch']),
  /** Time in ms that was left until the deadline when the router sent the call. */
  deadlineMs: z.number().nonnegative(),
  reservation: reservationSchema,
  /** Fixed price in tokens of a call to a plain service. Absent for model calls, which are charged the tokens that they use. */
  priceTokens: nonNegativeInteger.optional(),
  /** Highest sequence number of the holder in this shard up to which all reservations are settled and stored in the budget shard. */
  settledSeq: z.number().int(),
  /** Hash, in hex, of service, route and body. It identifies requests with the same content in crash evidence. */
  contentHash: z.string().min(1).max(64),
  /** Base URL of the control listener of the router that sends the call. */
  routerUrl: z.string().max(300)
}).readonly()
export type Call = z.infer<typeof callSchema>

/** Header `bd-load`: load of the endpoint process at the time of its response. */
export const loadSchema = z.object({
  /** Requests that the back end is running. */
  inFlight: nonNegativeInteger,
  /** Most requests that the back end may run at the same time. */
  limit: nonNegativeInteger,
  /** Requests that wait in the endpoint process for the back end. */
  queued: nonNegativeInteger,
  /** Whether the endpoint process is shutting down gracefully. */
  leaving: z.boolean(),
  /** False from a failure of the back end until it answers probes again. */
  healthy: z.boolean()
}).readonly()
export type Load = z.infer<typeof loadSchema>

/** How a request ended; recorded for billing. */
export const outcomeSchema = z.enum(['completed', 'cancelled', 'failed', 'notRun', 'lost'])
export type Outcome = z.infer<typeof outcomeSchema>

/** Trailer `bd-settlement`: the actual cost of a call. */
export const settlementSchema = z.object({
  requestId: shortText,
  tokens: nonNegativeInteger,
  outcome: outcomeSchema
}).readonly()
export type Settlement = z.infer<typeof settlementSchema>

/** Body of a refused request, in the format `application/problem+json`. */
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
