/** Headers that pass the gate. */
import type { IncomingHttpHeaders } from 'node:http'
import { callHeader, fleetAuthorizationHeader, loadHeader, requestIdHeader, settlementTrailer, verdictHeader } from '@buckthorndrift/protocol'

/** Headers of one connection (RFC 9110, 7.6.1), and those that this process sets itself. */
const hopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'expect', 'host', 'content-length'
])

/** Headers between router and endpoint process; the back end never sees the fleet secret. */
const fleetHeaders = new Set<string>([callHeader, fleetAuthorizationHeader, loadHeader, verdictHeader, requestIdHeader, settlementTrailer])

/** Header under which an engine knows a request, for pause, resume and cancel. */
export const engineRequestIdHeader = 'x-request-id'

export type HeaderValues = Record<string, string | string[]>

function passOn (headers: IncomingHttpHeaders): HeaderValues {
  const passed: HeaderValues = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !hopHeaders.has(name) && !fleetHeaders.has(name)) passed[name] = value
  }
  return passed
}

/** Headers of a call for the back end. */
export function requestHeadersOf (headers: IncomingHttpHeaders): HeaderValues {
  return passOn(headers)
}

/** Headers of the back end's answer for the router. */
export function responseHeadersOf (headers: IncomingHttpHeaders): HeaderValues {
  return passOn(headers)
}

/** Whether the body is a stream of server-sent events. */
export function isEventStream (headers: Readonly<Record<string, string | readonly string[]>>): boolean {
  return String(headers['content-type'] ?? '').toLowerCase().startsWith('text/event-stream')
}
