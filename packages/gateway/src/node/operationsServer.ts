/** HTTP servers for the readiness check and the metrics. */
import { createServer, type Server } from 'node:http'
import { H3, toNodeHandler } from 'h3'
import type { Registry } from 'prom-client'

export function createReadinessServer (path: string, isReady: () => boolean): Server {
  const app = new H3().get(path, event => {
    event.res.status = isReady() ? 200 : 503
    return isReady() ? 'ready' : 'not ready'
  })
  return createServer(toNodeHandler(app))
}

export function createMetricsServer (registry: Registry): Server {
  const app = new H3().get('/metrics', async event => {
    event.res.headers.set('content-type', registry.contentType)
    return await registry.metrics()
  })
  return createServer(toNodeHandler(app))
}
