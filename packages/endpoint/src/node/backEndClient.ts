/** HTTP client for the back end of this process. */
import type { Readable } from 'node:stream'
import { Pool } from 'undici'
import { mayHaveRun, notRun, type Verdict } from '@buckthorndrift/policy'
import { engineRequestIdHeader, filterResponseHeaders, type HeaderValues } from '../shared/headers.ts'
import type { ResponseHead } from '../shared/bufferedResponse.ts'

export interface BackEndRequest {
  readonly requestId: string
  readonly method: string
  /** Path including the query. */
  readonly path: string
  readonly headers: HeaderValues
  readonly body: Buffer
}

export interface BackEndResponse {
  readonly head: ResponseHead
  readonly body: Readable
}

export interface BackEndClientOptions {
  readonly url: string
  /** Time without bytes from the back end after which a request counts as failed. */
  readonly silenceMs: number
  readonly controlTimeoutMs: number
}

/** Bytes that are still read from the connection after a stream is paused. */
const readAheadBytes = 16_384

export class BackEndClient {
  readonly #options: BackEndClientOptions
  readonly #requestPool: Pool
  /** Control requests and health probes use separate connections, so that they never wait behind calls. */
  readonly #controlPool: Pool

  constructor (options: BackEndClientOptions) {
    this.#options = options
    this.#requestPool = new Pool(options.url, { pipelining: 1, headersTimeout: options.silenceMs, bodyTimeout: options.silenceMs })
    this.#controlPool = new Pool(options.url, {
      connections: 4, headersTimeout: options.controlTimeoutMs, bodyTimeout: options.controlTimeoutMs, connect: { timeout: options.controlTimeoutMs }
    })
  }

  /** Sends a request. Rejects if no response head arrives; `verdictForSendError` gives the verdict. */
  async send (request: BackEndRequest, signal: AbortSignal): Promise<BackEndResponse> {
    const hasBody = request.body.length > 0
    const response = await this.#requestPool.request({
      method: request.method as 'GET',
      path: request.path,
      headers: { ...request.headers, [engineRequestIdHeader]: request.requestId },
      body: hasBody ? request.body : null,
      signal,
      highWaterMark: readAheadBytes
    })
    return { head: { status: response.statusCode, headers: filterResponseHeaders(response.headers) }, body: response.body }
  }

  /** Posts to a control path of the engine. Resolves with the status code, or with 0 if there is no response. */
  async postControl (path: string, body?: unknown): Promise<{ readonly status: number, readonly body: string }> {
    try {
      const response = await this.#controlPool.request({
        method: 'POST',
        path,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body ?? {}),
        signal: AbortSignal.timeout(this.#options.controlTimeoutMs)
      })
      return { status: response.statusCode, body: await response.body.text() }
    } catch (error) {
      return { status: 0, body: String(error) }
    }
  }

  /** Whether the back end responds to a health check, with any status code. */
  async probe (): Promise<boolean> {
    try {
      const response = await this.#controlPool.request({ method: 'GET', path: '/health', signal: AbortSignal.timeout(this.#options.controlTimeoutMs) })
      await response.body.dump()
      return true
    } catch {
      return false
    }
  }

  async close (): Promise<void> {
    await Promise.all([this.#requestPool.destroy(), this.#controlPool.destroy()])
  }
}

/** Verdict on a request whose `send` rejected. The request certainly did not run only if no connection was established. */
export function verdictForSendError (error: unknown): Verdict {
  const cause = error as { syscall?: unknown, code?: unknown }
  return cause.syscall === 'connect' || cause.code === 'UND_ERR_CONNECT_TIMEOUT' ? notRun : mayHaveRun
}
