/** Runs the endpoint process from its settings until it is asked to stop. */
import {
  createRoarrLog, createSpanLineExporter, createStatsdMetrics, createTracing, rejectSettings, resolveSettings, runProcess, silentMetrics,
  SystemTimers, type EventLevel, type Metrics, type Plugin, type Tracing
} from '@buckthorndrift/kernel'
import { createDocumentsPlugin, createLeavingPlugin, createMembershipPlugin, createObjectStorePlugin } from '@buckthorndrift/coordination'
import type { Member } from '@buckthorndrift/protocol'
import { endpointSettings, type EndpointSettings } from '../shared/endpointSettings.ts'
import { startEndpoint } from './endpointPlugins.ts'

/** Time after the drain limit for handovers and deregistration, in ms. */
const handoverMs = 30_000

function openMetrics (settings: EndpointSettings): Metrics {
  if (settings.statsdHost === '') return silentMetrics
  return createStatsdMetrics({ host: settings.statsdHost, port: settings.statsdPort, tags: { endpoint: settings.id, failureDomain: settings.failureDomain } })
}

function openTracing (settings: EndpointSettings): Tracing {
  const serviceName = `endpoint ${settings.id}`
  return settings.spans === 'lines' ? createTracing({ serviceName, exporter: createSpanLineExporter(process.stderr) }) : createTracing({ serviceName })
}

function platformPlugins (settings: EndpointSettings, self: Member): readonly Plugin[] {
  return [
    createObjectStorePlugin({ url: settings.platformUrl }),
    createDocumentsPlugin({ self, fleetSecret: settings.fleetSecret }),
    createMembershipPlugin({ self })
  ]
}

/**
 * Runs an endpoint process. Resolves with the exit code: 0 after a graceful
 * shutdown, 1 when it failed, 2 when settings are wrong. Prints `listening data
 * <url>`, so that a port of 0 can be found out.
 */
export async function runEndpoint (flags: Readonly<Record<string, string | undefined>>): Promise<number> {
  const resolved = resolveSettings(endpointSettings, { flags, environment: process.env })
  if (resolved.isErr()) return rejectSettings('endpoint process', resolved.error)
  const settings = resolved.value
  const log = createRoarrLog({ scope: 'endpoint', level: settings.logLevel as EventLevel, base: { endpoint: settings.id } })
  const tracing = openTracing(settings)
  const exitCode = await runProcess({
    label: 'endpoint process',
    log,
    drainLimitMs: settings.drainLimitMs + handoverMs,
    async start (requestStop) {
      const endpoint = await startEndpoint({
        settings,
        timers: new SystemTimers(),
        log,
        metrics: openMetrics(settings),
        tracing,
        platform: self => platformPlugins(settings, self),
        last: [createLeavingPlugin()]
      })
      process.stdout.write(`listening data ${endpoint.self.controlUrl}\n`)
      // Control `drain` stops the kernel by itself; the process then has nothing left to do.
      void endpoint.stopped.then(requestStop)
      return endpoint.kernel
    }
  })
  await tracing.close()
  return exitCode
}
