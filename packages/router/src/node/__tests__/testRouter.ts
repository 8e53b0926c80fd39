/** A router's caller path on real sockets with fakes for the services of other plugins. */
import { randomBytes } from 'node:crypto'
import { Err, Ok } from 'ts-results-es'
import { createTracing, definePlugin, silentLog, silentMetrics, startKernel, SystemTimers, type Kernel, type Tracing } from '@buckthorndrift/kernel'
import { documentsKey, membershipKey, objectStoreKey, type Documents, type Membership, type ObjectStore, type StoredObject } from '@buckthorndrift/coordination'
import type { ClaimLayout, ClaimProcess, Failure, FleetConfig } from '@buckthorndrift/policy'
import type { BillingRecord, Member } from '@buckthorndrift/protocol'
import {
  budgetServiceKey, createCallerPlugin, configServiceKey, createControlPlugin, recordServiceKey, versionServiceKey,
  type CallerSettings, type RefusalDetails
} from '../../index.ts'
import type { FakeEndpoint } from './fakeEndpoint.ts'

export const fleet: FleetConfig = {
  services: {
    desk: {
      kind: 'plain',
      name: 'desk',
      dependsOn: [],
      versions: [{ name: 'v1' }],
      endpointLimit: 8,
      calls: [
        { route: 'POST /bookings', method: 'POST', path: '/bookings', idempotent: false, priceTokens: 20 },
        { route: 'GET /chambers/*', method: 'GET', path: '/chambers/*', idempotent: true, priceTokens: 1 }
      ]
    },
    bot: { kind: 'model', name: 'bot', dependsOn: [], versions: [{ name: 'v1' }], endpointLimit: 8, maxOutputTokens: 100 }
  }
}

/** Layout with one shard of idempotency keys. */
export function claimLayout (owner: Member, witness: Member, epoch: number): ClaimLayout {
  const processOf = ({ id, incarnation, controlUrl, vm, failureDomain }: Member): ClaimProcess => ({ id, incarnation, url: controlUrl, vm, failureDomain })
  return { shards: [{ epoch, owner: processOf(owner), witness: processOf(witness), unknownForMs: 0 }] }
}

/** Documents and object store of one process in memory. */
function fakePlatform (): { documents: Documents, store: ObjectStore, objects: Map<string, StoredObject> } {
  const objects = new Map<string, StoredObject>()
  const listeners = new Set<(document: StoredObject) => void>()
  const store = {
    read: async name => Ok(objects.get(name)),
    write: async (name, value, expectedVersion) => {
      const version = objects.get(name)?.version ?? 0
      if (version !== expectedVersion) return Err({ kind: 'conflict' as const, version })
      objects.set(name, { name, version: version + 1, value })
      return Ok(version + 1)
    }
  } as Partial<ObjectStore> as ObjectStore
  const documents: Documents = {
    get: name => objects.get(name),
    subscribe (_, listener) { listeners.add(listener); return () => { listeners.delete(listener) } },
    learn (document) { for (const listener of listeners) listener(document) },
    refresh: async name => Ok(objects.get(name))
  }
  return { documents, store, objects }
}

export interface TestRouter {
  readonly url: string
  readonly controlUrl: string
  readonly kernel: Kernel
  readonly bills: BillingRecord[]
  readonly refusals: RefusalDetails[]
  readonly settled: { readonly seq: number, readonly tokens: number }[]
  readonly observed: { readonly version: string, readonly isSuccess: boolean }[]
  readonly suspected: Set<string>
  readonly objects: Map<string, StoredObject>
  /** Reservations that fail. */
  budgetFailure: Failure | undefined
  canAdmit: boolean
  members: Member[]
  changed (): void
  stop (): Promise<void>
}

export interface TestRouterOptions {
  readonly endpoints: readonly FakeEndpoint[]
  readonly settings?: Partial<CallerSettings>
  readonly routers?: readonly Member[]
  readonly tracing?: Tracing
}

