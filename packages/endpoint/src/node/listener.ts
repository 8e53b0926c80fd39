/** The only listener of the process. It serves calls (header `bd-call`), buffered responses (`/attach`) and control calls (`/trpc`). */
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
  /** Base URL of the listening address. */
  readonly url: string
  /** Starts to serve requests. Before that, requests are refused with status 503. */
  serve (handlers: ListenerHandlers): void
  close (): Promise<void>
}

export interface ListenerOptions {
  readonly host: string
  /** Port to listen on; 0 selects a free port. */
  readonly port: number
  readonly fleetSecret: string
}

/** Time after which idle connections from routers are closed. Routers close an idle connection of their pool earlier. */
const keepAliveTimeoutMs = 65_000

function refuse (response: ServerResponse, status: number): void {
  response.writeHead(status).end()
}

/** Wraps a handler in a promise that resolves when the response is closed: h3 treats a response as handled from then on. */
function resolveOnClose (handle: NodeHandler): EventHandler {
  const handler = (request: IncomingMessage, response: ServerResponse): Promise<void> => new Promise(resolve => {
    response.once('close', resolve)
    handle(request, response)
  })
  return fromNodeHandler(handler as H3NodeHandler)
}

function createApp (handlers: ListenerHandlers, fleetSecret: string): NodeHandler {
  const control = createControlHandler(handlers.control, fleetSecret)
  const app = new H3()
    .all('/attach/:requestId', resolveOnClose(handlers.attach))
    .all(`${controlPath}/**`, event => control(event.req))
  return toNodeHandler(app) as unknown as NodeHandler
}

/** Opens the listener. Rejects if the address is in use. */
export async function openListener (options: ListenerOptions): Promise<Listener> {
  // Calls bypass h3: they need no routing, and its adapter ends each response a second time, which creates an error object.
  let activeHandlers: { readonly app: NodeHandler, readonly call: NodeHandler } | undefined
  const server: Server = createServer({ keepAliveTimeout: keepAliveTimeoutMs, requestTimeout: 0 }, (request, response) => {
    if (!hasFleetSecret(request.headers.authorization, options.fleetSecret)) refuse(response, 401)
    else if (activeHandlers === undefined) refuse(response, 503)
    else if (request.headers[callHeader] !== undefined) activeHandlers.call(request, response)
    else activeHandlers.app(request, response)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.host, () => { server.off('error', reject); resolve() })
  })
  const { address, port, family } = server.address() as AddressInfo
  return {
    url: `http://${family === 'IPv6' ? `[${address}]` : address}:${port}`,
    serve: handlers => { activeHandlers = { app: createApp(handlers, options.fleetSecret), call: handlers.call } },
    close: () => new Promise(resolve => {
      server.close(() => { resolve() })
      server.closeAllConnections()
    })
  }
}
