/** Connection to the back end behind this process. */
import type { Readable } from 'node:stream'
import { Pool } from 'undici'
import { mayHaveRun, notRun, type Verdict } from '@buckthorndrift/policy'
import { engineRequestIdHeader, responseHeadersOf, type HeaderValues } from '../shared/headers.ts'
import type { AnswerHead } from '../shared/answer.ts'

export interface BackEndRequest {
  readonly requestId: string
  readonly method: string
  /** Path with query. */
  readonly path: string
  readonly headers: HeaderValues
  readonly body: Buffer
}

export interface BackEndResponse {
  readonly head: AnswerHead
  readonly body: Readable
}

export interface BackEndOptions {
  readonly url: string
  /** Silence after which a request counts as failed, in ms. */
  readonly silenceMs: number
  readonly controlTimeoutMs: number
}

/** Bytes read ahead of a paused stream. */
const readAheadBytes = 16_384

export class BackEnd {
  readonly #options: BackEndOptions
  readonly #pool: Pool
  /** Orders and probes have connections of their own, so that they never wait behind calls. */
  readonly #control: Pool

  constructor (options: BackEndOptions) {
    this.#options = options
    this.#pool = new Pool(options.url, { pipelining: 1, headersTimeout: options.silenceMs, bodyTimeout: options.silenceMs })
    this.#control = new Pool(options.url, {
      connections: 4, headersTimeout: options.controlTimeoutMs, bodyTimeout: options.controlTimeoutMs, connect: { timeout: options.controlTimeoutMs }
    })
  }

  /** Hands a request over. Rejects when no response head arrives; see `verdictOf`. */
  async send (request: BackEndRequest, signal: AbortSignal): Promise<BackEndResponse> {
    const hasBody = request.body.length > 0
    const response = await this.#pool.request({
      method: request.method as 'GET',
      path: request.path,
      headers: { ...request.headers, [engineRequestIdHeader]: request.requestId },
      body: hasBody ? request.body : null,
      signal,
      highWaterMark: readAheadBytes
    })
    return { head: { status: response.statusCode, headers: responseHeadersOf(response.headers) }, body: response.body }
  }

  /** Posts to the engine's control paths. Resolves with the status, or 0 without an answer. */
  async control (path: string, body?: unknown): Promise<{ readonly status: number, readonly body: string }> {
    try {
      const response = await this.#control.request({
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

  /** Whether the back end answers at all. */
  async probe (): Promise<boolean> {
    try {
      const response = await this.#control.request({ method: 'GET', path: '/health', signal: AbortSignal.timeout(this.#options.controlTimeoutMs) })
      await response.body.dump()
      return true
    } catch {
      return false
    }
  }

  async close (): Promise<void> {
    await Promise.all([this.#pool.destroy(), this.#control.destroy()])
  }
}

/** Verdict of a request whose `send` failed: only a connection that was never made leaves no doubt. */
export function verdictOf (error: unknown): Verdict {
  const cause = error as { syscall?: unknown, code?: unknown }
  return cause.syscall === 'connect' || cause.code === 'UND_ERR_CONNECT_TIMEOUT' ? notRun : mayHaveRun
}
