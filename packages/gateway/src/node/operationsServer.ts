/** HTTP servers for the readiness check and the metrics. */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import { H3, toNodeHandler } from 'h3'
import { hasBody } from './readBody.ts'
import { guardServer, type ServerGuardOptions } from './connectionGuard.ts'
import type { Registry } from 'prom-client'

/** Times within which a request has to arrive. */
const operationsTimeouts = { headersTimeout: 3000, requestTimeout: 3000, connectionsCheckingInterval: 1000 }

/** Closes the connection after the answer to a request with a body, which nothing reads. */
function closeAfterBody (handle: (request: IncomingMessage, response: ServerResponse) => unknown): RequestListener {
  return (request, response) => {
    if (hasBody(request)) response.shouldKeepAlive = false
    void handle(request, response)
  }
}

export function createReadinessServer (path: string, isReady: () => boolean, guard: ServerGuardOptions): Server {
  const app = new H3().get(path, event => {
    event.res.status = isReady() ? 200 : 503
    return isReady() ? 'ready' : 'not ready'
  })
  return guardServer(createServer(operationsTimeouts), closeAfterBody(toNodeHandler(app)), guard)
}

export function createMetricsServer (registry: Registry, guard: ServerGuardOptions): Server {
  const app = new H3().get('/metrics', async event => {
    event.res.headers.set('content-type', registry.contentType)
    return await registry.metrics()
  })
  return guardServer(createServer(operationsTimeouts), closeAfterBody(toNodeHandler(app)), guard)
}
