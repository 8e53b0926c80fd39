/** Control listener of a router: tRPC for processes with the fleet secret. */
import type { AddressInfo } from 'node:net'
import { H3, toNodeHandler } from 'h3'
import type { TlsFiles } from '@buckthorndrift/admin'
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { controlPath, createControlHandler, createRouterControl } from '@buckthorndrift/protocol'
import { controlRegistryKey } from '../../shared/services.ts'
import { createListener, listen, stopListening } from '../listening.ts'
import { HandlerRegistry } from './handlerRegistry.ts'

export interface ControlPluginOptions {
  readonly host: string
  /** 0 takes a free port. */
  readonly port: number
  readonly fleetSecret: string
  /** Plain HTTP without it. */
  readonly tls?: TlsFiles | undefined
  /** Called with the bound port when the listener is open. */
  readonly onListening?: (port: number) => void
}

/** Most bytes of the headers of a control call; batched queries travel in the URL. */
const maxHeaderBytes = 64 * 1024
const headersTimeoutMs = 10_000
const requestTimeoutMs = 30_000

/** Creates the plug-in; it provides the `ControlRegistry`. */
export function controlPlugin (options: ControlPluginOptions): Plugin {
  return definePlugin({
    name: 'control',
    async setup (context) {
      const registry = new HandlerRegistry()
      context.provide(controlRegistryKey, registry)
      const handle = createControlHandler(createRouterControl(registry.handlers), options.fleetSecret)
      const app = new H3().all(`${controlPath}/**`, event => handle(event.req))
      const server = await createListener({
        maxHeaderSize: maxHeaderBytes, headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs
      }, options.tls, toNodeHandler(app))
      return {
        async ready () {
          await listen(server, options.port, options.host)
          const { port } = server.address() as AddressInfo
          context.log.event('controlListening', { port })
          options.onListening?.(port)
        },
        close: () => stopListening(server)
      }
    }
  })
}
