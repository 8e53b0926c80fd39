/** Opens and closes HTTP servers. */
import type { Server } from 'node:http'
import type { TimerService } from '@buckthorndrift/kernel'

/** Resolves when the server accepts connections; rejects if it cannot listen on the address. */
export function listen (server: Server, port: number, host: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

/** Interval at which a closing server closes idle connections. Without it, connections whose response ends after `server.close` would stay open. */
const idleCloseIntervalMs = 100

/** Stops accepting connections; resolves when all open requests are finished and their connections closed. */
export async function closeGracefully (server: Server, timers: TimerService): Promise<void> {
  const closed = new Promise<void>(resolve => { server.close(() => { resolve() }) })
  const stopClosingIdle = timers.every(idleCloseIntervalMs, () => { server.closeIdleConnections() })
  await closed
  stopClosingIdle()
}

/** Stops accepting connections and closes the open ones. */
export function closeImmediately (server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => { resolve() })
    server.closeAllConnections()
  })
}
