/** Plugins of an endpoint process, and a function that starts an endpoint within the current process. */
import { randomUUID } from 'node:crypto'
import {
  definePlugin, silentLog, silentMetrics, startKernel, type Kernel, type Log, type Metrics, type Plugin, type TimerService, type Tracing
} from '@buckthorndrift/kernel'
import { createEndpointControl, type EndpointControlHandlers, type Member } from '@buckthorndrift/protocol'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { controlHandlersKey, type ControlHandlerRegistry } from '../shared/services.ts'
import { createAttachHandler, createCallHandler } from './callHandlers.ts'
import { RequestDispatcher } from './requestDispatcher.ts'
import { createClaimsPlugin } from './claimsPlugin.ts'
import { createLifecyclePlugin } from './lifecyclePlugin.ts'
import { createConcurrencyLimitPlugin } from './concurrencyLimitPlugin.ts'
import { openListener, type Listener } from './listener.ts'
import { createPeerClientsPlugin } from './peerClientsPlugin.ts'
import { createRecordsPlugin } from './recordsPlugin.ts'
import { createSlicesPlugin } from './slicesPlugin.ts'

export interface EndpointPluginOptions {
  readonly settings: EndpointSettings
  readonly incarnation: string
  readonly listener: Listener
  readonly dispatcher: RequestDispatcher
  readonly tracing?: Tracing | undefined
  /** Starts the graceful shutdown of the process. */
  readonly stop: () => void
}

function createControlHandlerRegistry (): ControlHandlerRegistry {
  const handlersByGroup: Partial<EndpointControlHandlers> = {}
  return {
    set: (group, handlers) => { handlersByGroup[group] = handlers },
    all: () => handlersByGroup as EndpointControlHandlers
  }
}

function createControlPlugin (): Plugin {
  return definePlugin({
    name: 'control',
    setup (context) {
      context.provide(controlHandlersKey, createControlHandlerRegistry())
      return undefined
    }
  })
}

function createDataPlugin ({ settings, incarnation, listener, dispatcher, tracing }: EndpointPluginOptions): Plugin {
  return definePlugin({
    name: 'data',
    setup (context) {
      const options = { dispatcher, settings, incarnation, timers: context.timers, tracing }
      const control = context.use(controlHandlersKey)
      return {
        ready () {
          listener.serve({ call: createCallHandler(options), attach: createAttachHandler(options), control: createEndpointControl(control.all()) })
        },
        // Plugins drain in reverse order of setup. This plugin drains before those that hand over state, so new calls are refused by then.
        drain () { dispatcher.drain().catch(() => {}) },
        close: () => listener.close()
      }
    }
  })
}

/**
 * Creates the plugins of the endpoint process. They must be set up after the
 * plugins that provide object store, documents and membership. In this order
 * the process registers first, then reads the list of fenced holders of budget
 * slices, and then accepts calls.
 */
export function createEndpointPlugins (options: EndpointPluginOptions): readonly Plugin[] {
  const { settings, incarnation, dispatcher } = options
  return [
    createControlPlugin(),
    createPeerClientsPlugin(settings),
    createConcurrencyLimitPlugin(settings, dispatcher),
    createSlicesPlugin(settings, incarnation, dispatcher),
    createRecordsPlugin(settings, incarnation, dispatcher),
    createLifecyclePlugin(settings, dispatcher, options.stop),
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
  readonly dispatcher: RequestDispatcher
  readonly kernel: Kernel
  /** Resolves when all plugins are closed, whatever started the shutdown. */
  readonly stopped: Promise<void>
}

/** Starts an endpoint: opens the listener, registers the process, and accepts calls. */
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
  const dispatcher = new RequestDispatcher({ settings, incarnation, timers, log, metrics })
  let resolveStopped = (): void => {}
  const stopped = new Promise<void>(resolve => { resolveStopped = resolve })
  let kernel: Kernel | undefined
  const stop = (): void => { kernel?.stop() }
  try {
    kernel = await startKernel({
      timers,
      log,
      metrics,
      plugins: [
        definePlugin({ name: 'stop', setup: () => ({ close: () => { resolveStopped() } }) }),
        ...options.platform(self),
        ...createEndpointPlugins({ settings, incarnation, listener, dispatcher, stop, tracing: options.tracing })
      ]
    })
  } catch (error) {
    await dispatcher.close()
    await listener.close()
    throw error
  }
  return { self, dispatcher, kernel, stopped }
}
