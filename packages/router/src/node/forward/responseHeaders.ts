/** Response headers for the caller. */
import type { IncomingHttpHeaders } from 'node:http'
import { loadHeader, requestIdHeader, settlementTrailer } from '@buckthorndrift/protocol'

/**
 * Headers that only concern the connection between router and endpoint; the caller
 * never gets them. Without `content-length` the response is complete for the
 * caller only when the router ends it.
 */
const strippedHeaders: ReadonlySet<string> = new Set([
  'connection', 'content-length', 'keep-alive', 'trailer', 'transfer-encoding', loadHeader, requestIdHeader, settlementTrailer
])

/** Selects the headers that are passed on to the caller, and adds the request id. */
export function headersForCaller (headers: IncomingHttpHeaders, requestId: string): Record<string, string | string[]> {
  const passed: Record<string, string | string[]> = { [requestIdHeader]: requestId }
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || strippedHeaders.has(name)) continue
    passed[name] = value
  }
  return passed
}
