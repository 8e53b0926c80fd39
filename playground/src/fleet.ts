/** A small fleet of real processes on loopback, with stand-ins for everything outside. */
import { createHash } from 'node:crypto'
import { createAdminClient, type AdminClient } from '@buckthorndrift/admin'
import { flagName } from '@buckthorndrift/kernel'
import { startChild, stopChildren, type Child } from './childProcess.ts'

export type Settings = Readonly<Record<string, string | number>>

export interface EndpointPlan {
  readonly id: string
  readonly service: string
  readonly version: string
  readonly kind: 'model' | 'plain'
  readonly failureDomain: string
  readonly settings?: Settings
}

export interface RouterPlan {
  readonly id: string
  readonly failureDomain: string
  readonly settings?: Settings
}

export interface RunningRouter {
  readonly id: string
  readonly child: Child
  readonly callerUrl: string
  readonly controlPort: number
  readonly admin: AdminClient
}

export interface RunningEndpoint {
  readonly id: string
  readonly child: Child
  readonly backEnd: Child
  readonly backEndUrl: string
}

export interface Fleet {
  readonly platform: Child
  readonly platformUrl: string
  readonly routers: RunningRouter[]
  readonly endpoints: RunningEndpoint[]
  startRouter (plan: RouterPlan): Promise<RunningRouter>
  startEndpoint (plan: EndpointPlan): Promise<RunningEndpoint>
  /** Stops everything, processes of the fleet gracefully. */
  stop (): Promise<void>
}

const adminKey = 'administration-key-of-the-playground'
const fleetSecret = 'fleet-secret-of-the-playground'
const adminTimeoutMs = 10_000
const stopLimitMs = 15_000

function flagsOf (settings: Settings): readonly string[] {
  return Object.entries(settings).flatMap(([name, value]) => [flagName(name), String(value)])
}

function routerSettingsFor (plan: RouterPlan, platformUrl: string): Settings {
  return {
    id: plan.id,
    vm: `vm-${plan.id}`,
    failureDomain: plan.failureDomain,
    region: 'local',
    platformUrl,
    fleetSecret,
    adminKeyHashes: `playground=${createHash('sha256').update(adminKey).digest('hex')}`,
    callerPort: 0,
    adminPort: 0,
    controlPort: 0,
    recordFlushMs: 300,
    budgetFlushMs: 1000,
    drainDelayMs: 500,
    ...plan.settings
  }
}

async function launchRouter (plan: RouterPlan, platformUrl: string): Promise<RunningRouter> {
  const child = startChild(plan.id, 'cli', ['router', ...flagsOf(routerSettingsFor(plan, platformUrl))])
  const callerPort = await child.line('listening caller ')
  const adminPort = await child.line('listening admin ')
  const controlPort = Number(await child.line('listening control '))
  const admin = createAdminClient({ url: `http://127.0.0.1:${adminPort}`, key: adminKey, timeoutMs: adminTimeoutMs })
  return { id: plan.id, child, callerUrl: `http://127.0.0.1:${callerPort}`, controlPort, admin }
}

async function launchEndpoint (plan: EndpointPlan, platformUrl: string): Promise<RunningEndpoint> {
  const backEnd = startChild(`${plan.id} back end`, 'standins', plan.kind === 'model' ? ['engine', '--step-ms', '4'] : ['plain'])
  const backEndUrl = await backEnd.line('listening ')
  const child = startChild(plan.id, 'endpoint', flagsOf({
    id: plan.id,
    vm: `vm-${plan.id}`,
    failureDomain: plan.failureDomain,
    service: plan.service,
    version: plan.version,
    backEndUrl,
    backEndKind: plan.kind,
    platformUrl,
    fleetSecret,
    ...plan.settings
  }))
  await child.line('listening data ')
  return { id: plan.id, child, backEnd, backEndUrl }
}

/** Starts a platform stand-in and the given processes. */
export async function startFleet (routers: readonly RouterPlan[], endpoints: readonly EndpointPlan[]): Promise<Fleet> {
  const platform = startChild('platform', 'standins', ['object-api'])
  const platformUrl = await platform.line('listening ')
  const fleet: Fleet = {
    platform,
    platformUrl,
    routers: [],
    endpoints: [],
    async startRouter (plan) {
      const router = await launchRouter(plan, platformUrl)
      fleet.routers.push(router)
      return router
    },
    async startEndpoint (plan) {
      const endpoint = await launchEndpoint(plan, platformUrl)
      fleet.endpoints.push(endpoint)
      return endpoint
    },
    async stop () {
      // Endpoint processes hand their records over to routers, so these stop last.
      await stopChildren(fleet.endpoints.map(endpoint => endpoint.child), stopLimitMs)
      await stopChildren(fleet.routers.map(router => router.child), stopLimitMs)
      await stopChildren([...fleet.endpoints.map(endpoint => endpoint.backEnd), platform], stopLimitMs)
    }
  }
  try {
    await Promise.all(routers.map(plan => fleet.startRouter(plan)))
    await Promise.all(endpoints.map(plan => fleet.startEndpoint(plan)))
  } catch (error) {
    await fleet.stop()
    throw error
  }
  return fleet
}
