/** Assembles the router process from its plugins. */
import { randomUUID } from 'node:crypto'
import type { RequestListener } from 'node:http'
import { adminListenerKey, createAdminPlugin, createStoredBudgetsPlugin, openListener, type Listener } from '@buckthorndrift/admin'
import { startKernel, type Kernel, type Log, type Metrics, type Plugin, type TimerService, type Tracing } from '@buckthorndrift/kernel'
import {
  createDocumentsPlugin, createLeasesPlugin, createLeavingPlugin, createMembershipPlugin, createObjectStorePlugin, createVmListPlugin
} from '@buckthorndrift/coordination'
import type { Member } from '@buckthorndrift/protocol'
import { tlsFilesOf, type ListenerName, type ResolvedRouterSettings, type RouterSettings } from '../shared/routerSettings.ts'
import { controlRegistryKey } from '../shared/services.ts'
import { createBudgetPlugin } from './budget/index.ts'
import { createCallerPlugin } from './callers/callerPlugin.ts'
import { createConfigPlugin } from './config/configPlugin.ts'
import { createControlPlugin } from './control/controlPlugin.ts'
import { createRecordsPlugin } from './records/recordsPlugin.ts'
import { createRolloutsPlugin } from './rollouts/rolloutsPlugin.ts'

export interface RouterOptions {
  readonly resolved: ResolvedRouterSettings
  readonly timers: TimerService
  readonly log: Log
  readonly metrics: Metrics
  readonly tracing: Tracing
  /** Called when an operator asks this process to drain. */
  onDrainRequested (): void
  /** Called once with the bound port of each listener. */
  onListening? (listener: ListenerName, port: number): void
}

/** Limits of the control listener; the URL, which counts as header bytes, contains the input of batched queries. */
const controlListenerLimits = { headersTimeoutMs: 10_000, requestTimeoutMs: 30_000, maxHeaderBytes: 64 * 1024, maxConnections: 10_000 }

/** Longest time that a refusal waits for the copy of its account at a peer router. */
const replicateTimeoutMs = 250

/** Interval at which routers report outcomes and rollouts are evaluated. */
const outcomeIntervalMs = 1000

interface ControlListener {
  readonly listener: Listener
  serve (handler: RequestListener): void
}

/** Opens the control listener before the plugins start, because its port is part of the registration. The listener responds with 503 until `serve` sets its handler. */
async function openControlListener (settings: RouterSettings): Promise<ControlListener> {
  let handler: RequestListener | undefined
  const tls = tlsFilesOf(settings, 'control')
  const listener = await openListener({
    ...controlListenerLimits, host: settings.controlHost, port: settings.controlPort, ...(tls === undefined ? {} : { tls })
  }, (request, response) => {
    if (handler !== undefined) return handler(request, response)
    response.writeHead(503).end()
  })
  return { listener, serve (requestListener) { handler = requestListener } }
}

function advertisedUrl (settings: RouterSettings, port: number): string {
  if (settings.controlUrl !== 'auto') return settings.controlUrl
  const scheme = tlsFilesOf(settings, 'control') === undefined ? 'http' : 'https'
  return `${scheme}://${settings.controlHost}:${port}`
}

function createMember (settings: RouterSettings, port: number): Member {
  return {
    id: settings.id,
    incarnation: randomUUID(),
    role: 'router',
    vm: settings.vm,
    failureDomain: settings.failureDomain,
    controlUrl: advertisedUrl(settings, port),
    leaving: false
  }
}

function platformPlugins (settings: RouterSettings, self: Member): readonly Plugin[] {
  return [
    createObjectStorePlugin({ url: settings.platformUrl }),
    createDocumentsPlugin({
      self,
      fleetSecret: settings.fleetSecret,
      tuning: { intervalMs: settings.exchangeIntervalMs },
      registerExchange: (context, handlers) => { context.use(controlRegistryKey).register('documents', handlers) }
    }),
    createMembershipPlugin({ self }),
    createLeasesPlugin(),
    createVmListPlugin()
  ]
}

function operatorPlugins ({ resolved, onDrainRequested }: RouterOptions): readonly Plugin[] {
  const { settings, adminKeys } = resolved
  const tls = tlsFilesOf(settings, 'admin')
  return [
    createStoredBudgetsPlugin({ shards: settings.budgetShards }),
    createAdminPlugin({
      host: settings.adminHost,
      port: settings.adminPort,
      ...(tls === undefined ? {} : { tls }),
      keys: adminKeys,
      fleetSecret: settings.fleetSecret,
      drainSelf: onDrainRequested
    })
  ]
}

function requestPlugins ({ resolved: { settings }, tracing, onListening }: RouterOptions): readonly Plugin[] {
  const { fleetSecret, controlTimeoutMs } = settings
  return [
    createConfigPlugin(),
    createRecordsPlugin({
      fleetSecret,
      controlTimeoutMs,
      replicateTimeoutMs,
      recordFlushMs: settings.recordFlushMs,
      recordsLimitBytes: settings.recordsLimitBytes,
      recordHandoverMs: settings.recordFlushMs * 5
    }),
    createBudgetPlugin({
      limits: { flushMs: settings.budgetFlushMs },
      reclaimLimits: { reclaimWaitMs: settings.reclaimWaitMs },
      initialShardCount: settings.budgetShards,
      fleet: { fleetSecret, controlTimeoutMs }
    }),
    createRolloutsPlugin({ fleetSecret, controlTimeoutMs, outcomeIntervalMs, random: Math.random }),
    createCallerPlugin({
      host: settings.callerHost,
      port: settings.callerPort,
      fleetSecret,
      tracing,
      tls: tlsFilesOf(settings, 'caller'),
      random: Math.random,
      settings: {
        maxBodyBytes: settings.requestLimitBytes,
        maxConnections: settings.connectionLimit,
        defaultDeadlineMs: settings.defaultDeadlineMs,
        maxDeadlineMs: settings.deadlineLimitMs,
        streamBufferBytes: settings.streamLimitBytes,
        silenceMs: settings.silenceMs,
        drainDelayMs: settings.drainDelayMs,
        controlTimeoutMs
      },
      onListening: port => { onListening?.('caller', port) }
    })
  ]
}

/** Starts a router. Rejects if a plugin fails to start, for example because a listener cannot be opened; no listener stays open then. */
export async function startRouter (options: RouterOptions): Promise<Kernel> {
  const { settings } = options.resolved
  const control = await openControlListener(settings)
  const self = createMember(settings, control.listener.port)
  options.onListening?.('control', control.listener.port)
  try {
    const kernel = await startKernel({
      timers: options.timers,
      log: options.log,
      metrics: options.metrics,
      plugins: [
        createControlPlugin({ fleetSecret: settings.fleetSecret, listener: { kind: 'open', serve: control.serve, close: () => control.listener.close() } }),
        ...platformPlugins(settings, self),
        ...requestPlugins(options),
        ...operatorPlugins(options),
        createLeavingPlugin()
      ]
    })
    options.onListening?.('admin', kernel.use(adminListenerKey).port)
    return kernel
  } catch (error) {
    await control.listener.close()
    throw error
  }
}
