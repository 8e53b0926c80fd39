/** HTTP handlers for calls, and for routers that attach to the buffered response of an earlier call. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { TimerService, Tracing } from '@buckthorndrift/kernel'
import { callHeader, callSchema, requestIdHeader, type Call } from '@buckthorndrift/protocol'
import type { Failure } from '@buckthorndrift/policy'
import { BufferedResponse } from '../shared/bufferedResponse.ts'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { malformedCall, requestTooLarge } from '../shared/failures.ts'
import { filterRequestHeaders } from '../shared/headers.ts'
import { sendProblem, writeResponse } from './responseWriter.ts'
import type { RequestDispatcher } from './requestDispatcher.ts'
import type { NodeHandler } from './listener.ts'

export interface CallHandlerOptions {
  readonly dispatcher: RequestDispatcher
  readonly settings: EndpointSettings
  readonly incarnation: string
  readonly timers: TimerService
  readonly tracing?: Tracing | undefined
}

type BodyResult = { readonly kind: 'complete', readonly body: Buffer } | { readonly kind: 'tooLarge' } | { readonly kind: 'broken' }

/** Reads the whole body. A request whose body did not arrive completely never runs. */
async function readBody (request: IncomingMessage, limitBytes: number): Promise<BodyResult> {
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

/** Sends a buffered response to a router from `offset` on. A failure is sent as `application/problem+json`. */
function streamResponse (options: CallHandlerOptions, requestId: string, result: BufferedResponse | Failure, offset: number, response: ServerResponse): void {
  const { dispatcher, settings, timers } = options
  if (!(result instanceof BufferedResponse)) { sendProblem(response, requestId, result, dispatcher.load()); return }
  const reader = writeResponse({
    requestId,
    bufferedResponse: result,
    offset,
    response,
    timers,
    heartbeatMs: settings.heartbeatMs,
    load: () => dispatcher.load(),
    onProgress: () => { dispatcher.handleReaderProgress(requestId) }
  })
  const removeReader = dispatcher.addReader(requestId, reader)
  if (response.closed) removeReader()
  else response.once('close', removeReader)
}

/** Starts a span that lasts until the response is closed. Returns the trace headers for the back end. */
function startCallSpan (tracing: Tracing, call: Call, request: IncomingMessage, response: ServerResponse): Readonly<Record<string, string>> {
  const attributes = { requestId: call.requestId, service: call.service, version: call.version, route: call.route }
  const span = tracing.tracer.startSpan('endpoint.call', { attributes }, tracing.extract(request.headers))
  response.once('close', () => {
    span.setAttribute('status', response.statusCode)
    span.end()
  })
  return tracing.inject(span)
}

/** Creates the handler of calls: requests with any method and path that carry the header `bd-call`. */
export function createCallHandler (options: CallHandlerOptions): NodeHandler {
  const { dispatcher, settings, timers, tracing } = options
  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = timers.monotonicMs()
    const call = parseCall(request)
    if (call === undefined) { sendProblem(response, '', malformedCall, dispatcher.load()); return }
    const bodyResult = await readBody(request, settings.requestLimitBytes)
    if (bodyResult.kind === 'broken') { response.destroy(); return }
    if (bodyResult.kind === 'tooLarge') { sendProblem(response, call.requestId, requestTooLarge, dispatcher.load()); return }
    const headers = filterRequestHeaders(request.headers)
    // Tokens cannot be counted in a compressed stream, and heartbeats cannot be inserted into it.
    if (settings.backEndKind === 'model') delete headers['accept-encoding']
    if (tracing !== undefined) Object.assign(headers, startCallSpan(tracing, call, request, response))
    const result = dispatcher.accept(call, {
      requestId: call.requestId, method: request.method ?? 'GET', path: request.url ?? '/', headers, body: bodyResult.body
    }, arrivedAtMs + call.deadlineMs)
    streamResponse(options, call.requestId, result, 0, response)
  }
  return (request, response) => { handle(request, response).catch(() => { response.destroy() }) }
}

/** Returns the query parameter `offset`, 0 if it is absent, or `undefined` if it is not a valid offset. */
function parseOffset (url: URL): number | undefined {
  const offset = Number(url.searchParams.get('offset') ?? 0)
  return Number.isSafeInteger(offset) && offset >= 0 ? offset : undefined
}

/**
 * Creates the handler of `GET /attach/<requestId>?offset=<bytes>&incarnation=<incarnation>`,
 * which sends the response of an earlier call from `offset` on, and of
 * `DELETE /attach/<requestId>`, which reports that the caller will not return.
 *
 * `incarnation` names the process incarnation that the request was sent to. If
 * it is this one, an unknown request id certainly did not run. If it is another
 * one, an earlier process at the same address may have run the request.
 */
export function createAttachHandler (options: CallHandlerOptions): NodeHandler {
  const { dispatcher } = options
  return (request, response) => {
    const url = new URL(request.url ?? '/', 'http://endpoint')
    const requestId = decodeURIComponent(url.pathname.slice('/attach/'.length))
    const offset = parseOffset(url)
    if (offset === undefined) { sendProblem(response, requestId, malformedCall, dispatcher.load()); return }
    switch (request.method) {
      case 'GET': {
        const isSameIncarnation = url.searchParams.get('incarnation') === options.incarnation
        streamResponse(options, requestId, dispatcher.attach(requestId, isSameIncarnation), offset, response)
        return
      }
      case 'DELETE': dispatcher.abandon(requestId); response.writeHead(204, { [requestIdHeader]: requestId }).end(); return
      default: response.writeHead(405).end()
    }
  }
}
