/** Plugin with the caller listener of a router: HTTP/1.1 for callers with an API key. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { fromNodeHandler, H3, toNodeHandler, type EventHandler } from 'h3'
import { createServer, type TlsFiles } from '@buckthorndrift/admin'
import { definePlugin, type Plugin, type PluginContext, type Tracing } from '@buckthorndrift/kernel'
import { defaultCallerSettings, type CallerSettings } from '../../shared/callerSettings.ts'
import { configServiceKey, recordServiceKey } from '../../shared/services.ts'
import { createForwarding } from '../forward/forwarding.ts'
import { closeGracefully, listen, closeImmediately } from '../listening.ts'
import { CallerHandler } from './callerHandler.ts'

export interface CallerPluginOptions {
  readonly host: string
  /** 0 selects a free port. */
  readonly port: number
  readonly fleetSecret: string
  readonly tracing: Tracing
  readonly settings?: Partial<CallerSettings>
  /** Certificate and key; plain HTTP without them. */
  readonly tls?: TlsFiles | undefined
  /** Uniform in [0, 1). */
  readonly random: () => number
  /** Called with the bound port when the listener is open. */
  readonly onListening?: (port: number) => void
}

/** Longer than the idle timeout of common load balancers, so that the load balancer closes idle connections first. */
const keepAliveTimeoutMs = 65_000
const gaugeIntervalMs = 5000
/** Interval at which the header and request timeouts of incomplete requests are checked. */
const timeoutCheckIntervalMs = 2000

/** Adapts a handler of Node's request and response to h3. The handlers need these objects for back pressure. The casts are safe because the listener speaks HTTP/1.1 only. */
function nodeHandler (handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>): EventHandler {
  return fromNodeHandler((request, response) => handle(request as IncomingMessage, response as ServerResponse))
}

async function createCallerServer (handler: CallerHandler, settings: CallerSettings, tls: TlsFiles | undefined): Promise<Server> {
  const app = new H3()
    .get('/health', nodeHandler(async (_, response) => { handler.handleHealth(response) }))
    .post('/v1/chat/completions', nodeHandler((request, response) => handler.handleChat(request, response)))
    .all('/services/**', nodeHandler((request, response) => handler.handleService(request, response)))
    .all('/**', nodeHandler((request, response) => handler.handleUnknownPath(request, response)))
  const server = await createServer({
    maxHeaderSize: settings.maxHeaderBytes,
    headersTimeout: settings.headersTimeoutMs,
    requestTimeout: settings.requestTimeoutMs,
    connectionsCheckingInterval: timeoutCheckIntervalMs,
    keepAliveTimeout: keepAliveTimeoutMs,
    highWaterMark: settings.streamBufferBytes,
    noDelay: true
  }, tls, toNodeHandler(app))
  server.maxConnections = settings.maxConnections
  return server
}

/** Creates the plugin; it uses budget, records, configuration, versions, membership, documents and the control registry. */
export function createCallerPlugin (options: CallerPluginOptions): Plugin {
  return definePlugin({
    name: 'callers',
    async setup (context: PluginContext) {
      const settings: CallerSettings = { ...defaultCallerSettings, ...options.settings }
      const forwarding = await createForwarding({ ...options, context, settings })
      let isDraining = false
      const handler = new CallerHandler({
        config: context.use(configServiceKey),
        records: context.use(recordServiceKey),
        runDeps: forwarding.deps,
        isDraining: () => isDraining
      })
      const server = await createCallerServer(handler, settings, options.tls)
      const stopReportingGauges = context.timers.every(gaugeIntervalMs, () => { handler.reportGauges() })
      return {
        async ready () {
          await listen(server, options.port, options.host)
          const { port } = server.address() as AddressInfo
          context.log.event('callersListening', { port })
          options.onListening?.(port)
        },
        async drain () {
          isDraining = true
          // Until the load balancer has seen the health check fail, it opens new connections, which a closed listener would reset.
          await new Promise<void>(resolve => { context.timers.after(settings.drainDelayMs, resolve) })
          await closeGracefully(server, context.timers)
          await forwarding.drain()
        },
        async close () {
          stopReportingGauges()
          await closeImmediately(server)
          await forwarding.close()
        }
      }
    }
  })
}
