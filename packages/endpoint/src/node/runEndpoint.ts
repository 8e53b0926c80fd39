/** Runs the endpoint process until it is asked to stop. */
import {
  createRoarrLog, createSpanLineExporter, createStatsdMetrics, createTracing, rejectSettings, resolveSettings, runProcess, silentMetrics,
  SystemTimers, type EventLevel, type Metrics, type Plugin, type Tracing
} from '@buckthorndrift/kernel'
import { createDocumentsPlugin, createLeavingPlugin, createMembershipPlugin, createObjectStorePlugin } from '@buckthorndrift/coordination'
import type { Member } from '@buckthorndrift/protocol'
import { endpointSettings, type EndpointSettings } from '../shared/endpointSettings.ts'
import { startEndpoint } from './endpointPlugins.ts'

/** Time beyond the drain limit for handovers and deregistration. */
const handoverTimeoutMs = 30_000

function createMetrics (settings: EndpointSettings): Metrics {
  if (settings.statsdHost === '') return silentMetrics
  return createStatsdMetrics({ host: settings.statsdHost, port: settings.statsdPort, tags: { endpoint: settings.id, failureDomain: settings.failureDomain } })
}

function createProcessTracing (settings: EndpointSettings): Tracing {
  const serviceName = `endpoint ${settings.id}`
  return settings.spans === 'lines' ? createTracing({ serviceName, exporter: createSpanLineExporter(process.stderr) }) : createTracing({ serviceName })
}

function createPlatformPlugins (settings: EndpointSettings, self: Member): readonly Plugin[] {
  return [
    createObjectStorePlugin({ url: settings.platformUrl }),
    createDocumentsPlugin({ self, fleetSecret: settings.fleetSecret }),
    createMembershipPlugin({ self })
  ]
}

/**
 * Runs an endpoint process. Resolves with the exit code: 0 after a graceful
 * shutdown, 1 after a failure, 2 for invalid settings. Prints `listening data
 * <url>`, which shows the selected port if the setting is 0.
 */
export async function runEndpoint (flags: Readonly<Record<string, string | undefined>>): Promise<number> {
  const resolved = resolveSettings(endpointSettings, { flags, environment: process.env })
  if (resolved.isErr()) return rejectSettings('endpoint process', resolved.error)
  const settings = resolved.value
  const log = createRoarrLog({ scope: 'endpoint', level: settings.logLevel as EventLevel, base: { endpoint: settings.id } })
  const tracing = createProcessTracing(settings)
  const exitCode = await runProcess({
    label: 'endpoint process',
    log,
    drainLimitMs: settings.drainLimitMs + handoverTimeoutMs,
    async start (requestStop) {
      const endpoint = await startEndpoint({
        settings,
        timers: new SystemTimers(),
        log,
        metrics: createMetrics(settings),
        tracing,
        platform: self => createPlatformPlugins(settings, self),
        last: [createLeavingPlugin()]
      })
      process.stdout.write(`listening data ${endpoint.self.controlUrl}\n`)
      // The control call `drain` stops the kernel directly; the process then has to exit too.
      void endpoint.stopped.then(requestStop)
      return endpoint.kernel
    }
  })
  await tracing.close()
  return exitCode
}
