/** HTTP server for callers: reads and admits their requests. */
import { createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { assertNever } from '@buckthorndrift/kernel'
import { notRun, type Failure, type FailureReason, type MemoryHolder } from '@buckthorndrift/policy'
import type { CallerLimits, Organisation, Route } from '../shared/fleet.ts'
import type { RouteTable } from '../shared/routeTable.ts'
import { contentOf, type CallInput } from './callInput.ts'
import { readCallerBody } from './callerBody.ts'
import { CallRun } from './callRun.ts'
import { ConnectionGuard } from './connectionGuard.ts'
import { sendFailure } from './sendFailure.ts'
import type { GatewayState } from './gatewayState.ts'
import { retryElsewhereMs, stopRefusal, stopTooSoonDetail } from './stopRefusal.ts'

const maxHeaderBytes = 64 * 1024
/** Size at which Node.js stops reading a head, relative to the limit of the configuration. Its count includes the path and the framing of each line. */
const headerSizeFactor = 2
/** Interval at which Node.js checks the header timeout of incomplete requests. */
const timeoutCheckIntervalMs = 500
/** Bytes buffered for a caller that reads slowly. Beyond them, back pressure pauses reading from its endpoint. */
const responseBufferBytes = 32 * 1024
/** Time after the start of a graceful shutdown during which new requests are still accepted. Later requests on keep-alive connections are refused, so that callers retry at another router. */
const shutdownAcceptMs = 3000
/** Memory that a request holds with its objects. */
const requestBytes = 4096
/** Memory that the strings of a line of the head hold beside their characters. */
const headerLineBytes = 128
const badRequestStatus = 400
const timeoutStatus = 408
/** Statuses of requests that cannot be read, by the error code of Node.js. */
const unreadableStatuses: Readonly<Record<string, number>> = { ERR_HTTP_REQUEST_TIMEOUT: 408, HPE_HEADER_OVERFLOW: 431, HPE_CHUNK_EXTENSIONS_OVERFLOW: 413 }

type Admission =
  | { readonly kind: 'admitted', readonly route: Route, readonly organisation: Organisation | undefined, readonly table: RouteTable }
  | { readonly kind: 'refused', readonly failure: Failure }

/** A request that was read whole. */
interface ReadRequest {
  readonly holder: MemoryHolder
  readonly body: Buffer | undefined
  readonly arrivedMs: number
}

function refusal (reason: FailureReason, detail: string, retryAfterMs?: number): Admission {
  return { kind: 'refused', failure: { verdict: notRun, reason, detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) } }
}

export class CallerServer {
  readonly server: Server
  readonly #state: GatewayState
  readonly #guard: ConnectionGuard
  /** Connections with a request that is not answered yet. */
  readonly #answering = new Set<Duplex>()
  readonly #unreadable = new WeakSet<Duplex>()
  readonly #runs = new Set<CallRun>()
  #stoppingSinceMs: number | undefined

