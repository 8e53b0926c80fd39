/** HTTP listeners with bounded headers and times, with TLS when a certificate is given. */
import { readFile } from 'node:fs/promises'
import { createServer as createHttpServer, type RequestListener, type Server, type ServerOptions } from 'node:http'
import { createServer as createHttpsServer } from 'node:https'
import type { AddressInfo } from 'node:net'

export interface TlsFiles {
  /** Path of the certificate chain, PEM. */
  readonly certificatePath: string
  /** Path of the private key, PEM. */
  readonly keyPath: string
}

export interface ListenerOptions {
  readonly host: string
  /** 0 for a free port. */
  readonly port: number
  /** Plain HTTP when absent. */
  readonly tls?: TlsFiles
  /** Longest time for the headers of a request. */
  readonly headersTimeoutMs: number
  /** Longest time for a whole request with its body; 0 for no limit. */
  readonly requestTimeoutMs: number
  readonly maxHeaderBytes: number
  readonly maxConnections: number
}

export interface Listener {
  readonly port: number
  /** Stops accepting and resolves when no request is in progress any more. */
  drain (): Promise<void>
  /** Closes all connections. */
  close (): Promise<void>
}

/** How often Node.js checks connections against the time limits. */
const checkIntervalMs = 1000

/** Creates a server, with TLS when files are given. Rejects when one cannot be read. */
export async function createServer (options: ServerOptions, tls: TlsFiles | undefined, listen: RequestListener): Promise<Server> {
  if (tls === undefined) return createHttpServer(options, listen)
  const [cert, key] = await Promise.all([readFile(tls.certificatePath), readFile(tls.keyPath)])
  return createHttpsServer({ ...options, cert, key }, listen)
}

function serverOptionsOf (options: ListenerOptions): ServerOptions {
  return {
    headersTimeout: options.headersTimeoutMs,
    requestTimeout: options.requestTimeoutMs,
    connectionsCheckingInterval: checkIntervalMs,
    maxHeaderSize: options.maxHeaderBytes
  }
}

/** Opens a listener. Rejects when the address is taken or a TLS file cannot be read. */
export async function openListener (options: ListenerOptions, listen: RequestListener): Promise<Listener> {
  const server = await createServer(serverOptionsOf(options), options.tls, listen)
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
