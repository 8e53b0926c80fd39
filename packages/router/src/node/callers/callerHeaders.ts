/** Headers that the caller sends. */
import type { IncomingHttpHeaders } from 'node:http'
import { callHeader, requestIdHeader } from '@buckthorndrift/protocol'

/** Headers of the caller's connection or of the router; the back end never gets them. */
const keptFromBackEnd: ReadonlySet<string> = new Set([
  'authorization', 'connection', 'content-length', 'expect', 'host', 'idempotency-key', 'keep-alive', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'x-deadline-ms', 'x-priority', 'traceparent', 'tracestate',
  callHeader, requestIdHeader
])

/** Headers that are passed on to the back end. */
export function headersForBackEnd (headers: IncomingHttpHeaders): Readonly<Record<string, string>> {
  const passed: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || keptFromBackEnd.has(name)) continue
    passed[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return passed
}
