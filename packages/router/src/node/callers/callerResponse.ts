/** The answer to one caller: head, body with backpressure, end. */
import type { ServerResponse } from 'node:http'
import type { Problem } from '@buckthorndrift/protocol'
import type { ResponseSink } from '../forward/responseSink.ts'
import { sendProblem } from './problem.ts'

/** Time for a caller to take the last event of a broken stream. */
const breakOffTimeoutMs = 5000

export class CallerAnswer implements ResponseSink {
  readonly #response: ServerResponse
  #isBegun = false
  #isStream = false
  /** True when the caller closed the connection. */
  #isGone = false
  readonly #goneListeners = new Set<() => void>()
  #onDrain: () => void = () => {}

  constructor (response: ServerResponse) {
    this.#response = response
    response.once('close', () => {
      if (response.writableFinished) return
      this.#isGone = true
      this.#onDrain()
      for (const listener of this.#goneListeners) listener()
    })
    response.on('error', () => {})
    response.on('drain', () => { this.#onDrain() })
  }

  get isBegun (): boolean {
    return this.#isBegun
  }

  get isDisconnected (): boolean {
    return this.#isGone
  }

  /** Bytes that wait in this process for the caller to read. */
  get waitingBytes (): number {
    return this.#response.writableLength
  }

  onDisconnect (listener: () => void): () => void {
    this.#goneListeners.add(listener)
    return () => { this.#goneListeners.delete(listener) }
  }

  /** Called when the caller has read on after `write` returned false, or has gone. */
  onDrain (listener: () => void): void {
    this.#onDrain = listener
  }

  writeHead (status: number, headers: Record<string, string | string[]>): void {
    this.#isBegun = true
    this.#isStream = String(headers['content-type'] ?? '').startsWith('text/event-stream')
    if (this.#isGone) return
    this.#response.writeHead(status, headers)
    this.#response.flushHeaders()
  }

  /** False when the caller reads more slowly than the endpoint sends; a caller that has gone takes everything. */
  write (chunk: Buffer): boolean {
    if (this.#isGone) return true
    return this.#response.write(chunk)
  }

  end (): void {
    if (!this.#isGone) this.#response.end()
  }

  refuse (problem: Problem): void {
    this.#isBegun = true
    if (!this.#isGone) sendProblem(this.#response, problem)
  }

  /**
   * Ends an answer that cannot be completed. An event stream gets the problem as
   * its last event; the connection closes without the end of the body, so that a
   * caller never takes the part for the whole. Resolves when the connection is
   * closed: h3 ends a response that is still open when its handler is done.
   */
  async breakOff (problem: Problem): Promise<void> {
    if (this.#isGone) return
    this.#response.setTimeout(breakOffTimeoutMs, () => { this.#response.destroy() })
    const closed = new Promise<void>(resolve => { this.#response.once('close', resolve) })
    if (this.#isStream) this.#response.write(`event: error\ndata: ${JSON.stringify(problem)}\n\n`, () => { this.#response.destroy() })
    else this.#response.destroy()
    await closed
  }
}
