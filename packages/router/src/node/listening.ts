/** Opening and closing of HTTP listeners. */
import type { Server } from 'node:http'
import type { TimerService } from '@buckthorndrift/kernel'

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

/** Connections whose answer ended after the listener was closed stay open; they are closed at this interval. */
const idleCheckMs = 100

/** Stops accepting, and resolves when the open requests are finished and their connections closed. */
export async function finishListening (server: Server, timers: TimerService): Promise<void> {
  const closed = new Promise<void>(resolve => { server.close(() => { resolve() }) })
  const stop = timers.every(idleCheckMs, () => { server.closeIdleConnections() })
  await closed
  stop()
}

/** Stops accepting and cuts open connections. */
export function stopListening (server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => { resolve() })
    server.closeAllConnections()
  })
}
