/** Filters the headers that are forwarded between router and back end. */
import type { IncomingHttpHeaders } from 'node:http'
import { callHeader, fleetAuthorizationHeader, loadHeader, requestIdHeader, settlementTrailer, verdictHeader } from '@buckthorndrift/protocol'

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the HTTP client or server of this process sets itself. */
const hopByHopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'expect', 'host', 'content-length'
])

/** Headers between router and endpoint process. They are not forwarded, so that the back end never receives the fleet secret. */
const internalHeaders = new Set<string>([callHeader, fleetAuthorizationHeader, loadHeader, verdictHeader, requestIdHeader, settlementTrailer])

/** Header with the request id by which the engine pauses, resumes or cancels a request. */
export const engineRequestIdHeader = 'x-request-id'

export type HeaderValues = Record<string, string | string[]>

function filterHeaders (headers: IncomingHttpHeaders): HeaderValues {
  const filtered: HeaderValues = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !hopByHopHeaders.has(name) && !internalHeaders.has(name)) filtered[name] = value
  }
  return filtered
}

/** Returns the request headers to forward to the back end. */
export function filterRequestHeaders (headers: IncomingHttpHeaders): HeaderValues {
  return filterHeaders(headers)
}

/** Returns the response headers to forward to the router. */
export function filterResponseHeaders (headers: IncomingHttpHeaders): HeaderValues {
  return filterHeaders(headers)
}

/** Whether the body is a stream of server-sent events. */
export function isEventStream (headers: Readonly<Record<string, string | readonly string[]>>): boolean {
  return String(headers['content-type'] ?? '').toLowerCase().startsWith('text/event-stream')
}