  constructor (state: GatewayState, maxConnections: number) {
    this.#state = state
    this.server = createServer({
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: timeoutCheckIntervalMs,
      highWaterMark: responseBufferBytes,
      noDelay: true,
      keepAlive: true
    }, (request, response) => {
      if (this.#guard.admit(request, response)) this.#handle(request, response).catch((error: unknown) => { this.#abandon(request, response, error) })
    })
    this.#guard = new ConnectionGuard(this.server, { maxConnections, limit: 'callerConnections', reports: state.limitReports })
    this.server.requestTimeout = 0
    this.server.on('clientError', (error, socket) => { this.#rejectUnreadable(error, socket) })
    this.server.on('connection', socket => {
      state.load.track(socket)
      socket.on('error', () => { socket.destroy() })
    })
  }

  /** Applies the limits of a new configuration. */
  configure (limits: CallerLimits): void {
    // Node.js reads this property for each new connection.
    (this.server as Server & { maxHeaderSize: number }).maxHeaderSize = Math.min(maxHeaderBytes, limits.maxHeaderBytes * headerSizeFactor)
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /** Starts the graceful shutdown. New requests are accepted for a while, because the load balancer keeps sending requests until it detects the shutdown. */
  beginShutdown (): void {
    this.#stoppingSinceMs = this.#state.clock.nowMs()
  }

  /** Ends the requests that are still open at the end of the grace period. */
  endRequests (): void {
    for (const run of this.#runs) run.stop()
  }

  /** Resets the connections whose responses are not complete. A response without a length would look complete if its connection were closed. */
  resetUnfinished (): void {
    for (const socket of this.#answering) (socket as Socket).resetAndDestroy()
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedMs = this.#state.clock.nowMs()
    this.#state.openRequests++
    this.#answering.add(request.socket)
    response.on('close', () => {
      this.#state.openRequests--
      this.#answering.delete(request.socket)
    })
    response.on('error', () => { response.destroy() })
    request.on('error', () => { response.destroy() })
    const earlyAdmission = this.#admit(request)
    if (earlyAdmission.kind === 'refused') {
      this.#sendRefusal(request, response, earlyAdmission.failure)
      return
    }
    const limits = earlyAdmission.table.configuration.limits
    const bytes = headerBytes(request)
    if (bytes > limits.maxHeaderBytes) {
      response.writeHead(431, { Connection: 'close', 'Content-Length': 0 }).end()
      return
    }
    const { holder, read } = readCallerBody(request, response, {
      memory: this.#state.memory,
      headBytes: requestBytes + bytes + request.rawHeaders.length / 2 * headerLineBytes,
      maxBodyBytes: limits.maxBodyBytes,
      timeoutMs: this.#timeoutMs(request, earlyAdmission.route),
      nowMs: () => this.#state.clock.nowMs()
    })
    const result = await read
    switch (result.kind) {
      case 'read':
        this.#guard.recordRead(request, response)
        await this.#startRun(request, response, { holder, body: result.body, arrivedMs })
        return
      case 'tooLarge':
        this.#sendRefusal(request, response, { verdict: notRun, reason: 'requestTooLarge', detail: `the body is larger than ${limits.maxBodyBytes} bytes` })
        return
      case 'noMemory':
        this.#state.limitReports.record('memory')
        this.#sendRefusal(request, response, { verdict: notRun, reason: 'overloaded', detail: 'the requests of callers have used up the memory for them', retryAfterMs: this.#state.retryAfterMs() })
        return
      case 'late':
        this.#state.limitReports.record('requestDeadline')
        this.#state.log.event('requestUnreadable', { cause: 'the deadline passed before the body was complete', status: timeoutStatus })
        response.writeHead(timeoutStatus, { Connection: 'close', 'Content-Length': 0 }).end()
        return
      case 'aborted':
        return
      default:
        assertNever(result)
    }
  }

  /** Time after its arrival at which a request ends. */
  #timeoutMs (request: IncomingMessage, route: Route): number {
    return Math.min(this.#state.dialect.parseCall(request.headers).deadlineMs ?? route.timeoutMs, route.timeoutMs)
  }

  async #startRun (request: IncomingMessage, response: ServerResponse, read: ReadRequest): Promise<void> {
    // The configuration may have changed while the body was read.
    const admission = this.#admit(request)
    if (admission.kind === 'refused') this.#sendRefusal(request, response, admission.failure)
    else await this.#run(request, response, admission, read)
  }

  /** Closes the connection of a request whose handling failed, which says nothing about whether it ran. The other requests go on. */
  #abandon (request: IncomingMessage, response: ServerResponse, error: unknown): void {
    this.#state.log.event('requestHandlingFailed', { attemptId: this.#state.dialect.parseCall(request.headers).attemptId ?? '', cause: error instanceof Error ? error.stack ?? error.message : String(error) })
    response.destroy()
  }

  async #run (request: IncomingMessage, response: ServerResponse, admission: Extract<Admission, { kind: 'admitted' }>, { holder, body, arrivedMs }: ReadRequest): Promise<void> {
    const { route, organisation, table } = admission
    const attributes = this.#state.dialect.parseCall(request.headers)
    const serviceName = this.#state.chooseService(route.targets)
    const service = serviceName === undefined ? undefined : table.service(serviceName)
    if (service === undefined) {
      this.#sendRefusal(request, response, { verdict: notRun, reason: 'noEndpoint', detail: 'the route has no service', retryAfterMs: this.#state.retryAfterMs() })
      return
    }
    if (!this.#state.guard.admits(route.priority, route.objectiveMs)) {
      this.#sendRefusal(request, response, { verdict: notRun, reason: 'overloaded', detail: 'the VM of this router is near its limits', retryAfterMs: retryElsewhereMs })
      return
    }
    const timeoutMs = this.#timeoutMs(request, route)
    if (!this.#state.mayStart(route, arrivedMs + timeoutMs)) {
      this.#sendRefusal(request, response, stopRefusal(stopTooSoonDetail))
      return
    }
    this.#state.retryQuotaOf(service.name).recordRequest(arrivedMs)
    const input: CallInput = {
      request,
      response,
      attributes,
      body,
      holder,
      route,
      service,
      organisation,
      configurationVersion: table.version,
      arrivedMs,
      deadlineAtMs: arrivedMs + timeoutMs
    }
    const suspicion = this.#state.crashes.suspicionOf(contentOf(input))
    if (suspicion !== undefined) {
      this.#sendRefusal(request, response, { verdict: notRun, reason: 'crashSuspect', detail: suspicion })
      return
    }
    const run = new CallRun(this.#state, input)
    this.#runs.add(run)
    response.on('close', () => { this.#runs.delete(run) })
    await run.start()
  }

  /** Answers a request that the HTTP parser gave up on, such as one whose headers take too long. Without this listener, Node.js answers it without a log line. */
  #rejectUnreadable (error: NodeJS.ErrnoException, socket: Duplex): void {
    // The parser may report several errors of one connection.
    if (this.#unreadable.has(socket)) return
    this.#unreadable.add(socket)
    const status = unreadableStatuses[error.code ?? ''] ?? badRequestStatus
    const isAnswerable = socket.writable && error.code !== 'ECONNRESET' && !this.#answering.has(socket)
    this.#state.log.event('requestUnreadable', { cause: error.code ?? error.message, status: isAnswerable ? status : null })
    if (!isAnswerable) socket.destroy()
    else socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }

  #admit (request: IncomingMessage): Admission {
    const { routeTable: table } = this.#state
    if (table === undefined) return refusal('noEndpoint', 'no configuration is known yet', this.#state.retryAfterMs())
    if (this.#stoppingSinceMs !== undefined && this.#state.clock.nowMs() - this.#stoppingSinceMs > shutdownAcceptMs) {
      return { kind: 'refused', failure: stopRefusal('this router is shutting down') }
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

  #sendRefusal (request: IncomingMessage, response: ServerResponse, failure: Failure): void {
    const isBodyUnread = !request.complete
    const status = sendFailure(response, failure, this.#state.shouldCloseConnections || isBodyUnread)
    this.#state.metrics.refusals.inc({ reason: failure.reason })
    this.#state.log.event('requestRefused', {
      attemptId: this.#state.dialect.parseCall(request.headers).attemptId ?? '',
      status,
      reason: failure.reason,
      detail: failure.detail,
      configurationVersion: this.#state.routeTable?.version ?? 0
    })
  }
}

function headerBytes (request: IncomingMessage): number {
  let bytes = 0
  for (const text of request.rawHeaders) bytes += text.length + 2
  return bytes
}
