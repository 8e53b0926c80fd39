/** Sends a buffered response to one router, as fast as that router reads it. */
import type { ServerResponse } from 'node:http'
import type { TimerService } from '@buckthorndrift/kernel'
import { loadHeader, requestIdHeader, settlementTrailer, verdictHeader, type Load, type Problem } from '@buckthorndrift/protocol'
import { httpStatusOf, type Failure } from '@buckthorndrift/policy'
import type { BufferedResponse } from '../shared/bufferedResponse.ts'
import { answerExpired } from '../shared/failures.ts'

export interface ResponseReader {
  /** Offset up to which the body has been written to the connection. */
  readonly flushedOffset: () => number
}

export interface ResponseWriterOptions {
  readonly requestId: string
  readonly bufferedResponse: BufferedResponse
  /** Offset of the first body byte to send. */
  readonly offset: number
  readonly response: ServerResponse
  readonly timers: TimerService
  readonly heartbeatMs: number
  readonly load: () => Load
  /** Called when more bytes have been written to the connection. */
  readonly onProgress: () => void
}

/** Whether the response has no body, and therefore no trailers. */
function hasNoBody (status: number, method: string | undefined): boolean {
  return status === 204 || status === 304 || method === 'HEAD'
}

function createProblem (requestId: string, failure: Failure): Problem {
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

/** Sends a refusal or failure as `application/problem+json`. */
export function sendProblem (response: ServerResponse, requestId: string, failure: Failure, load: Load): void {
  const problem = createProblem(requestId, failure)
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

/** Starts sending. Stops at the end of the buffered response or when the connection closes. */
export function writeResponse (options: ResponseWriterOptions): ResponseReader {
  const { bufferedResponse, response, requestId } = options
  let nextOffset = options.offset
  let isStopped = false
  let lastHeartbeatAtMs = options.timers.monotonicMs()

  const unsubscribe = bufferedResponse.subscribe(sendAvailable)
  const stopHeartbeat = options.timers.every(options.heartbeatMs, sendHeartbeat)
  response.on('drain', () => { options.onProgress(); sendAvailable() })
  response.once('close', stop)
  sendAvailable()
  return { flushedOffset: () => Math.max(options.offset, nextOffset - response.writableLength) }

  function stop (): void {
    isStopped = true
    unsubscribe()
    stopHeartbeat()
  }

  /** Sends `102 Processing`, so that the router can tell a waiting request from a dead connection. */
  function sendHeartbeat (): void {
    if (isStopped || response.headersSent) return
    if (options.timers.monotonicMs() - lastHeartbeatAtMs < options.heartbeatMs / 2) return
    lastHeartbeatAtMs = options.timers.monotonicMs()
    response.writeProcessing()
  }

  function sendAvailable (): void {
    if (isStopped) return
    if (bufferedResponse.failure !== undefined) { sendFailure(bufferedResponse.failure); return }
    const isBeyondEnd = bufferedResponse.settlement !== undefined && options.offset > bufferedResponse.length
    if (nextOffset < bufferedResponse.startOffset || isBeyondEnd) { sendFailure(answerExpired); return }
    if (!response.headersSent && !sendHead()) return
    sendBody()
  }

  function sendFailure (failure: Failure): void {
    stop()
    if (response.headersSent) response.destroy()
    else sendProblem(response, requestId, failure, options.load())
  }

  /**
   * Sends the response head once the first body byte or the end of the response has arrived. It is not sent earlier,
   * because a back end may send its head long before its body, and 102 heartbeats are not possible after the head.
   * Returns false if the head cannot be sent yet.
   */
  function sendHead (): boolean {
    const head = bufferedResponse.head
    if (head === undefined || (bufferedResponse.state === 'streaming' && bufferedResponse.length === 0)) return false
    const hasNoTrailers = hasNoBody(head.status, response.req.method)
    response.writeHead(head.status, {
      ...head.headers as Record<string, string>,
      [loadHeader]: JSON.stringify(options.load()),
      [requestIdHeader]: requestId,
      ...(hasNoTrailers ? { [settlementTrailer]: JSON.stringify(bufferedResponse.settlement) } : { trailer: settlementTrailer, 'transfer-encoding': 'chunked' })
    })
    return true
  }

  function sendBody (): void {
    while (nextOffset < bufferedResponse.length) {
      if (response.writableNeedDrain) return
      const bytes = bufferedResponse.read(nextOffset)
      nextOffset += bytes.length
      response.write(bytes)
    }
    options.onProgress()
    if (bufferedResponse.settlement === undefined) return
    stop()
    if (!hasNoBody(response.statusCode, response.req.method)) response.addTrailers({ [settlementTrailer]: JSON.stringify(bufferedResponse.settlement) })
    response.end()
  }
}
