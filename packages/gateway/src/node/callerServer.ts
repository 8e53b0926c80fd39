/** Listener for callers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { notRun, type Failure, type FailureReason } from '@buckthorndrift/policy'
import type { CallerLimits, Organisation, Route } from '../shared/fleet.ts'
import type { RouteTable } from '../shared/routeTable.ts'
import { contentOf, type CallInput } from './callInput.ts'
import { CallRun } from './callRun.ts'
import { sendFailure } from './callerAnswer.ts'
import type { GatewayState } from './gatewayState.ts'
import { readBody } from './readBody.ts'

const maxHeaderBytes = 64 * 1024
/** Interval at which the time limits of unfinished requests are checked. */
const limitCheckMs = 500
/** Bytes kept for a caller that reads slowly, beyond which its endpoint is not read either. */
const responseBufferBytes = 32 * 1024
/** After this time of a graceful shutdown, requests on kept connections are sent to another router. */
const acceptAfterStopMs = 3000
const retryElsewhereMs = 50

type Admission =
  | { readonly kind: 'admitted', readonly route: Route, readonly organisation: Organisation | undefined, readonly table: RouteTable }
  | { readonly kind: 'refused', readonly failure: Failure }

function refusal (reason: FailureReason, detail: string, retryAfterMs?: number): Admission {
  return { kind: 'refused', failure: { verdict: notRun, reason, detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) } }
}

export class CallerServer {
  readonly server: Server
  readonly #state: GatewayState
  #stoppingSinceMs: number | undefined

  constructor (state: GatewayState) {
    this.#state = state
    this.server = createServer({
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: limitCheckMs,
      highWaterMark: responseBufferBytes,
      noDelay: true,
      keepAlive: true
    }, (request, response) => { void this.#handle(request, response) })
    this.server.requestTimeout = 0
    this.server.on('connection', socket => {
      state.load.track(socket)
      socket.on('error', () => { socket.destroy() })
    })
  }

  /** Takes the limits of a configuration. */
  configure (limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /** New requests are still taken for a while, because the balancer learns of the shutdown late. */
  beginShutdown (): void {
    this.#stoppingSinceMs = this.#state.clock.nowMs()
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedMs = this.#state.clock.nowMs()
    this.#state.openRequests++
    response.on('close', () => { this.#state.openRequests-- })
    response.on('error', () => { response.destroy() })
    request.on('error', () => { response.destroy() })
    const early = this.#admit(request)
    if (early.kind === 'refused') {
      this.#answerRefusal(request, response, early.failure)
      return
    }
    const limits = early.table.configuration.limits
    if (headerBytes(request) > limits.maxHeaderBytes) {
      response.writeHead(431, { Connection: 'close', 'Content-Length': 0 }).end()
      return
    }
    const read = await readBody(request, limits.maxBodyBytes)
    if (read.kind === 'aborted') return
    if (read.kind === 'tooLarge') {
      this.#answerRefusal(request, response, { verdict: notRun, reason: 'requestTooLarge', detail: `the body is larger than ${limits.maxBodyBytes} bytes` })
      return
    }
    // The configuration may have changed while the body came in.
    const admission = this.#admit(request)
    if (admission.kind === 'refused') {
      this.#answerRefusal(request, response, admission.failure)
      return
    }
    await this.#run(request, response, admission, read.body, arrivedMs)
  }

  async #run (request: IncomingMessage, response: ServerResponse, admission: Extract<Admission, { kind: 'admitted' }>, body: Buffer | undefined, arrivedMs: number): Promise<void> {
    const { route, organisation, table } = admission
    const attributes = this.#state.dialect.parseCall(request.headers)
    const serviceName = this.#state.chooseService(route.targets)
    const service = serviceName === undefined ? undefined : table.service(serviceName)
    if (service === undefined) {
      this.#answerRefusal(request, response, { verdict: notRun, reason: 'noEndpoint', detail: 'the route has no service', retryAfterMs: this.#state.retryAfterMs() })
      return
    }
    if (!this.#state.guard.admits(route.priority)) {
      this.#answerRefusal(request, response, { verdict: notRun, reason: 'overloaded', detail: 'the VM of this router is near its limits', retryAfterMs: retryElsewhereMs })
      return
    }
    this.#state.quotaOf(service.name).noteRequest(arrivedMs)
    const patienceMs = Math.min(attributes.deadlineMs ?? route.timeoutMs, route.timeoutMs)
    const input: CallInput = {
      request,
      response,
      attributes,
      body,
      route,
      service,
      organisation,
      configurationVersion: table.version,
      arrivedMs,
      deadlineAtMs: arrivedMs + patienceMs
    }
    if (this.#state.crashes.isSuspect(contentOf(input))) {
      this.#answerRefusal(request, response, { verdict: notRun, reason: 'crashSuspect', detail: 'endpoints died whenever they ran this request' })
      return
    }
    const run = new CallRun(this.#state, input)
    await run.start()
  }

  #admit (request: IncomingMessage): Admission {
    const { table } = this.#state
    if (table === undefined) return refusal('noEndpoint', 'no configuration is known yet', this.#state.retryAfterMs())
    if (this.#stoppingSinceMs !== undefined && this.#state.clock.nowMs() - this.#stoppingSinceMs > acceptAfterStopMs) {
      return refusal('draining', 'this router is shutting down', retryElsewhereMs)
    }
    const route = table.match(request.headers.host ?? '', request.url ?? '/')
    if (route === undefined) return refusal('unknownService', 'no route matches the host and path')
    if (!table.needsKeys || route.isPublic) return { kind: 'admitted', route, organisation: this.#organisation(request, table), table }
    const organisation = this.#organisation(request, table)
    if (organisation === undefined) return refusal('unauthenticated', 'the API key is missing or unknown')
    return { kind: 'admitted', route, organisation, table }
  }

  #organisation (request: IncomingMessage, table: RouteTable): Organisation | undefined {
    const { apiKey } = this.#state.dialect.parseCall(request.headers)
    return apiKey === undefined ? undefined : table.organisationOf(apiKey)
  }

  #answerRefusal (request: IncomingMessage, response: ServerResponse, failure: Failure): void {
    const isBodyUnread = !request.complete
    const status = sendFailure(response, failure, this.#state.closesConnections || isBodyUnread)
    this.#state.metrics.refusals.inc({ reason: failure.reason })
    this.#state.log.event('requestRefused', {
      attemptId: this.#state.dialect.parseCall(request.headers).attemptId ?? '',
      status,
      reason: failure.reason,
      detail: failure.detail,
      configurationVersion: this.#state.table?.version ?? 0
    })
  }
}

function headerBytes (request: IncomingMessage): number {
  let bytes = 0
  for (const text of request.rawHeaders) bytes += text.length + 2
  return bytes
}
