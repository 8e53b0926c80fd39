/** A process consists of plugins, which the kernel starts and stops. */
import type { TimerService } from './timers.ts'
import type { Log } from './log.ts'
import type { Metrics } from './metrics.ts'

/** Typed name under which a plugin provides a service to plugins that are set up after it. */
export interface ServiceKey<Service> {
  readonly name: string
  /** Never set at run time; it lets TypeScript infer the type of the service. */
  readonly type?: Service
}

export function serviceKey<Service> (name: string): ServiceKey<Service> {
  return { name }
}

export interface PluginContext {
  readonly timers: TimerService
  readonly log: Log
  readonly metrics: Metrics
  /** Provides a service to plugins that are set up later. Throws when the name is already in use. */
  provide<Service> (key: ServiceKey<Service>, service: Service): void
  /** Returns a service that an earlier plugin provided. Throws when there is none. */
  use<Service> (key: ServiceKey<Service>): Service
}

export interface PluginHooks {
  /** Called in order after all plugins are set up. Plugins open their listeners here. */
  ready? (): Promise<void> | void
  /** Called in reverse order on graceful shutdown. Resolves when the plugin has no work in progress. */
  drain? (): Promise<void> | void
  /** Called in reverse order after all plugins are drained. Plugins close their sockets here. */
  close? (): Promise<void> | void
}

export interface Plugin {
  readonly name: string
  setup (context: PluginContext): Promise<PluginHooks | undefined> | PluginHooks | undefined
}

export function definePlugin (plugin: Plugin): Plugin {
  return plugin
}
