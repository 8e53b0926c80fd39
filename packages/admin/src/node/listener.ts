/** HTTP listeners with limits on headers, request time and connections, and optional TLS. */
import { readFile } from 'node:fs/promises'
import { createServer as createHttpServer, type RequestListener, type Server, type ServerOptions } from 'node:http'
import { createServer as createHttpsServer } from 'node:https'
import type { AddressInfo } from 'node:net'

export interface TlsFiles {
  /** Path of the certificate chain in PEM format. */
  readonly certificatePath: string
  /** Path of the private key in PEM format. */
  readonly keyPath: string
}

export interface ListenerOptions {
  readonly host: string
  /** 0 binds a free port. */
  readonly port: number
  /** Plain HTTP when absent. */
  readonly tls?: TlsFiles
  /** Time in which the headers of a request must arrive. */
  readonly headersTimeoutMs: number
  /** Time in which a whole request with its body must arrive; 0 disables the limit. */
  readonly requestTimeoutMs: number
  readonly maxHeaderBytes: number
  readonly maxConnections: number
}

export interface Listener {
  readonly port: number
  /** Stops accepting connections and resolves when no request is in flight. */
  drain (): Promise<void>
  /** Closes the listener and all its connections, including those with requests in flight. */
  close (): Promise<void>
}

/** Interval at which Node.js checks connections against the timeouts. */
const timeoutCheckIntervalMs = 1000

/** Creates an HTTPS server when TLS files are given, otherwise an HTTP server. Rejects when a file cannot be read. */
export async function createServer (options: ServerOptions, tls: TlsFiles | undefined, onRequest: RequestListener): Promise<Server> {
  if (tls === undefined) return createHttpServer(options, onRequest)
  const [cert, key] = await Promise.all([readFile(tls.certificatePath), readFile(tls.keyPath)])
  return createHttpsServer({ ...options, cert, key }, onRequest)
}

function serverOptionsOf (options: ListenerOptions): ServerOptions {
  return {
    headersTimeout: options.headersTimeoutMs,
    requestTimeout: options.requestTimeoutMs,
    connectionsCheckingInterval: timeoutCheckIntervalMs,
    maxHeaderSize: options.maxHeaderBytes
  }
}

/** Binds a listener. Rejects when the address is in use or a TLS file cannot be read. */
export async function openListener (options: ListenerOptions, onRequest: RequestListener): Promise<Listener> {
  const server = await createServer(serverOptionsOf(options), options.tls, onRequest)
  server.maxConnections = options.maxConnections
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.host, resolve)
  })
  let closing: Promise<void> | undefined
  const drain = (): Promise<void> => {
    closing ??= new Promise(resolve => {
      server.close(() => { resolve() })
      server.closeIdleConnections()
    })
    return closing
  }
  return {
    port: (server.address() as AddressInfo).port,
    drain,
    close () {
      const closed = drain()
      server.closeAllConnections()
      return closed
    }
  }
}
