/** Requests of one router to the peer server of another. */
import { Err, Ok, type Result } from 'ts-results-es'
import type { Agent } from 'undici'

export interface PeerResponse {
  readonly status: number
  /** The parsed body; `undefined` if it is not JSON. */
  readonly body: unknown
}

export type PeerFailure =
  /** The connection was refused, so the process has ended. */
  | { readonly kind: 'gone' }
  | { readonly kind: 'unreachable', readonly detail: string }

function parseJson (source: string): unknown {
  try {
    return JSON.parse(source)
  } catch {
    return undefined
  }
}

/** Posts a message as JSON to `address` (`HOST:PORT`). */
export async function postToPeer (agent: Agent, address: string, path: string, message: unknown, timeoutMs: number): Promise<Result<PeerResponse, PeerFailure>> {
  try {
    const response = await agent.request({ origin: `http://${address}`, path, method: 'POST', body: JSON.stringify(message), signal: AbortSignal.timeout(timeoutMs) })
    return Ok({ status: response.statusCode, body: parseJson(await response.body.text()) })
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ECONNREFUSED') return Err({ kind: 'gone' })
    return Err({ kind: 'unreachable', detail: error instanceof Error ? error.message : String(error) })
  }
}
