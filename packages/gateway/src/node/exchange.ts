/** HTTP exchange of one attempt with an endpoint. */
import type { Dispatcher } from 'undici'
import type { ResponseAttributes } from '../shared/call.ts'
import type { Dialect } from '../shared/dialect.ts'
import { endsWithConnection, isFramed } from '../shared/responseFraming.ts'
import type { Connection, EndpointConnections } from './endpointConnections.ts'

export interface ExchangeRequest {
  readonly method: string
  readonly path: string
  readonly headers: string[]
  readonly body: Buffer | undefined
  /** Whether the request may run again after a reset. */
  readonly isRepeatable: boolean
  /** Attempt id of the request. A response with another attempt id belongs to another request. */
  readonly attemptId: string | undefined
}

export interface ResponseHead {
  readonly status: number
  readonly rawHeaders: readonly Buffer[]
  readonly attributes: ResponseAttributes
}

export type ExchangeFailure =
  /** No connection could be made; nothing was sent. */
  | { readonly kind: 'notConnected', readonly detail: string }
  /** The HTTP client refuses to send the request, for example because a header has a control character. This says nothing about the endpoint. */
  | { readonly kind: 'unsendable', readonly detail: string }
  /** The connection was established, but it ended early or carried a response to another request. */
  | { readonly kind: 'broken', readonly detail: string }
  /** The connection is intact, but no usable response arrived in time. */
  | { readonly kind: 'unusable', readonly detail: string }

export interface ExchangeListener {
  onHead (head: ResponseHead): void
  onData (chunk: Buffer): void
  onEnd (): void
  onFailure (failure: ExchangeFailure): void
}

/** Error code of the HTTP client for a request that it does not send. */
const invalidRequestCode = 'UND_ERR_INVALID_ARG'
/** Limit of received bytes that belong to no body: response heads, chunk framing, chunk extensions and trailers. */
const maxOverheadBytes = 128 * 1024
/** Chunk framing that is accepted in addition, per byte of the body. A chunk of one byte has a framing of five bytes. */
const maxOverheadPerBodyByte = 8

/** Sends the request and reports to the listener. Unless the exchange is aborted, the last call is exactly one of `onEnd` and `onFailure`. */
export class Exchange {
  readonly #connections: EndpointConnections
  readonly #connection: Connection
  readonly #listener: ExchangeListener
  #controller: Dispatcher.DispatchController | undefined
  #attributes: ResponseAttributes | undefined
  readonly #method: string
  #status = 0
  #isFinished = false
  #isPaused = false
  #bodyBytes = 0

  constructor (connections: EndpointConnections, dialect: Dialect, request: ExchangeRequest, listener: ExchangeListener) {
    this.#connections = connections
    this.#connection = connections.acquire(request.isRepeatable)
    this.#listener = listener
    this.#method = request.method
    const readBytesBefore = this.#connection.readBytes()
    this.#connection.onReadable = () => { this.#limitOverhead(readBytesBefore) }
    this.#connection.client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body ?? null
    }, {
      onRequestStart: controller => {
        this.#controller = controller
        if (this.#isFinished) controller.abort(new Error('aborted'))
      },
      onResponseStart: (controller, status) => {
        // Informational responses (1xx) precede the final one.
        if (status < 200) return
        this.#onHead(dialect, request, status, controller.rawHeaders as Buffer[])
      },
      onResponseData: (controller, chunk) => {
        if (this.#isFinished) return
        this.#bodyBytes += chunk.length
        this.#listener.onData(chunk)
        if (this.#isPaused) controller.pause()
      },
      onResponseEnd: () => { this.#onEnd() },
      onResponseError: (_, error) => { this.#fail(error.message, (error as NodeJS.ErrnoException).code === invalidRequestCode) }
    })
  }

  pause (): void {
    this.#isPaused = true
    this.#controller?.pause()
  }

  resume (): void {
    this.#isPaused = false
    this.#controller?.resume()
  }

  /** Aborts the exchange. Closing the connection tells the endpoint to stop. The listener is not called any more. */
  abort (): void {
    if (this.#isFinished) return
    this.#isFinished = true
    this.#controller?.abort(new Error('aborted'))
    this.#connections.release(this.#connection, false)
  }

  /** Ends the exchange if the endpoint sends bytes without end that the HTTP client consumes but that are no body, such as informational responses. */
  #limitOverhead (readBytesBefore: number): void {
    if (this.#isFinished || this.#isPaused) return
    const overheadBytes = this.#connection.readBytes() - readBytesBefore - this.#bodyBytes
    if (overheadBytes > maxOverheadBytes + this.#bodyBytes * maxOverheadPerBodyByte) this.#abortWith('the response consists of too many bytes that are no body')
  }

  #onHead (dialect: Dialect, request: ExchangeRequest, status: number, rawHeaders: readonly Buffer[]): void {
    if (this.#isFinished) return
    const attributes = dialect.parseResponse(rawHeaders)
    if (attributes.attemptId !== undefined && attributes.attemptId !== request.attemptId) {
      this.#abortWith('the response belongs to another request')
      return
    }
    // A faulty endpoint may write an earlier response once more. Only the first response on a connection needs no id to be told from it.
    if (attributes.attemptId === undefined && request.attemptId !== undefined && this.#connection.wasUsed()) {
      this.#abortWith('the response on a connection that was used before does not name its request')
      return
    }
    this.#attributes = attributes
    this.#status = status
    this.#listener.onHead({ status, rawHeaders, attributes })
  }

  #onEnd (): void {
    if (this.#isFinished || this.#attributes === undefined) return
    if (!endsWithConnection(this.#method, this.#status, this.#attributes)) {
      this.#finish(this.#attributes)
      return
    }
    // Without a length, the HTTP client reports a reset as the end of the body.
    if (this.#connection.isReset()) {
      this.#abortWith('the connection was reset before the end of the response')
      return
    }
    this.#confirmEnd(this.#attributes).catch((error: unknown) => { this.#listener.onFailure({ kind: 'unusable', detail: String(error) }) })
  }

  /** The end of the connection is the end of the response only if the endpoint still runs, because one that crashes closes its connections as well. */
  async #confirmEnd (attributes: ResponseAttributes): Promise<void> {
    if (await this.#connections.confirmListening()) this.#finish(attributes)
    else this.#fail('the connection ended, and the endpoint may have crashed before the end of the response')
  }

  #finish (attributes: ResponseAttributes): void {
    if (this.#isFinished) return
    this.#isFinished = true
    this.#connections.release(this.#connection, isFramed(attributes))
    this.#listener.onEnd()
  }

  #abortWith (detail: string): void {
    this.#controller?.abort(new Error(detail))
    this.#fail(detail)
  }

  #fail (detail: string, isUnsendable = false): void {
    if (this.#isFinished) return
    this.#isFinished = true
    this.#connections.release(this.#connection, false)
    const kind = isUnsendable ? 'unsendable' : this.#connection.isConnected() ? 'broken' : 'notConnected'
    this.#listener.onFailure({ kind, detail })
  }
}
