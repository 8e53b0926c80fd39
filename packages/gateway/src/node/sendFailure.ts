/** Failure responses that the gateway itself sends to callers. */
import type { ServerResponse } from 'node:http'
import { httpStatusOf, type Failure } from '@buckthorndrift/policy'

/** Statuses that tell the caller that the request did not run. Responses with them carry a Retry-After header. */
const retryableStatuses: ReadonlySet<number> = new Set([429, 503])
const defaultRetryAfterMs = 500

/** Sends problem details (RFC 9457) and returns the status. Sends nothing when the response has started or its connection is closed. */
export function sendFailure (response: ServerResponse, failure: Failure, closeConnection: boolean): number {
  const status = httpStatusOf(failure.reason)
  if (response.headersSent || response.destroyed) return status
  const body = Buffer.from(JSON.stringify({ type: 'about:blank', title: failure.reason, status, detail: failure.detail, verdict: failure.verdict.kind }))
  const headers: Record<string, string | number> = { 'Content-Type': 'application/problem+json', 'Content-Length': body.length }
  if (retryableStatuses.has(status)) headers['Retry-After'] = ((failure.retryAfterMs ?? defaultRetryAfterMs) / 1000).toFixed(3)
  if (closeConnection) headers['Connection'] = 'close'
  response.writeHead(status, headers)
  response.end(body)
  return status
}
