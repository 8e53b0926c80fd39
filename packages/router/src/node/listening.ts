/** Opening and closing of HTTP listeners. */
import type { Server } from 'node:http'

/** Resolves when the server accepts connections; rejects when the address is taken. */
export function listen (server: Server, port: number, host: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

/** Stops accepting, and resolves when the open requests are finished and their connections closed. */
export function finishListening (server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => { resolve() })
    server.closeIdleConnections()
  })
}

/** Stops accepting and cuts open connections. */
export function stopListening (server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => { resolve() })
    server.closeAllConnections()
  })
}
