/** The plugins of an endpoint process, and its start in process. */
import { randomUUID } from 'node:crypto'
import {
  definePlugin, silentLog, silentMetrics, startKernel, type Kernel, type Log, type Metrics, type Plugin, type TimerService, type Tracing
} from '@buckthorndrift/kernel'
import { createEndpointControl, type EndpointControlHandlers, type Member } from '@buckthorndrift/protocol'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { controlPartsKey, type ControlParts } from '../shared/services.ts'
import { createAttachHandler, createCallHandler } from './callHandlers.ts'
import { Gate } from './requestDispatcher.ts'
import { createClaimsPlugin } from './claimsPlugin.ts'
import { createLifecyclePlugin } from './lifecyclePlugin.ts'
import { createLimitPlugin } from './concurrencyLimitPlugin.ts'
import { openListener, type Listener } from './listener.ts'
import { createPeersPlugin } from './peersPlugin.ts'
import { createRecordsPlugin } from './recordsPlugin.ts'
import { createSlicesPlugin } from './slicesPlugin.ts'

export interface EndpointPluginOptions {
  readonly settings: EndpointSettings
  readonly incarnation: string
  readonly listener: Listener
  readonly gate: Gate
  readonly tracing?: Tracing | undefined
  /** Starts the graceful shutdown of the process. */
  readonly stop: () => void
}

function createControlParts (): ControlParts {
  const parts: Partial<EndpointControlHandlers> = {}
  return {
    set: (part, handlers) => { parts[part] = handlers },
    all: () => parts as EndpointControlHandlers
  }
}

function createControlPlugin (): Plugin {
  return definePlugin({
    name: 'control',
    setup (context) {
      context.provide(controlPartsKey, createControlParts())
      return undefined
    }
  })
}

function createDataPlugin ({ settings, incarnation, listener, gate, tracing }: EndpointPluginOptions): Plugin {
  return definePlugin({
    name: 'data',
    setup (context) {
      const options = { gate, settings, incarnation, timers: context.timers, tracing }
      const control = context.use(controlPartsKey)
      return {
        ready () {
          listener.serve({ call: createCallHandler(options), attach: createAttachHandler(options), control: createEndpointControl(control.all()) })
        },
        // Drains run in reverse order: new calls are refused before anything else is handed over.
        drain () { gate.leave().catch(() => {}) },
        close: () => listener.close()
      }
    }
  })
}

/**
 * Plugins of the endpoint process, to be set up after those that provide
 * object store, documents and membership. The process is registered first,
 * reads the fences second, and accepts calls third.
 */
export function createEndpointPlugins (options: EndpointPluginOptions): readonly Plugin[] {
  const { settings, incarnation, gate } = options
  return [
    createControlPlugin(),
    createPeersPlugin(settings),
    createLimitPlugin(settings, gate),
    createSlicesPlugin(settings, incarnation, gate),
    createRecordsPlugin(settings, incarnation, gate),
    createLifecyclePlugin(settings, gate, options.stop),
    createClaimsPlugin(settings),
    createDataPlugin(options)
  ]
}

export interface EndpointOptions {
  readonly settings: EndpointSettings
  readonly timers: TimerService
  readonly log?: Log
  readonly metrics?: Metrics
  readonly tracing?: Tracing
  /** Plugins that provide object store, documents and membership for this process. */
  readonly platform: (self: Member) => readonly Plugin[]
  /** Plugins set up after all others, which therefore drain first. */
  readonly last?: readonly Plugin[]
}

export interface Endpoint {
  readonly self: Member
  readonly gate: Gate
  readonly kernel: Kernel
  /** Resolves when the process has stopped, by whatever means. */
  readonly stopped: Promise<void>
}

/** Starts an endpoint process: opens the listener, registers, and accepts calls. */
export async function startEndpoint (options: EndpointOptions): Promise<Endpoint> {
  const { settings, timers, log = silentLog, metrics = silentMetrics } = options
  const incarnation = randomUUID()
  const listener = await openListener({ host: settings.listenHost, port: settings.listenPort, fleetSecret: settings.fleetSecret })
  const self: Member = {
    id: settings.id,
    incarnation,
    role: 'endpoint',
    vm: settings.vm,
    failureDomain: settings.failureDomain,
    controlUrl: settings.advertiseUrl === 'auto' ? listener.url : settings.advertiseUrl,
    service: settings.service,
    version: settings.version,
    leaving: false
  }
  const gate = new Gate({ settings, incarnation, timers, log, metrics })
  let noteStopped = (): void => {}
  const stopped = new Promise<void>(resolve => { noteStopped = resolve })
  let kernel: Kernel | undefined
  const stop = (): void => { kernel?.stop() }
  try {
    kernel = await startKernel({
      timers,
      log,
      metrics,
      plugins: [
        definePlugin({ name: 'stop', setup: () => ({ close: () => { noteStopped() } }) }),
        ...options.platform(self),
        ...createEndpointPlugins({ settings, incarnation, listener, gate, stop, tracing: options.tracing })
      ]
    })
  } catch (error) {
    await gate.close()
    await listener.close()
    throw error
  }
  return { self, gate, kernel, stopped }
}
