/** Rules for one attempt at an endpoint: how its response is classified, whether the request may run again, and how long to wait for the response. */
import type { ResponseAttributes } from './call.ts'
import type { Route } from './fleet.ts'

export type ResponseClassification =
  /** The endpoint did not run the request. */
  | { readonly kind: 'rejected' }
  /** The response is passed on to the caller. */
  | { readonly kind: 'answer' }
  /** The endpoint may have run the request, but its response must not be passed on. */
  | { readonly kind: 'unusable', readonly detail: string }

const misdirectedStatus = 421
/** Highest status that HTTP defines. Clients take a higher one for a server error, or for a status of their own. */
const maxStatus = 599
/** Statuses that tell a caller that the request did not run. They are not passed on when the endpoint may have run the request. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 429, 503])

export function classifyResponse (status: number, attributes: ResponseAttributes): ResponseClassification {
  if (status > maxStatus) return { kind: 'unusable', detail: `the endpoint responded with ${status}, which is no HTTP status` }
  if (attributes.isNotExecuted || status === misdirectedStatus) return { kind: 'rejected' }
  if (notExecutedStatuses.has(status)) return { kind: 'unusable', detail: `the endpoint responded with ${status} but did not mark the request as not executed` }
  const isSuccess = status >= 200 && status < 300
  if (!isSuccess) return { kind: 'answer' }
  if (!attributes.isSigned || attributes.attemptId === undefined) return { kind: 'unusable', detail: 'the response is not signed by the endpoint' }
  if (attributes.isEncoded) return { kind: 'unusable', detail: 'the response body has a content encoding' }
  return { kind: 'answer' }
}

/** Whether a request of the route may run more than once. */
export function isRepeatable (route: Route): boolean {
  return route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable)
}

/** Share of the latency objective after which a safe request is tried at another endpoint. The response of the second endpoint can then still meet the objective. */
const safeTimeoutFactor = 0.6
/** Multiple of the latency objective or the estimated time to the first event, whichever is longer, after which a stream is tried at another endpoint. It is long because the engine may still queue the stream, and elsewhere the stream would join the end of a queue. */
const streamTimeoutFactor = 3

/** Time without a response after which a repeatable request is tried at another endpoint, in ms; `undefined` when it must not run again. */
export function attemptTimeoutMs (route: Route, estimateMs: number): number | undefined {
  if (!isRepeatable(route)) return undefined
  return route.kind === 'safe' ? route.objectiveMs * safeTimeoutFactor : Math.max(route.objectiveMs, estimateMs) * streamTimeoutFactor
}
