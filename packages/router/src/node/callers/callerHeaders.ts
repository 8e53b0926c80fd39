/** Headers of caller requests. */
import type { IncomingHttpHeaders } from 'node:http'
import { callHeader, requestIdHeader } from '@buckthorndrift/protocol'

/** Headers that are not forwarded to the back end, because they concern the caller's connection or the router. */
const strippedHeaders: ReadonlySet<string> = new Set([
  'authorization', 'connection', 'content-length', 'expect', 'host', 'idempotency-key', 'keep-alive', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'x-deadline-ms', 'x-priority', 'traceparent', 'tracestate',
  callHeader, requestIdHeader
])

/** Headers of a caller request that are forwarded to the back end. */
export function headersForBackEnd (headers: IncomingHttpHeaders): Readonly<Record<string, string>> {
  const forwarded: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || strippedHeaders.has(name)) continue
    forwarded[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return forwarded
}
