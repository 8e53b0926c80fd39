/** Executes one request at the back end, from sending it to computing its settlement. */
import type { TimerService } from '@buckthorndrift/kernel'
import type { Call, Outcome, Settlement } from '@buckthorndrift/protocol'
import { notRun, type Failure } from '@buckthorndrift/policy'
import type { BufferedResponse } from '../shared/bufferedResponse.ts'
import { isEventStream } from '../shared/headers.ts'
import { computeCostTokens } from '../shared/cost.ts'
import { TokenMeter } from '../shared/tokenMeter.ts'
import type { RequestTable } from '../shared/requestTable.ts'
import type { UnreadBytesLimiter } from '../shared/unreadBytesLimiter.ts'
import { verdictForSendError, type BackEndClient, type BackEndRequest, type BackEndResponse } from './backEndClient.ts'
import { EngineFlowControl } from './engineFlowControl.ts'
import type { ResponseReader } from './responseWriter.ts'

export interface RequestExecutionOptions {
  readonly call: Call
  readonly request: BackEndRequest
  readonly bufferedResponse: BufferedResponse
  readonly backEndClient: BackEndClient
  readonly kind: 'model' | 'plain'
  readonly requestTable: RequestTable
  readonly unreadBytesLimiter: UnreadBytesLimiter
  readonly timers: TimerService
  readonly heartbeatMs: number
}

export interface ExecutionResult {
  readonly settlement: Settlement
  /** Set if the request failed; not set if it was cancelled. */
  readonly failure?: Failure
}

/** Comment line of server-sent events, which is valid between any two lines. */
const heartbeatLine = Buffer.from(':\n')

export class RequestExecution {
  readonly call: Call
  readonly startedAtMs: number
  readonly #options: RequestExecutionOptions
  readonly #abort = new AbortController()
  readonly #readers = new Set<ResponseReader>()
  readonly #flowControl: EngineFlowControl
  readonly #tokenMeter = new TokenMeter()
  #isEventStream = false
  #status = 0
  #lastBytesAtMs = 0
  #isCancelled = false

  constructor (options: RequestExecutionOptions) {
    this.call = options.call
    this.#options = options
    this.startedAtMs = options.timers.monotonicMs()
    this.#flowControl = new EngineFlowControl(options.kind === 'model' ? options.backEndClient : undefined, options.call.requestId)
  }

  get readerCount (): number { return this.#readers.size }

  addReader (reader: ResponseReader): void {
    this.#readers.add(reader)
  }

  removeReader (reader: ResponseReader): void {
    this.#readers.delete(reader)
    this.updateFlowControl()
  }

  /** Cancels the request at the engine. */
  cancel (): void {
    if (this.#isCancelled) return
    this.#isCancelled = true
    this.#options.backEndClient.postControl(`/requests/${encodeURIComponent(this.call.requestId)}/cancel`)
    this.#abort.abort()
  }

  /** Executes the request to its end. Never rejects. */
  async execute (): Promise<ExecutionResult> {
    try {
      const response = await this.#options.backEndClient.send(this.#options.request, this.#abort.signal)
      return await this.#receiveResponse(response)
    } catch (error) {
      return this.#resultForSendError(error)
    } finally {
      this.#flowControl.close()
      this.#options.unreadBytesLimiter.close(this.call.requestId)
    }
  }

  /** Pauses or resumes the back end, depending on how many bytes the fastest reader has not yet received. */
  updateFlowControl (): void {
    const { bufferedResponse, unreadBytesLimiter } = this.#options
    const unreadBytes = this.#readers.size === 0 ? 0 : Math.max(0, bufferedResponse.length - this.#fastestReaderOffset())
    unreadBytesLimiter.update(this.call.requestId, unreadBytes)
    const limit = unreadBytesLimiter.limitBytesFor(this.call.requestId)
    if (unreadBytes > limit) this.#flowControl.pause()
    else if (unreadBytes <= limit / 2) this.#flowControl.resume()
  }

  async #receiveResponse ({ head, body }: BackEndResponse): Promise<ExecutionResult> {
    const { bufferedResponse, requestTable, timers } = this.#options
    this.#status = head.status
    this.#isEventStream = isEventStream(head.headers) && head.headers['content-encoding'] === undefined
    this.#lastBytesAtMs = timers.monotonicMs()
    bufferedResponse.setHead(head)
    this.#flowControl.setBody(body)
    const stopHeartbeat = timers.every(this.#options.heartbeatMs, () => { this.#appendHeartbeat() })
    return await new Promise<ExecutionResult>(resolve => {
      body.on('data', (bytes: Buffer) => {
        if (this.#isEventStream) this.#tokenMeter.scan(bytes)
        this.#lastBytesAtMs = timers.monotonicMs()
        requestTable.append(bufferedResponse, bytes, this.#readers.size === 0 ? bufferedResponse.length : this.#slowestReaderOffset())
        this.updateFlowControl()
      })
      body.once('end', () => { stopHeartbeat(); resolve(this.#resultFor('completed')) })
      body.once('error', error => { stopHeartbeat(); resolve(this.#resultForBodyError(error)) })
    })
  }

  #appendHeartbeat (): void {
    const { bufferedResponse, requestTable, timers, heartbeatMs } = this.#options
    if (!this.#isEventStream || this.#flowControl.isPaused || this.#readers.size === 0 || bufferedResponse.length === 0 || !this.#tokenMeter.isAtLineStart) return
    if (timers.monotonicMs() - this.#lastBytesAtMs < heartbeatMs / 2) return
    requestTable.append(bufferedResponse, heartbeatLine, this.#slowestReaderOffset())
  }

  #fastestReaderOffset (): number {
    return Math.max(...[...this.#readers].map(reader => reader.flushedOffset()))
  }

  #slowestReaderOffset (): number {
    return Math.min(...[...this.#readers].map(reader => reader.flushedOffset()))
  }

  #createSettlement (outcome: Outcome): Settlement {
    const tokens = computeCostTokens({
      call: this.call,
      kind: this.#options.kind,
      outcome,
      status: this.#status,
      isEventStream: this.#isEventStream,
      dataEventCount: this.#tokenMeter.dataEventCount,
      requestBytes: this.#options.request.body.length,
      bufferedResponse: this.#options.bufferedResponse
    })
    return { requestId: this.call.requestId, tokens, outcome }
  }

  #resultFor (outcome: Outcome): ExecutionResult {
    return { settlement: this.#createSettlement(outcome) }
  }

  #resultForBodyError (error: Error): ExecutionResult {
    if (this.#isCancelled) return this.#resultFor('cancelled')
    return { settlement: this.#createSettlement('failed'), failure: createBackEndFailure(verdictForSendError(error), 'The back end failed before the end of its response.') }
  }

  #resultForSendError (error: unknown): ExecutionResult {
    if (this.#isCancelled) return this.#resultFor('cancelled')
    const verdict = verdictForSendError(error)
    const detail = verdict === notRun ? 'The back end cannot be reached.' : 'The back end did not respond.'
    return { settlement: this.#createSettlement(verdict === notRun ? 'notRun' : 'failed'), failure: createBackEndFailure(verdict, detail) }
  }
}

function createBackEndFailure (verdict: Failure['verdict'], detail: string): Failure {
  return { verdict, reason: 'backEndFailed', detail }
}
