/** Plan of a call: a caller request that is parsed and validated, but not forwarded yet. */
import type { CallConfig, ServiceConfig } from '@buckthorndrift/policy'

/** A parsed and validated caller request. */
export interface CallPlan {
  readonly organisation: string
  readonly budget: string
  readonly service: ServiceConfig
  /** Route of the matched call, such as `POST /bookings`. */
  readonly route: string
  readonly method: string
  /** Path and query that are sent to the back end. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  readonly idempotent: boolean
  readonly priority: 'interactive' | 'batch'
  /** Monotonic time in ms by which the response has to begin. */
  readonly deadlineAtMs: number
  /** Maximum number of tokens that the request can cost. */
  readonly maxTokens: number
  /** Fixed price of a plain call; `undefined` for model calls. */
  readonly priceTokens: number | undefined
  /** Hash of the organisation and the idempotency key; `undefined` without a key. */
  readonly keyHash: string | undefined
  /** Hash of what the request asks for. Requests with equal hashes count as having the same content, for idempotency keys and crash evidence. */
  readonly contentHash: string
  /** Hash of the beginning of the messages and the organisation, by which requests with the same prompt prefix are preferably sent to the same endpoints; `undefined` for plain calls. */
  readonly prefix: string | undefined
}

/** Route of all model calls. */
export const modelRoute = 'POST /v1/chat/completions'

/** Service and, for plain services, the matched call. */
export interface MatchedCall {
  readonly service: ServiceConfig
  readonly call: CallConfig | undefined
}
