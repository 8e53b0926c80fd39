/** Headers that the caller receives. */
import type { IncomingHttpHeaders } from 'node:http'
import { loadHeader, requestIdHeader, settlementTrailer } from '@buckthorndrift/protocol'

/** Headers of the endpoint's connection; the caller never gets them. Without a length the caller sees the end only when it is sent. */
const keptFromCaller: ReadonlySet<string> = new Set([
  'connection', 'content-length', 'keep-alive', 'trailer', 'transfer-encoding', loadHeader, requestIdHeader, settlementTrailer
])

/** Headers that are passed on to the caller. */
export function headersForCaller (headers: IncomingHttpHeaders, requestId: string): Record<string, string | string[]> {
  const passed: Record<string, string | string[]> = { [requestIdHeader]: requestId }
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || keptFromCaller.has(name)) continue
    passed[name] = value
  }
  return passed
}
