/** A small fleet of router and endpoint processes on loopback, with stand-ins for the platform and the back ends. */
import { createHash } from 'node:crypto'
import { createAdminClient, type AdminClient } from '@buckthorndrift/admin'
import { flagName } from '@buckthorndrift/kernel'
import { startChild, stopChildren, type Child } from './childProcess.ts'

/** Settings of a process by name, passed as flags. */
export type Settings = Readonly<Record<string, string | number>>

/** An endpoint process to start, with its back end. */
export interface EndpointPlan {
  readonly id: string
  readonly service: string
  readonly version: string
  readonly kind: 'model' | 'plain'
  readonly failureDomain: string
  readonly settings?: Settings
}

/** A router process to start. */
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
  /** Stops all processes: endpoints first, then routers, then the stand-ins. */
  stop (): Promise<void>
}

const adminKey = 'administration-key-of-the-playground'
const fleetSecret = 'fleet-secret-of-the-playground'
const adminTimeoutMs = 10_000
const stopTimeoutMs = 15_000

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
  const callerPort = await child.waitForLine('listening caller ')
  const adminPort = await child.waitForLine('listening admin ')
  const controlPort = Number(await child.waitForLine('listening control '))
  const admin = createAdminClient({ url: `http://127.0.0.1:${adminPort}`, key: adminKey, timeoutMs: adminTimeoutMs })
  return { id: plan.id, child, callerUrl: `http://127.0.0.1:${callerPort}`, controlPort, admin }
}

async function launchEndpoint (plan: EndpointPlan, platformUrl: string): Promise<RunningEndpoint> {
  const backEnd = startChild(`${plan.id} back end`, 'standins', plan.kind === 'model' ? ['engine', '--step-ms', '4'] : ['plain'])
  const backEndUrl = await backEnd.waitForLine('listening ')
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
  await child.waitForLine('listening data ')
  return { id: plan.id, child, backEnd, backEndUrl }
}

/** Starts a stand-in for the platform, and the given routers and endpoints. */
export async function startFleet (routers: readonly RouterPlan[], endpoints: readonly EndpointPlan[]): Promise<Fleet> {
  const platform = startChild('platform', 'standins', ['object-api'])
  const platformUrl = await platform.waitForLine('listening ')
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
      // An endpoint that stops hands its billing records over to a router, so the routers stop after the endpoints.
      await stopChildren(fleet.endpoints.map(endpoint => endpoint.child), stopTimeoutMs)
      await stopChildren(fleet.routers.map(router => router.child), stopTimeoutMs)
      await stopChildren([...fleet.endpoints.map(endpoint => endpoint.backEnd), platform], stopTimeoutMs)
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
