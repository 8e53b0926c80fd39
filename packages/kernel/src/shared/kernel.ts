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
  /** Shuts down gracefully: drains all plugins, then closes them. Rejects with an `AggregateError` if hooks threw, once all others have run. Later calls return the same promise. */
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

  /** Calls a hook of all plugins in reverse order. One that throws keeps no other from draining or closing. Returns the errors. */
  async function runReversed (name: 'drain' | 'close'): Promise<readonly unknown[]> {
    const errors: unknown[] = []
    for (const hooks of pluginHooks.toReversed()) {
      try {
        await hooks[name]?.()
      } catch (error) {
        errors.push(error)
      }
    }
    return errors
  }

  async function drainAndClose (): Promise<void> {
    options.log.event('processDraining')
    const errors = [...await runReversed('drain'), ...await runReversed('close')]
    options.log.event('processStopped')
    await options.metrics.close()
    if (errors.length > 0) throw new AggregateError(errors, 'plugins failed to stop')
  }

  try {
    for (const plugin of options.plugins) {
      pluginHooks.push(await plugin.setup(createContext(plugin)) ?? {})
    }
    for (const hooks of pluginHooks) await hooks.ready?.()
  } catch (error) {
    await runReversed('close')
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
