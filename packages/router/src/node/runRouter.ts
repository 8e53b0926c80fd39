/** Runs the router process from its settings until it is asked to stop. */
import {
  createRoarrLog, createSpanLineExporter, createStatsdMetrics, createTracing, rejectSettings, runProcess, silentMetrics,
  SystemTimers, type EventLevel, type Metrics, type Tracing
} from '@buckthorndrift/kernel'
import { resolveRouterSettings, type RouterSettings } from '../shared/routerSettings.ts'
import { startRouter } from './routerProcess.ts'

function openMetrics (settings: RouterSettings): Metrics {
  if (settings.statsdHost === '') return silentMetrics
  return createStatsdMetrics({ host: settings.statsdHost, port: settings.statsdPort, tags: { router: settings.id, failureDomain: settings.failureDomain, region: settings.region } })
}

function openTracing (settings: RouterSettings): Tracing {
  const serviceName = `router ${settings.id}`
  return settings.spans === 'lines' ? createTracing({ serviceName, exporter: createSpanLineExporter(process.stderr) }) : createTracing({ serviceName })
}

/**
 * Runs a router. Resolves with the exit code: 0 after a graceful shutdown, 1
 * after a failure, 2 if settings are invalid. Prints `listening <listener>
 * <port>` for each listener, which tells the port that was selected for 0.
 */
export async function runRouter (flags: Readonly<Record<string, string | undefined>>): Promise<number> {
  const resolved = resolveRouterSettings({ flags, environment: process.env })
  if (resolved.isErr()) return rejectSettings('router', resolved.error)
  const { settings } = resolved.value
  const log = createRoarrLog({ scope: 'router', level: settings.logLevel as EventLevel, base: { router: settings.id } })
  const tracing = openTracing(settings)
  const exitCode = await runProcess({
    label: 'router',
    log,
    drainLimitMs: settings.drainLimitMs,
    start: requestStop => startRouter({
      resolved: resolved.value,
      timers: new SystemTimers(),
      log,
      metrics: openMetrics(settings),
      tracing,
      onDrainRequested: requestStop,
      onListening: (listener, port) => { process.stdout.write(`listening ${listener} ${port}\n`) }
    })
  })
  await tracing.close()
  return exitCode
}
