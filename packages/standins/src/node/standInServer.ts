/** HTTP listener of a stand-in on loopback. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { type AddressInfo } from 'node:net'
import { toNodeHandler, type H3, type H3Event } from 'h3'

export interface StandInServer {
  /** `http://127.0.0.1:<port>` */
  readonly url: string
  /** Breaks every open connection; the listener stays open. */
  breakConnections (): void
  /** Breaks every open connection and closes the listener. */
  close (): Promise<void>
}

export interface StandInServerOptions {
  /** 0 chooses a free port. */
  readonly port?: number
  /** When it returns true, a new request's connection is broken without an answer. */
  isDown? (): boolean
}

/** Opens the listener. Rejects when the port is taken. */
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

interface NodeExchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
}

function exchangeOf (event: H3Event): NodeExchange {
  const exchange = event.runtime?.node
  if (exchange?.res === undefined) throw new Error('the event does not come from a Node.js listener')
  return exchange as unknown as NodeExchange
}

/** Breaks the connection of a request without an answer. */
export function breakConnection (event: H3Event): Response {
  exchangeOf(event).req.socket.destroy()
  return new Response(null)
}

/** Calls `listener` when the connection of a request closes, whether or not the answer was complete. */
export function onClose (event: H3Event, listener: () => void): void {
  exchangeOf(event).res.once('close', listener)
}

/** The second segment of the path, percent-decoded once: the name in `/objects/<name>`, slashes included. */
export function nameInPath (event: H3Event): string {
  const path = (exchangeOf(event).req.url ?? '').split('?')[0] ?? ''
  return decodeURIComponent(path.split('/')[2] ?? '')
}

/** Resolves when the caller closes the connection, without an answer before that. */
export function neverAnswer (event: H3Event): Promise<Response> {
  return new Promise(resolve => { onClose(event, () => { resolve(new Response(null)) }) })
}

/** A problem body as `{ message }`. */
export function problem (status: number, message: string, headers: Readonly<Record<string, string>> = {}): Response {
  return Response.json({ message }, { status, headers })
}
