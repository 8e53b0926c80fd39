/** How the end of a response is marked (RFC 9112, section 6.3). */
import type { ResponseAttributes } from './call.ts'

/** Statuses of responses that have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304])

/** Whether a length or chunks mark the end of the body. */
export function isFramed ({ isChunked, contentLengthBytes }: ResponseAttributes): boolean {
  return isChunked || contentLengthBytes !== undefined
}

/** Whether only the end of the connection marks the end of the response. */
export function endsWithConnection (method: string, status: number, attributes: ResponseAttributes): boolean {
  return method !== 'HEAD' && !bodilessStatuses.has(status) && !isFramed(attributes)
}
