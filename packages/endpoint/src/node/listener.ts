/** The process's one listener: calls with `bd-call`, answers under `/attach`, control under `/trpc`. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { fromNodeHandler, H3, toNodeHandler, type EventHandler, type NodeHandler as H3NodeHandler } from 'h3'
import { callHeader, controlPath, createControlHandler, hasFleetSecret, type EndpointControl } from '@buckthorndrift/protocol'

export type NodeHandler = (request: IncomingMessage, response: ServerResponse) => void

export interface ListenerHandlers {
  readonly call: NodeHandler
  readonly attach: NodeHandler
  readonly control: EndpointControl
}

export interface Listener {
  /** Base URL of the address that the process listens on. */
  readonly url: string
  /** Serves requests from now on; until then they are refused with 503. */
  serve (handlers: ListenerHandlers): void
  close (): Promise<void>
}

export interface ListenerOptions {
  readonly host: string
  /** 0 takes a free port. */
  readonly port: number
  readonly fleetSecret: string
}

/** Idle connections from routers are closed after this time, in ms; longer than the pools of routers keep them. */
const keepAliveMs = 65_000

function refuse (response: ServerResponse, status: number): void {
  response.writeHead(status).end()
}

/** h3 takes a response as handled when the handler's promise resolves. */
function untilClosed (handle: NodeHandler): EventHandler {
  const handler = (request: IncomingMessage, response: ServerResponse): Promise<void> => new Promise(resolve => {
    response.once('close', resolve)
    handle(request, response)
  })
  return fromNodeHandler(handler as H3NodeHandler)
}

function appOf (handlers: ListenerHandlers, fleetSecret: string): NodeHandler {
  const control = createControlHandler(handlers.control, fleetSecret)
  const app = new H3()
    .all('/attach/:requestId', untilClosed(handlers.attach))
    .all(`${controlPath}/**`, event => control(event.req))
  return toNodeHandler(app) as unknown as NodeHandler
}

/** Opens the listener. Rejects when the address is taken. */
export async function openListener (options: ListenerOptions): Promise<Listener> {
  // Calls pass h3 by: they need no route, and its adapter ends each response a second time, which creates an error object.
  let serving: { readonly app: NodeHandler, readonly call: NodeHandler } | undefined
  const server: Server = createServer({ keepAliveTimeout: keepAliveMs, requestTimeout: 0 }, (request, response) => {
    if (!hasFleetSecret(request.headers.authorization, options.fleetSecret)) refuse(response, 401)
    else if (serving === undefined) refuse(response, 503)
    else if (request.headers[callHeader] !== undefined) serving.call(request, response)
    else serving.app(request, response)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.host, () => { server.off('error', reject); resolve() })
  })
  const { address, port, family } = server.address() as AddressInfo
  return {
    url: `http://${family === 'IPv6' ? `[${address}]` : address}:${port}`,
    serve: handlers => { serving = { app: appOf(handlers, options.fleetSecret), call: handlers.call } },
    close: () => new Promise(resolve => {
      server.close(() => { resolve() })
      server.closeAllConnections()
    })
  }
}
