/** The answer on its way to a caller. */
import type { ServerResponse } from 'node:http'
import type { Dialect } from '../shared/dialect.ts'
import type { AnswerHead } from './exchange.ts'

/** Largest answer that is held back until it is complete, so that a broken one can be repeated. */
const maxHeldBytes = 64 * 1024

export interface FlowControl {
  pause (): void
  resume (): void
}

export class CallerStream {
  readonly #response: ServerResponse
  readonly #dialect: Dialect
  #held: Buffer[] = []
  #heldBytes = 0

  constructor (response: ServerResponse, dialect: Dialect) {
    this.#response = response
    this.#dialect = dialect
  }

  /** Whether the caller has got a part of an answer. */
  get isStarted (): boolean {
    return this.#response.headersSent
  }

  /** Sends the head once; a resumed stream keeps the head of its first endpoint. */
  writeHead (head: AnswerHead, closeConnection: boolean): void {
    if (this.#response.headersSent) return
    const headers = this.#dialect.responseHeaders(head.rawHeaders)
    const isFramed = head.attributes.isChunked || head.attributes.contentLengthBytes !== undefined
    // An answer without a length ends with its connection here as well: whether it is complete is not known.
    if (!isFramed) this.#response.removeHeader('Transfer-Encoding')
    if (closeConnection || !isFramed) headers.push('Connection', 'close')
    this.#response.writeHead(head.status, headers)
  }

  /** Passes bytes on; the source is paused while the caller does not read. */
  write (bytes: Buffer, source: FlowControl | undefined): void {
    if (this.#response.write(bytes) || source === undefined) return
    source.pause()
    this.#response.once('drain', () => { source.resume() })
  }

  /** Keeps bytes back. Returns false when there are too many to keep. */
  hold (bytes: Buffer): boolean {
    this.#held.push(bytes)
    this.#heldBytes += bytes.length
    return this.#heldBytes <= maxHeldBytes
  }

  releaseHeld (source: FlowControl | undefined): void {
    for (const bytes of this.#held.splice(0)) this.write(bytes, source)
  }

  discardHeld (): void {
    this.#held = []
    this.#heldBytes = 0
  }

  end (): void {
    this.#response.end()
  }

  /** Closes the connection, so that an answer that breaks off does not look complete. */
  cut (): void {
    this.#response.destroy()
  }
}
