/** Limits the connections of a listener, and the requests that one connection sends ahead without reading answers. */
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { ConnectionOrder } from '@buckthorndrift/policy'
import type { CallerLimit, LimitReports } from './limitReports.ts'

export interface ServerGuardOptions {
  readonly maxConnections: number
  /** Name under which a closed connection is reported. */
  readonly limit: CallerLimit
  readonly reports: LimitReports
}

/** A connection of an HTTP server of Node.js, with the parser that reads its requests. */
interface ParsedSocket extends Socket {
  readonly parser?: { onIncoming: () => number } | null
}

/** Result of the parser's callback, which Node.js does not document, after which the rest of the bytes is not parsed. */
const stopParsing = 2

/** Node.js emits no `close` of a response that waits behind another one when their connection ends. What the request holds is given back by that event. */
function closeWithSocket (response: ServerResponse, socket: Socket): void {
  const onSocketClose = (): void => { if (response.socket === null && !response.writableFinished) response.emit('close') }
  socket.once('close', onSocketClose)
  response.once('close', () => { socket.off('close', onSocketClose) })
}

export class ConnectionGuard {
  readonly #options: ServerGuardOptions
  readonly #order: ConnectionOrder<Socket>
  /** Responses whose request was read whole. */
  readonly #read = new WeakSet<ServerResponse>()

  constructor (server: Server, options: ServerGuardOptions) {
    this.#options = options
    this.#order = new ConnectionOrder(options.maxConnections)
    // Node.js would drop the header fields beyond its own limit of their number without an error. Their size is limited.
    server.maxHeadersCount = 0
    server.on('connection', socket => { this.#add(socket) })
  }

  /** Counts a request until its answer is sent. Returns false if it is not to be handled, because its connection is closed. */
  admit ({ socket }: IncomingMessage, response: ServerResponse): boolean {
    if (socket.destroyed) return false
    if (this.#order.beginRequest(socket)) {
      closeWithSocket(response, socket)
      response.once('close', () => { this.#order.endRequest(socket, this.#read.has(response)) })
      return true
    }
    this.#options.reports.record('requestsAhead')
    socket.destroy()
    // Otherwise the objects of all requests that were read at once would be created, and kept until the connection is closed.
    const { parser } = socket as ParsedSocket
    if (parser != null) parser.onIncoming = () => stopParsing
    return false
  }

  /** Records that a request was read whole, so that its connection is not closed for others while it runs. */
  recordRead ({ socket }: IncomingMessage, response: ServerResponse): void {
    this.#read.add(response)
    this.#order.recordRead(socket)
  }

  #add (socket: Socket): void {
    socket.once('close', () => { this.#order.remove(socket) })
    const victim = this.#order.add(socket)
    if (victim === undefined) return
    this.#options.reports.record(this.#options.limit)
    victim.destroy()
  }
}

/** Answers the requests of a server within the limits. */
export function guardServer (server: Server, handle: RequestListener, options: ServerGuardOptions): Server {
  const guard = new ConnectionGuard(server, options)
  server.on('request', (request, response) => {
    if (guard.admit(request, response)) handle(request, response)
  })
  server.on('connection', socket => { socket.on('error', () => { socket.destroy() }) })
  return server
}
