/** Handles calls and attaches on the data listener. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { TimerService, Tracing } from '@buckthorndrift/kernel'
import { callHeader, callSchema, requestIdHeader, type Call } from '@buckthorndrift/protocol'
import type { Failure } from '@buckthorndrift/policy'
import { Answer } from '../shared/answer.ts'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { malformedCall, requestTooLarge } from '../shared/failures.ts'
import { requestHeadersOf } from '../shared/headers.ts'
import { sendProblem, writeAnswer } from './answerWriter.ts'
import type { Gate } from './requestDispatcher.ts'
import type { NodeHandler } from './listener.ts'

export interface CallHandlerOptions {
  readonly gate: Gate
  readonly settings: EndpointSettings
  readonly incarnation: string
  readonly timers: TimerService
  readonly tracing?: Tracing | undefined
}

type BodyOutcome = { readonly kind: 'complete', readonly body: Buffer } | { readonly kind: 'tooLarge' } | { readonly kind: 'broken' }

/** Reads the whole body: a request that did not arrive completely never runs. */
async function readBody (request: IncomingMessage, limitBytes: number): Promise<BodyOutcome> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) return { kind: 'tooLarge' }
  const parts: Buffer[] = []
  let length = 0
  try {
    for await (const part of request as AsyncIterable<Buffer>) {
      length += part.length
      if (length > limitBytes) return { kind: 'tooLarge' }
      parts.push(part)
    }
  } catch {
    return { kind: 'broken' }
  }
  return request.complete ? { kind: 'complete', body: Buffer.concat(parts, length) } : { kind: 'broken' }
}

function parseCall (request: IncomingMessage): Call | undefined {
  const text = request.headers[callHeader]
  if (typeof text !== 'string') return undefined
  try {
    return callSchema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}

/** Streams an answer to a router from `offset` on. */
function stream (options: CallHandlerOptions, requestId: string, found: Answer | Failure, offset: number, response: ServerResponse): void {
  const { gate, settings, timers } = options
  if (!(found instanceof Answer)) { sendProblem(response, requestId, found, gate.load()); return }
  const reader = writeAnswer({
    requestId,
    answer: found,
    offset,
    response,
    timers,
    heartbeatMs: settings.heartbeatMs,
    load: () => gate.load(),
    onProgress: () => { gate.noteProgress(requestId) }
  })
  const removeReader = gate.addReader(requestId, reader)
  if (response.closed) removeReader()
  else response.once('close', removeReader)
}

/** One span from the arrival of a call to the end of its response. Returns the headers for the back end. */
function traceHop (tracing: Tracing, call: Call, request: IncomingMessage, response: ServerResponse): Readonly<Record<string, string>> {
  const attributes = { requestId: call.requestId, service: call.service, version: call.version, route: call.route }
  const span = tracing.tracer.startSpan('endpoint.call', { attributes }, tracing.extract(request.headers))
  response.once('close', () => {
    span.setAttribute('status', response.statusCode)
    span.end()
  })
  return tracing.inject(span)
}

/** Handles `<method> <path>` with header `bd-call`. */
export function createCallHandler (options: CallHandlerOptions): NodeHandler {
  const { gate, settings, timers, tracing } = options
  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = timers.monotonicMs()
    const call = parseCall(request)
    if (call === undefined) { sendProblem(response, '', malformedCall, gate.load()); return }
    const outcome = await readBody(request, settings.requestLimitBytes)
    if (outcome.kind === 'broken') { response.destroy(); return }
    if (outcome.kind === 'tooLarge') { sendProblem(response, call.requestId, requestTooLarge, gate.load()); return }
    const headers = requestHeadersOf(request.headers)
    // A compressed stream could be neither metered nor interleaved with heartbeats.
    if (settings.backEndKind === 'model') delete headers['accept-encoding']
    if (tracing !== undefined) Object.assign(headers, traceHop(tracing, call, request, response))
    const answer = gate.accept(call, {
      requestId: call.requestId, method: request.method ?? 'GET', path: request.url ?? '/', headers, body: outcome.body
    }, arrivedAtMs + call.deadlineMs)
    stream(options, call.requestId, answer, 0, response)
  }
  return (request, response) => { handle(request, response).catch(() => { response.destroy() }) }
}

/** Offset of `?offset=`, 0 without one; `undefined` when it is no offset. */
function offsetOf (url: URL): number | undefined {
  const offset = Number(url.searchParams.get('offset') ?? 0)
  return Number.isSafeInteger(offset) && offset >= 0 ? offset : undefined
}

/**
 * Handles `GET /attach/<requestId>?offset=<bytes>&incarnation=<incarnation>`,
 * and `DELETE /attach/<requestId>` when the caller is gone for good. The
 * incarnation is that of the process which the request was sent to: only this
 * one can say "not run" of an id that it has not seen, because an earlier life
 * at the same address may have run it.
 */
export function createAttachHandler (options: CallHandlerOptions): NodeHandler {
  const { gate } = options
  return (request, response) => {
    const url = new URL(request.url ?? '/', 'http://endpoint')
    const requestId = decodeURIComponent(url.pathname.slice('/attach/'.length))
    const offset = offsetOf(url)
    if (offset === undefined) { sendProblem(response, requestId, malformedCall, gate.load()); return }
    switch (request.method) {
      case 'GET': {
        const isSameLife = url.searchParams.get('incarnation') === options.incarnation
        stream(options, requestId, gate.attach(requestId, isSameLife), offset, response)
        return
      }
      case 'DELETE': gate.abandon(requestId); response.writeHead(204, { [requestIdHeader]: requestId }).end(); return
      default: response.writeHead(405).end()
    }
  }
}
