/** One request at the back end: from the handover to the settlement. */
import type { TimerService } from '@buckthorndrift/kernel'
import type { Call, Outcome, Settlement } from '@buckthorndrift/protocol'
import { notRun, type Failure } from '@buckthorndrift/policy'
import type { Answer } from '../shared/answer.ts'
import { isEventStream } from '../shared/headers.ts'
import { costOf } from '../shared/cost.ts'
import { TokenMeter } from '../shared/tokenMeter.ts'
import type { RequestTable } from '../shared/requestTable.ts'
import type { UnreadBudget } from '../shared/unreadBytesLimiter.ts'
import { verdictOf, type BackEnd, type BackEndRequest, type BackEndResponse } from './backEnd.ts'
import { EngineFlow } from './engineFlow.ts'
import type { AnswerReader } from './answerWriter.ts'

export interface RunOptions {
  readonly call: Call
  readonly request: BackEndRequest
  readonly answer: Answer
  readonly backEnd: BackEnd
  readonly kind: 'model' | 'plain'
  readonly table: RequestTable
  readonly unread: UnreadBudget
  readonly timers: TimerService
  readonly heartbeatMs: number
}

export interface RunEnd {
  readonly settlement: Settlement
  /** Set when the request broke off for a reason other than a cancellation. */
  readonly failure?: Failure
}

/** Comment line of server-sent events; legal between any two lines. */
const heartbeatLine = Buffer.from(':\n')

export class Run {
  readonly call: Call
  readonly startedAtMs: number
  readonly #options: RunOptions
  readonly #abort = new AbortController()
  readonly #readers = new Set<AnswerReader>()
  readonly #flow: EngineFlow
  readonly #meter = new TokenMeter()
  #isStream = false
  #status = 0
  #lastBytesMs = 0
  #isCancelled = false

  constructor (options: RunOptions) {
    this.call = options.call
    this.#options = options
    this.startedAtMs = options.timers.monotonicMs()
    this.#flow = new EngineFlow(options.kind === 'model' ? options.backEnd : undefined, options.call.requestId)
  }

  get readers (): number { return this.#readers.size }

  addReader (reader: AnswerReader): void {
    this.#readers.add(reader)
  }

  removeReader (reader: AnswerReader): void {
    this.#readers.delete(reader)
    this.balance()
  }

  /** Stops the request at the engine. */
  cancel (): void {
    if (this.#isCancelled) return
    this.#isCancelled = true
    this.#options.backEnd.control(`/requests/${encodeURIComponent(this.call.requestId)}/cancel`)
    this.#abort.abort()
  }

  /** Runs the request to its end. Never rejects. */
  async execute (): Promise<RunEnd> {
    try {
      const response = await this.#options.backEnd.send(this.#options.request, this.#abort.signal)
      return await this.#stream(response)
    } catch (error) {
      return this.#endWithoutHead(error)
    } finally {
      this.#flow.close()
      this.#options.unread.close(this.call.requestId)
    }
  }

  /** Compares what the fastest reader has taken with the limit; pauses or resumes the back end. */
  balance (): void {
    const { answer, unread } = this.#options
    const unreadBytes = this.#readers.size === 0 ? 0 : Math.max(0, answer.length - this.#taken())
    unread.update(this.call.requestId, unreadBytes)
    const limit = unread.limitOf(this.call.requestId)
    if (unreadBytes > limit) this.#flow.pause()
    else if (unreadBytes <= limit / 2) this.#flow.resume()
  }

  async #stream ({ head, body }: BackEndResponse): Promise<RunEnd> {
    const { answer, table, timers } = this.#options
    this.#status = head.status
    this.#isStream = isEventStream(head.headers) && head.headers['content-encoding'] === undefined
    this.#lastBytesMs = timers.monotonicMs()
    answer.begin(head)
    this.#flow.open(body)
    const stopHeartbeat = timers.every(this.#options.heartbeatMs, () => { this.#heartbeat() })
    return await new Promise<RunEnd>(resolve => {
      body.on('data', (bytes: Buffer) => {
        if (this.#isStream) this.#meter.scan(bytes)
        this.#lastBytesMs = timers.monotonicMs()
        table.append(answer, bytes, this.#readers.size === 0 ? answer.length : this.#slowest())
        this.balance()
      })
      body.once('end', () => { stopHeartbeat(); resolve(this.#ended('completed')) })
      body.once('error', error => { stopHeartbeat(); resolve(this.#broken(error)) })
    })
  }

  #heartbeat (): void {
    const { answer, table, timers, heartbeatMs } = this.#options
    if (!this.#isStream || this.#flow.isPaused || this.#readers.size === 0 || answer.length === 0 || !this.#meter.isAtLineStart) return
    if (timers.monotonicMs() - this.#lastBytesMs < heartbeatMs / 2) return
    table.append(answer, heartbeatLine, this.#slowest())
  }

  #taken (): number {
    return Math.max(...[...this.#readers].map(reader => reader.taken()))
  }

  #slowest (): number {
    return Math.min(...[...this.#readers].map(reader => reader.taken()))
  }

  #settlement (outcome: Outcome): Settlement {
    const tokens = costOf({
      call: this.call,
      kind: this.#options.kind,
      outcome,
      status: this.#status,
      isStream: this.#isStream,
      events: this.#meter.events,
      requestBytes: this.#options.request.body.length,
      answer: this.#options.answer
    })
    return { requestId: this.call.requestId, tokens, outcome }
  }

  #ended (outcome: Outcome): RunEnd {
    return { settlement: this.#settlement(outcome) }
  }

  #broken (error: Error): RunEnd {
    if (this.#isCancelled) return this.#ended('cancelled')
    return { settlement: this.#settlement('failed'), failure: backEndFailed(verdictOf(error), 'The back end broke off its answer.') }
  }

  #endWithoutHead (error: unknown): RunEnd {
    if (this.#isCancelled) return this.#ended('cancelled')
    const verdict = verdictOf(error)
    const detail = verdict === notRun ? 'The back end cannot be reached.' : 'The back end did not answer.'
    return { settlement: this.#settlement(verdict === notRun ? 'notRun' : 'failed'), failure: backEndFailed(verdict, detail) }
  }
}

function backEndFailed (verdict: Failure['verdict'], detail: string): Failure {
  return { verdict, reason: 'backEndFailed', detail }
}
