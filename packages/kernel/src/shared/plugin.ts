/** Plugins: the parts of a process, started and stopped by the kernel. */
import type { TimerService } from './timers.ts'
import type { Log } from './log.ts'
import type { Metrics } from './metrics.ts'

/** A typed name under which one plugin offers a service to later ones. */
export interface ServiceKey<Service> {
  readonly name: string
  /** Carries the type only; never set. */
  readonly type?: Service
}

/** Creates a service key. */
export function serviceKey<Service> (name: string): ServiceKey<Service> {
  return { name }
}

export interface PluginContext {
  readonly timers: TimerService
  readonly log: Log
  readonly metrics: Metrics
  /** Offers a service to plugins that are set up later. Throws when the name is taken. */
  provide<Service> (key: ServiceKey<Service>, service: Service): void
  /** A service of an earlier plugin. Throws when there is none. */
  use<Service> (key: ServiceKey<Service>): Service
}

export interface PluginHooks {
  /** Called after all plugins are set up, in order; listeners open here. */
  ready? (): Promise<void> | void
  /** Called in reverse order on graceful shutdown; resolves when nothing is in progress any more. */
  drain? (): Promise<void> | void
  /** Called in reverse order after all drains; closes sockets. */
  close? (): Promise<void> | void
}

export interface Plugin {
  readonly name: string
  setup (context: PluginContext): Promise<PluginHooks | undefined> | PluginHooks | undefined
}

/** Declares a plugin. */
export function definePlugin (plugin: Plugin): Plugin {
  return plugin
}
