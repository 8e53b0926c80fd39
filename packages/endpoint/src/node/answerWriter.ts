/** Sends a kept answer to one router, as fast as that router reads. */
import type { ServerResponse } from 'node:http'
import type { TimerService } from '@buckthorndrift/kernel'
import { loadHeader, requestIdHeader, settlementTrailer, verdictHeader, type Load, type Problem } from '@buckthorndrift/protocol'
import { httpStatusOf, type Failure } from '@buckthorndrift/policy'
import type { Answer } from '../shared/answer.ts'
import { answerExpired } from '../shared/failures.ts'

export interface AnswerReader {
  /** Offset up to which the connection has taken the body. */
  readonly taken: () => number
}

export interface WriterOptions {
  readonly requestId: string
  readonly answer: Answer
  readonly offset: number
  readonly response: ServerResponse
  readonly timers: TimerService
  readonly heartbeatMs: number
  readonly load: () => Load
  /** Called when the router has taken more bytes. */
  readonly onProgress: () => void
}

/** Status codes whose responses have no body, and so no trailers. */
function hasNoBody (status: number, method: string | undefined): boolean {
  return status === 204 || status === 304 || method === 'HEAD'
}

function problemOf (requestId: string, failure: Failure): Problem {
  return {
    type: `urn:buckthorndrift:${failure.reason}`,
    title: failure.reason,
    status: httpStatusOf(failure.reason),
    detail: failure.detail,
    verdict: failure.verdict.kind,
    reason: failure.reason,
    requestId,
    ...(failure.retryAfterMs === undefined ? {} : { retryAfterMs: failure.retryAfterMs })
  }
}

/** Sends a refusal or failure as a problem body. */
export function sendProblem (response: ServerResponse, requestId: string, failure: Failure, load: Load): void {
  const problem = problemOf(requestId, failure)
  const body = JSON.stringify(problem)
  response.writeHead(problem.status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    [verdictHeader]: problem.verdict,
    [requestIdHeader]: requestId,
    [loadHeader]: JSON.stringify(load),
    ...(failure.retryAfterMs === undefined ? {} : { 'retry-after': String(Math.ceil(failure.retryAfterMs / 1000)) })
  })
  response.end(body)
}

/** Starts sending; ends by itself with the answer or the connection. */
export function writeAnswer (options: WriterOptions): AnswerReader {
  const { answer, response, requestId } = options
  let position = options.offset
  let isDone = false
  let lastWriteMs = options.timers.monotonicMs()

  const unsubscribe = answer.subscribe(advance)
  const stopHeartbeat = options.timers.every(options.heartbeatMs, heartbeat)
  response.on('drain', () => { options.onProgress(); advance() })
  response.once('close', stop)
  advance()
  return { taken: () => Math.max(options.offset, position - response.writableLength) }

  function stop (): void {
    isDone = true
    unsubscribe()
    stopHeartbeat()
  }

  /** 102 responses show that the call is known while there is no head to send. */
  function heartbeat (): void {
    if (isDone || response.headersSent) return
    if (options.timers.monotonicMs() - lastWriteMs < options.heartbeatMs / 2) return
    lastWriteMs = options.timers.monotonicMs()
    response.writeProcessing()
  }

  function advance (): void {
    if (isDone) return
    if (answer.failure !== undefined) { finishWithFailure(answer.failure); return }
    const isBeyond = answer.settlement !== undefined && options.offset > answer.length
    if (position < answer.base || isBeyond) { finishWithFailure(answerExpired); return }
    if (!response.headersSent && !sendHead()) return
    sendBody()
  }

  function finishWithFailure (failure: Failure): void {
    stop()
    if (response.headersSent) response.destroy()
    else sendProblem(response, requestId, failure, options.load())
  }

  /** Waits for the first byte, so that a back end that sends its head early still gets 102 heartbeats. */
  function sendHead (): boolean {
    const head = answer.head
    if (head === undefined || (answer.state === 'streaming' && answer.length === 0)) return false
    const isBodiless = hasNoBody(head.status, response.req.method)
    response.writeHead(head.status, {
      ...head.headers as Record<string, string>,
      [loadHeader]: JSON.stringify(options.load()),
      [requestIdHeader]: requestId,
      ...(isBodiless ? { [settlementTrailer]: JSON.stringify(answer.settlement) } : { trailer: settlementTrailer, 'transfer-encoding': 'chunked' })
    })
    return true
  }

  function sendBody (): void {
    while (position < answer.length) {
      if (response.writableNeedDrain) return
      const bytes = answer.read(position)
      position += bytes.length
      response.write(bytes)
    }
    options.onProgress()
    if (answer.settlement === undefined) return
    stop()
    if (!hasNoBody(response.statusCode, response.req.method)) response.addTrailers({ [settlementTrailer]: JSON.stringify(answer.settlement) })
    response.end()
  }
}