/** Starts the plugins of the caller path. */
export async function startTestRouter ({ endpoints, settings = {}, routers = [], tracing = createTracing({ serviceName: 'router' }) }: TestRouterOptions): Promise<TestRouter> {
  const { documents, store, objects } = fakePlatform()
  const owner = endpoints[0]?.member
  if (owner !== undefined) objects.set('claims/desk', { name: 'claims/desk', version: 1, value: claimLayout(owner, owner, 1) })
  const ports = { caller: 0, control: 0 }
  const listeners = new Set<() => void>()
  const self: Member = {
    id: `r${randomBytes(3).toString('hex')}`,
    incarnation: '1',
    role: 'router',
    vm: 'vm-r',
    failureDomain: 'a',
    get controlUrl () { return `http://127.0.0.1:${ports.control}` },
    leaving: false
  }
  const rig = {
    bills: [],
    refusals: [],
    settled: [],
    observed: [],
    suspected: new Set<string>(),
    objects,
    budgetFailure: undefined,
    canAdmit: true,
    members: endpoints.map(endpoint => endpoint.member),
    changed () { for (const listener of listeners) listener() }
  } as unknown as TestRouter
  const membership: Membership = {
    self,
    routers: () => [self, ...routers],
    endpoints: service => rig.members.filter(member => service === undefined || member.service === service),
    noteUnreachable: id => { rig.suspected.add(id) },
    noteAlive: id => { rig.suspected.delete(id) },
    isSuspected: id => rig.suspected.has(id),
    subscribe (listener) { listeners.add(listener); return () => { listeners.delete(listener) } }
  }
  let seq = 0
  const fakes = definePlugin({
    name: 'fakes',
    setup (context) {
      context.provide(membershipKey, membership)
      context.provide(documentsKey, documents)
      context.provide(objectStoreKey, store)
      context.provide(budgetServiceKey, {
        reserve: async (_, tokens) => rig.budgetFailure === undefined
          ? Ok({ reservation: { holder: `${self.id}.1`, shard: 0, seq: ++seq, tokens }, settledSeq: 0 })
          : Err(rig.budgetFailure),
        settle (_, reservation, tokens) { rig.settled.push({ seq: reservation.seq, tokens }) }
      })
      context.provide(recordServiceKey, {
        canAdmit: () => rig.canAdmit,
        bill: record => { rig.bills.push(record) },
        refuse: async draft => `account.${rig.refusals.push(draft)}`
      })
      context.provide(configServiceKey, {
        fleet: () => fleet,
        findKey: key => key === 'key-1' ? { organisation: 'org', budget: 'main' } : undefined
      })
      context.provide(versionServiceKey, {
        chooseVersion: () => 'v1',
        recordOutcome: (_, version, _route, isSuccess) => { rig.observed.push({ version, isSuccess }) }
      })
      return undefined
    }
  })
  const options = { host: '127.0.0.1', port: 0, fleetSecret: 'secret' }
  const kernel = await startKernel({
    timers: new SystemTimers(),
    log: silentLog,
    metrics: silentMetrics,
    plugins: [
      fakes,
      createControlPlugin({ fleetSecret: options.fleetSecret, listener: { kind: 'own', host: options.host, port: options.port, onListening: port => { ports.control = port } } }),
      createCallerPlugin({ ...options, settings, random: Math.random, tracing, onListening: port => { ports.caller = port } })
    ]
  })
  return Object.assign(rig, {
    kernel, url: `http://127.0.0.1:${ports.caller}`, controlUrl: `http://127.0.0.1:${ports.control}`, stop: () => kernel.stop()
  })
}

/** Headers of a caller with a valid key. */
export function callerHeaders (extra: Readonly<Record<string, string>> = {}): Record<string, string> {
  return { authorization: 'Bearer key-1', 'content-type': 'application/json', ...extra }
}
