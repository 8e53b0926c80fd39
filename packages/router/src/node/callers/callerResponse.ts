/** The HTTP response to one caller: head, body with back pressure, end. */
import type { ServerResponse } from 'node:http'
import type { Problem } from '@buckthorndrift/protocol'
import type { ResponseSink } from '../forward/responseSink.ts'
import { sendProblem } from './problem.ts'

/** Time limit for a caller to read the last event of an aborted stream. */
const abortTimeoutMs = 5000

export class CallerResponse implements ResponseSink {
  readonly #response: ServerResponse
  #hasBegun = false
  #isEventStream = false
  /** True when the connection closed before the response was finished. */
  #isDisconnected = false
  readonly #disconnectListeners = new Set<() => void>()
  #drainListener: () => void = () => {}

  constructor (response: ServerResponse) {
    this.#response = response
    response.once('close', () => {
      if (response.writableFinished) return
      this.#isDisconnected = true
      this.#drainListener()
      for (const listener of this.#disconnectListeners) listener()
    })
    response.on('error', () => {})
    response.on('drain', () => { this.#drainListener() })
  }

  /** True once `begin` or `refuse` was called. */
  get hasBegun (): boolean {
    return this.#hasBegun
  }

  get isDisconnected (): boolean {
    return this.#isDisconnected
  }

  /** Bytes that are buffered in this process until the caller reads them. */
  get bufferedBytes (): number {
    return this.#response.writableLength
  }

  onDisconnect (listener: () => void): () => void {
    this.#disconnectListeners.add(listener)
    return () => { this.#disconnectListeners.delete(listener) }
  }

  /** Sets the listener for the moment when the caller has read the buffered bytes after `write` returned false, or has disconnected. */
  onDrain (listener: () => void): void {
    this.#drainListener = listener
  }

  writeHead (status: number, headers: Record<string, string | string[]>): void {
    this.#hasBegun = true
    this.#isEventStream = String(headers['content-type'] ?? '').startsWith('text/event-stream')
    if (this.#isDisconnected) return
    this.#response.writeHead(status, headers)
    this.#response.flushHeaders()
  }

  /** Returns false when the caller reads more slowly than the endpoint sends. Chunks for a disconnected caller are dropped. */
  write (chunk: Buffer): boolean {
    if (this.#isDisconnected) return true
    return this.#response.write(chunk)
  }

  end (): void {
    if (!this.#isDisconnected) this.#response.end()
  }

  /** Sends a problem as the whole response. */
  refuse (problem: Problem): void {
    this.#hasBegun = true
    if (!this.#isDisconnected) sendProblem(this.#response, problem)
  }

  /**
   * Aborts a response that cannot be completed. An event stream gets the problem
   * as its last event. The connection closes without the end of the body, so that
   * the caller cannot mistake a partial response for a complete one. Resolves when
   * the connection is closed, because h3 ends a response that is still open when
   * its handler returns.
   */
  async abort (problem: Problem): Promise<void> {
    if (this.#isDisconnected) return
    this.#response.setTimeout(abortTimeoutMs, () => { this.#response.destroy() })
    const closed = new Promise<void>(resolve => { this.#response.once('close', resolve) })
    if (this.#isEventStream) this.#response.write(`event: error\ndata: ${JSON.stringify(problem)}\n\n`, () => { this.#response.destroy() })
    else this.#response.destroy()
    await closed
  }
}
