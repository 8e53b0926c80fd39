/** What the caller path knows about one request before it is forwarded. */
import type { CallConfig, ServiceConfig } from '@buckthorndrift/policy'

/** One caller request, read and checked. */
export interface CallPlan {
  readonly organisation: string
  readonly budget: string
  readonly service: ServiceConfig
  /** Matched call, such as `POST /bookings`. */
  readonly route: string
  readonly method: string
  /** Path and query as the back end gets them. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  readonly idempotent: boolean
  readonly priority: 'interactive' | 'batch'
  /** Monotonic time in ms until which the answer has to begin. */
  readonly deadlineAtMs: number
  /** Most tokens that the request can cost. */
  readonly maxTokens: number
  /** Set for plain calls, which have a fixed price. */
  readonly priceTokens: number | undefined
  readonly keyHash: string | undefined
  readonly contentHash: string
  /** Text that requests with the same beginning share; set for models. */
  readonly prefix: string | undefined
}

/** Route under which model calls are known. */
export const modelRoute = 'POST /v1/chat/completions'

/** Service and, for plain services, the matched call. */
export interface MatchedCall {
  readonly service: ServiceConfig
  readonly call: CallConfig | undefined
}
