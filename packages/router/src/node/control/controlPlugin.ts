/** Plugin with the control listener of a router: tRPC for processes that send the fleet secret. */
import type { RequestListener } from 'node:http'
import type { AddressInfo } from 'node:net'
import { H3, toNodeHandler } from 'h3'
import { createServer, type TlsFiles } from '@buckthorndrift/admin'
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { controlPath, createControlHandler, createRouterControl } from '@buckthorndrift/protocol'
import { controlRegistryKey } from '../../shared/services.ts'
import { listen, closeImmediately } from '../listening.ts'
import { HandlerRegistry } from './handlerRegistry.ts'

export interface ControlPluginOptions {
  readonly fleetSecret: string
  readonly listener: ControlListenerOptions
}

/** Either a listener that is already open, because its port is part of the registration, or one that the plugin opens. */
export type ControlListenerOptions =
  | { readonly kind: 'open', serve (handler: RequestListener): void, close (): Promise<void> }
  | {
    readonly kind: 'own'
    readonly host: string
    /** 0 selects a free port. */
    readonly port: number
    /** Certificate and key; plain HTTP without them. */
    readonly tls?: TlsFiles | undefined
    /** Called with the bound port when the listener is open. */
    readonly onListening?: (port: number) => void
  }

/** Limit of the request line and headers of a control call; the URL contains the input of batched queries. */
const maxHeaderBytes = 64 * 1024
const headersTimeoutMs = 10_000
const requestTimeoutMs = 30_000

/** Creates the plugin; it provides the `ControlRegistry`. */
export function createControlPlugin (options: ControlPluginOptions): Plugin {
  return definePlugin({
    name: 'control',
    async setup (context) {
      const registry = new HandlerRegistry()
      context.provide(controlRegistryKey, registry)
      const handle = createControlHandler(createRouterControl(registry.handlers), options.fleetSecret)
      const app = new H3().all(`${controlPath}/**`, event => handle(event.req))
      const handler = toNodeHandler(app)
      const { listener } = options
      if (listener.kind === 'open') return { ready () { listener.serve(handler) }, close: () => listener.close() }
      const server = await createServer({
        maxHeaderSize: maxHeaderBytes, headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs
      }, listener.tls, handler)
      return {
        async ready () {
          await listen(server, listener.port, listener.host)
          const { port } = server.address() as AddressInfo
          context.log.event('controlListening', { port })
          listener.onListening?.(port)
        },
        close: () => closeImmediately(server)
      }
    }
  })
}
