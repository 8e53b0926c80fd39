/** One HTTP exchange with an endpoint process: head first, then the body with backpressure. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { Err, Ok, type Result } from 'ts-results-es'
import type { TimerService } from '@buckthorndrift/kernel'
import type { SilenceWatch, Watched } from './silenceMonitor.ts'

export interface UpstreamHead {
  readonly status: number
  readonly headers: IncomingHttpHeaders
}

/**
 * `invalid`: the request cannot be written as HTTP. `notSent`: no byte was
 * handed to a socket. `silent`: nothing arrived for too long. `aborted`: given up here.
 */
export interface UpstreamFailure {
  readonly kind: 'invalid' | 'notSent' | 'broken' | 'silent' | 'aborted'
  readonly detail: string
  /** True when nothing listens at the address, so the process is gone. */
  readonly isRefused?: boolean
}

export type UpstreamEnd = Result<IncomingHttpHeaders, UpstreamFailure>

/** Takes body chunks; false asks for a pause until `resume`. */
export type ChunkSink = (chunk: Buffer) => boolean

export interface UpstreamOptions {
  readonly dispatcher: Dispatcher
  readonly timers: TimerService
  readonly silence: SilenceWatch
  readonly origin: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: Buffer
}

/** Most bytes of a problem body from an endpoint process. */
const maxProblemBytes = 64 * 1024

export class Upstream implements Dispatcher.DispatchHandler, Watched {
  readonly head: Promise<Result<UpstreamHead, UpstreamFailure>>
  lastReceivedMs: number | undefined
  #wasSent = false
  #isPaused = false
  #isDone = false
  #controller: Dispatcher.DispatchController | undefined
  #failure: UpstreamFailure | undefined
  #sink: ChunkSink | undefined
  #resolveHead: (head: Result<UpstreamHead, UpstreamFailure>) => void = () => {}
  #resolveEnd: ((end: UpstreamEnd) => void) | undefined
  readonly #options: UpstreamOptions

  /** Sends the request. */
  constructor (options: UpstreamOptions) {
    this.#options = options
    this.head = new Promise(resolve => { this.#resolveHead = resolve })
    options.dispatcher.dispatch({
      origin: options.origin,
      method: options.method as Dispatcher.HttpMethod,
      path: options.path,
      headers: { ...options.headers },
      body: options.body !== undefined && options.body.length > 0 ? options.body : null,
      // The silence watch takes the place of undici's time limits, which do not count 102 responses.
      headersTimeout: 0,
      bodyTimeout: 0
    }, this)
  }

  /** True when a byte may have been handed to a socket. */
  get wasSent (): boolean {
    return this.#wasSent
  }

  /** Passes the body to `sink`; resolves with the trailers or with the failure. Call it once, after the head. */
  read (sink: ChunkSink): Promise<UpstreamEnd> {
    if (this.#failure !== undefined) return Promise.resolve(Err(this.#failure))
    this.#sink = sink
    const end = new Promise<UpstreamEnd>(resolve => { this.#resolveEnd = resolve })
    this.resume()
    return end
  }

  /** Reads a small body whole; longer ones are cut off. */
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

  /** Continues after a sink asked for a pause. */
  resume (): void {
    if (!this.#isPaused || this.#isDone) return
    this.#isPaused = false
    this.#touch()
    this.#controller?.resume()
  }

  /** Gives the exchange up and closes its connection. */
  abort (): void {
    this.#fail({ kind: 'aborted', detail: 'the exchange was given up' })
  }

  onSilence (): void {
    this.#fail({ kind: 'silent', detail: 'nothing arrived on the connection for too long' })
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#isDone) {
      controller.abort(new Error('the exchange was given up'))
      return
    }
    this.#wasSent = true
    this.#touch()
    this.#options.silence.add(this)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    this.#touch()
    if (status < 200) return
    this.#pause(controller)
    this.#resolveHead(Ok({ status, headers }))
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#touch()
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

  /** While the body is paused nothing can arrive, so silence proves nothing. */
  #pause (controller: Dispatcher.DispatchController): void {
    this.#isPaused = true
    this.lastReceivedMs = undefined
    controller.pause()
  }

  #touch (): void {
    this.lastReceivedMs = this.#options.timers.monotonicMs()
  }

  #finish (): void {
    this.#isDone = true
    this.#options.silence.remove(this)
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
