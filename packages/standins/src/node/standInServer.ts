/** HTTP listener of a stand-in on loopback. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { type AddressInfo } from 'node:net'
import { toNodeHandler, type H3, type H3Event } from 'h3'

export interface StandInServer {
  /** `http://127.0.0.1:<port>` */
  readonly url: string
  /** Breaks all open connections; the listener stays open. */
  breakConnections (): void
  /** Breaks all open connections and closes the listener. */
  close (): Promise<void>
}

export interface StandInServerOptions {
  /** 0 chooses a free port. */
  readonly port?: number
  /** While it returns true, the connection of each new request is broken without a response. */
  isDown? (): boolean
}

/** Starts to listen on loopback. Rejects when the port is in use. */
export async function startStandInServer (app: H3, options: StandInServerOptions = {}): Promise<StandInServer> {
  const handle = toNodeHandler(app)
  const server = createServer((request, response) => {
    if (options.isDown?.() === true) {
      request.socket.destroy()
      return
    }
    handle(request, response)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port ?? 0, '127.0.0.1', resolve)
  })
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    breakConnections () { server.closeAllConnections() },
    close () {
      server.closeAllConnections()
      return new Promise(resolve => { server.close(() => { resolve() }) })
    }
  }
}

/** Request and response of Node.js that an h3 event wraps. */
interface NodeExchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
}

function exchangeOf (event: H3Event): NodeExchange {
  const exchange = event.runtime?.node
  if (exchange?.res === undefined) throw new Error('the event has no Node.js request and response')
  return exchange as unknown as NodeExchange
}

/** Breaks the connection of a request without a response. */
export function breakConnection (event: H3Event): Response {
  exchangeOf(event).req.socket.destroy()
  return new Response(null)
}

/** Calls `listener` when the response has been sent or the connection closes before that. */
export function onClose (event: H3Event, listener: () => void): void {
  exchangeOf(event).res.once('close', listener)
}

/** Second segment of the path, percent-decoded once: the name in `/objects/<name>`, which may contain encoded slashes. */
export function nameInPath (event: H3Event): string {
  const path = (exchangeOf(event).req.url ?? '').split('?')[0] ?? ''
  return decodeURIComponent(path.split('/')[2] ?? '')
}

/** Sends no response; resolves when the client closes the connection. */
export function neverAnswer (event: H3Event): Promise<Response> {
  return new Promise(resolve => { onClose(event, () => { resolve(new Response(null)) }) })
}

/** Error response with the body `{ message }`. */
export function problemResponse (status: number, message: string, headers: Readonly<Record<string, string>> = {}): Response {
  return Response.json({ message }, { status, headers })
}
