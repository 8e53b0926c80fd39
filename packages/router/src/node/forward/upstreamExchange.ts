/** One HTTP exchange with an endpoint process: first the response head, then the body with back pressure. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { Err, Ok, type Result } from 'ts-results-es'
import type { TimerService } from '@buckthorndrift/kernel'
import type { SilenceMonitor, MonitoredConnection } from './silenceMonitor.ts'

export interface UpstreamHead {
  readonly status: number
  readonly headers: IncomingHttpHeaders
}

/**
 * How an exchange failed. `invalid`: the request cannot be written as HTTP.
 * `notSent`: no byte was handed to a socket. `broken`: the connection failed after
 * a byte may have been handed to a socket. `silent`: no byte arrived within the
 * silence limit. `aborted`: this router called `abort`.
 */
export interface UpstreamFailure {
  readonly kind: 'invalid' | 'notSent' | 'broken' | 'silent' | 'aborted'
  readonly detail: string
  /** True when the connection was refused: no process listens at the address. */
  readonly isRefused?: boolean
}

export type UpstreamResult = Result<IncomingHttpHeaders, UpstreamFailure>

/** Takes a body chunk. Returns false to pause the body until `resume` is called. */
export type ChunkSink = (chunk: Buffer) => boolean

export interface UpstreamExchangeOptions {
  readonly dispatcher: Dispatcher
  readonly timers: TimerService
  readonly silenceMonitor: SilenceMonitor
  readonly origin: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: Buffer
}

/** Size limit of a problem body from an endpoint process. */
const maxProblemBytes = 64 * 1024

export class UpstreamExchange implements Dispatcher.DispatchHandler, MonitoredConnection {
  readonly head: Promise<Result<UpstreamHead, UpstreamFailure>>
  lastReceivedMs: number | undefined
  #wasSent = false
  #isPaused = false
  #isDone = false
  #controller: Dispatcher.DispatchController | undefined
  #failure: UpstreamFailure | undefined
  #sink: ChunkSink | undefined
  #resolveHead: (head: Result<UpstreamHead, UpstreamFailure>) => void = () => {}
  #resolveEnd: ((end: UpstreamResult) => void) | undefined
  readonly #options: UpstreamExchangeOptions

  /** Sends the request. */
  constructor (options: UpstreamExchangeOptions) {
    this.#options = options
    this.head = new Promise(resolve => { this.#resolveHead = resolve })
    options.dispatcher.dispatch({
      origin: options.origin,
      method: options.method as Dispatcher.HttpMethod,
      path: options.path,
      headers: { ...options.headers },
      body: options.body !== undefined && options.body.length > 0 ? options.body : null,
      // The silence monitor replaces undici's timeouts, which do not count 102 responses as activity.
      headersTimeout: 0,
      bodyTimeout: 0
    }, this)
  }

  /** True when a byte may have been handed to a socket. */
  get wasSent (): boolean {
    return this.#wasSent
  }

  /** Passes the body to `sink`; resolves with the trailers or with the failure. Call it once, after `head` has resolved. */
  read (sink: ChunkSink): Promise<UpstreamResult> {
    if (this.#failure !== undefined) return Promise.resolve(Err(this.#failure))
    this.#sink = sink
    const end = new Promise<UpstreamResult>(resolve => { this.#resolveEnd = resolve })
    this.resume()
    return end
  }

  /** Reads a problem body as text; chunks beyond the size limit are dropped. */
  async readText (): Promise<string> {
    const chunks: Buffer[] = []
    let sizeBytes = 0
    await this.read(chunk => {
      sizeBytes += chunk.length
      if (sizeBytes <= maxProblemBytes) chunks.push(chunk)
      return true
    })
    return Buffer.concat(chunks).toString('utf8')
  }

  /** Resumes the body after the sink has paused it by returning false. */
  resume (): void {
    if (!this.#isPaused || this.#isDone) return
    this.#isPaused = false
    this.#markActivity()
    this.#controller?.resume()
  }

  /** Aborts the exchange and closes its connection. */
  abort (): void {
    this.#fail({ kind: 'aborted', detail: 'the exchange was aborted' })
  }

  onSilence (): void {
    this.#fail({ kind: 'silent', detail: 'no byte arrived within the silence limit' })
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#isDone) {
      controller.abort(new Error('the exchange was aborted'))
      return
    }
    this.#wasSent = true
    this.#markActivity()
    this.#options.silenceMonitor.add(this)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    this.#markActivity()
    if (status < 200) return
    this.#pause(controller)
    this.#resolveHead(Ok({ status, headers }))
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#markActivity()
    if (this.#isDone || this.#sink === undefined) return
    if (!this.#sink(chunk)) this.#pause(controller)
  }

  onResponseEnd (_controller: Dispatcher.DispatchController, trailers: IncomingHttpHeaders): void {
    if (this.#isDone) return
    this.#finish()
    this.#resolveEnd?.(Ok(trailers))
  }

  onResponseError (_controller: Dispatcher.DispatchController | null, error: Error): void {
    const { code } = error as NodeJS.ErrnoException
    const kind = code === 'UND_ERR_INVALID_ARG' ? 'invalid' : this.#wasSent ? 'broken' : 'notSent'
    this.#fail({ kind, detail: error.message, isRefused: !this.#wasSent && code === 'ECONNREFUSED' })
  }

  /** Pauses the body. The silence limit does not apply meanwhile, because nothing can arrive. */
  #pause (controller: Dispatcher.DispatchController): void {
    this.#isPaused = true
    this.lastReceivedMs = undefined
    controller.pause()
  }

  #markActivity (): void {
    this.lastReceivedMs = this.#options.timers.monotonicMs()
  }

  #finish (): void {
    this.#isDone = true
    this.#options.silenceMonitor.remove(this)
  }

  #fail (failure: UpstreamFailure): void {
    if (this.#isDone) return
    this.#finish()
    this.#failure = failure
    if (this.#controller?.aborted === false) this.#controller.abort(new Error(failure.detail))
    this.#resolveHead(Err(failure))
    this.#resolveEnd?.(Err(failure))
  }
}
