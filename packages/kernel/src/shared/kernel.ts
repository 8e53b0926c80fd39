/** The kernel is the plugin host of a process: it sets plugins up in order and stops them in reverse order. */
import type { Log } from './log.ts'
import type { Metrics } from './metrics.ts'
import type { Plugin, PluginContext, PluginHooks, ServiceKey } from './plugin.ts'
import type { TimerService } from './timers.ts'

export interface KernelOptions {
  readonly timers: TimerService
  readonly log: Log
  readonly metrics: Metrics
  readonly plugins: readonly Plugin[]
}

export interface Kernel {
  /** Returns the service that a plugin provided under `key`. Throws when there is none. */
  use<Service> (key: ServiceKey<Service>): Service
  /** Shuts down gracefully: drains all plugins, then closes them. Later calls return the same promise. */
  stop (): Promise<void>
}

/** Sets up all plugins, then calls their `ready` hooks. When a plugin throws, all plugins set up so far are closed and the error is rethrown. */
export async function startKernel (options: KernelOptions): Promise<Kernel> {
  const services = new Map<string, unknown>()
  const pluginHooks: PluginHooks[] = []
  let stopping: Promise<void> | undefined

  function use<Service> (key: ServiceKey<Service>): Service {
    if (!services.has(key.name)) throw new Error(`no plugin provides ${key.name}`)
    return services.get(key.name) as Service
  }

  function createContext (plugin: Plugin): PluginContext {
    return {
      timers: options.timers,
      log: options.log.scope(plugin.name),
      metrics: options.metrics,
      use,
      provide (key, service) {
        if (services.has(key.name)) throw new Error(`${key.name} is provided twice`)
        services.set(key.name, service)
      }
    }
  }

  async function closeAll (): Promise<void> {
    for (const hooks of pluginHooks.toReversed()) await hooks.close?.()
  }

  async function drainAndClose (): Promise<void> {
    options.log.event('processDraining')
    for (const hooks of pluginHooks.toReversed()) await hooks.drain?.()
    await closeAll()
    options.log.event('processStopped')
    await options.metrics.close()
  }

  try {
    for (const plugin of options.plugins) {
      pluginHooks.push(await plugin.setup(createContext(plugin)) ?? {})
    }
    for (const hooks of pluginHooks) await hooks.ready?.()
  } catch (error) {
    await closeAll()
    throw error
  }
  options.log.event('processStarted')
  return {
    use,
    stop () {
      stopping ??= drainAndClose()
      return stopping
    }
  }
}
