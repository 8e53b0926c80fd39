/** Fakes of the platform, routers and back ends, and clients for the tests of the endpoint process. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { H3, toNodeHandler } from 'h3'
import { Err, Ok } from 'ts-results-es'
import { Agent, request } from 'undici'
import { definePlugin, resolveSettings, SystemTimers, type Plugin } from '@buckthorndrift/kernel'
import { documentsKey, membershipKey, objectStoreKey, type Documents, type Membership, type ObjectStore, type StoredObject } from '@buckthorndrift/coordination'
import {
  createControlHandler, createEndpointClient, createRouterControl, type Call, type Member, type RouterControlHandlers
} from '@buckthorndrift/protocol'
import { endpointSettings, startEndpoint, type Endpoint, type EndpointSettings } from '../../index.ts'

export const fleetSecret = 'test-secret'

/** In-memory platform. `isDown` makes its reads and writes fail. */
export class FakePlatform {
  readonly objects = new Map<string, StoredObject>()
  readonly members: Member[] = []
  readonly listeners = new Set<(document: StoredObject) => void>()
  /** Registrations and reads, in order. */
  readonly operations: string[] = []
  isDown = false

  put (name: string, value: unknown): void {
    const document = { name, version: (this.objects.get(name)?.version ?? 0) + 1, value }
    this.objects.set(name, document)
    for (const listener of this.listeners) listener(document)
  }

  store (): ObjectStore {
    const unavailable = Err({ kind: 'unavailable' as const, mayHaveApplied: false, detail: 'down' })
    return {
      read: async name => {
        this.operations.push(`read ${name}`)
        return this.isDown ? unavailable : Ok(this.objects.get(name))
      },
      write: async (name, value, expectedVersion) => {
        if (this.isDown) return unavailable
        const version = this.objects.get(name)?.version ?? 0
        if (version !== expectedVersion) return Err({ kind: 'conflict', version })
        this.put(name, structuredClone(value))
        return Ok(version + 1)
      },
      remove: async () => Ok(undefined),
      list: async () => Ok([]),
      watch: async () => Ok({ revision: 0, changes: [] }),
      vms: async () => this.isDown ? unavailable : Ok(this.members.map(({ vm }) => ({ vm, state: 'live' as const })))
    }
  }

  plugins (self: Member): readonly Plugin[] {
    const documents: Documents = {
      get: name => this.objects.get(name),
      subscribe: (prefix, listener) => {
        const filtered = (document: StoredObject): void => { if (document.name.startsWith(prefix)) listener(document) }
        this.listeners.add(filtered)
        return () => { this.listeners.delete(filtered) }
      },
      learn: () => {},
      refresh: name => this.store().read(name)
    }
    const membership: Membership = {
      self,
      routers: () => this.members.filter(member => member.role === 'router'),
      endpoints: service => this.members.filter(member => member.role === 'endpoint' && (service === undefined || member.service === service)),
      noteUnreachable: () => {},
      noteAlive: () => {},
      isSuspected: () => false,
      subscribe: () => () => {}
    }
    const deregister = (): void => { this.members.splice(0, this.members.length, ...this.members.filter(member => member !== self)) }
    return [definePlugin({
      name: 'fakePlatform',
      setup: context => {
        context.provide(objectStoreKey, this.store())
        context.provide(documentsKey, documents)
        context.provide(membershipKey, membership)
        return { ready: () => { this.operations.push('register'); this.members.push(self) }, drain: deregister, close: deregister }
      }
    })]
  }
}

export interface TestServer {
  readonly url: string
  readonly server: Server
  close (): Promise<void>
}

export async function listen (handle: (request: IncomingMessage, response: ServerResponse) => void): Promise<TestServer> {
  const server = createServer(handle)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    server,
    close: () => new Promise(resolve => { server.close(() => { resolve() }); server.closeAllConnections() })
  }
}

export async function startFakeRouter (handlers: { [Group in keyof RouterControlHandlers]?: Partial<RouterControlHandlers[Group]> }): Promise<TestServer> {
  const control = createControlHandler(createRouterControl(handlers as RouterControlHandlers), fleetSecret)
  return await listen(toNodeHandler(new H3().all('/trpc/**', event => control(event.req))) as never)
}

export function createRouterMember (id: string, url: string): Member {
  return { id, incarnation: '1', role: 'router', vm: id, failureDomain: 'a', controlUrl: url, leaving: false }
}

export function createSettings (flags: Partial<Record<keyof EndpointSettings, string | number>>): EndpointSettings {
  const allFlags = {
    id: 'e1',
    vm: 'vm1',
    failureDomain: 'a',
    service: 'desk',
    version: 'v1',
    platformUrl: 'http://127.0.0.1:1',
    fleetSecret,
    heartbeatMs: 30,
    reattachMs: 50,
    probeIntervalMs: 20,
    ...flags
  }
  const flagTexts = Object.fromEntries(Object.entries(allFlags).map(([name, value]) => [name, String(value)]))
  return resolveSettings(endpointSettings, { flags: flagTexts, environment: {} }).unwrap()
}

export async function startTestEndpoint (platform: FakePlatform, flags: Partial<Record<keyof EndpointSettings, string | number>>): Promise<Endpoint> {
  return await startEndpoint({ settings: createSettings(flags), timers: new SystemTimers(), platform: self => platform.plugins(self) })
}

let sequence = 0

export function createCall (fields: Partial<Call> = {}): Call {
  sequence += 1
  return {
    requestId: `r1.1.${sequence}`,
    organisation: 'org',
    budget: 'org/main',
    service: 'desk',
    version: 'v1',
    route: 'POST /bookings',
    idempotent: false,
    priority: 'interactive',
    deadlineMs: 10_000,
    reservation: { holder: 'r1.1', shard: 0, seq: sequence, tokens: 1000 },
    priceTokens: 20,
    settledSeq: -1,
    contentHash: `c${sequence}`,
    routerUrl: 'http://127.0.0.1:1',
    ...fields
  }
}

export interface ReceivedResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: string
  readonly settlement: { readonly tokens: number, readonly outcome: string } | undefined
  readonly heartbeats: number
}

const agent = new Agent({ pipelining: 1, headersTimeout: 30_000, bodyTimeout: 30_000 })

async function receive (url: string, options: Parameters<typeof request>[1]): Promise<ReceivedResponse> {
  let heartbeats = 0
  const response = await request(url, { dispatcher: agent, onInfo: () => { heartbeats += 1 }, ...options })
  const body = await response.body.text()
  const trailer = (response.trailers as Record<string, string>)['bd-settlement'] ?? response.headers['bd-settlement']
  return { status: response.statusCode, headers: response.headers, body, settlement: trailer === undefined ? undefined : JSON.parse(trailer as string), heartbeats }
}

export const authorization = { authorization: `Bearer ${fleetSecret}` }

export async function send (endpoint: Endpoint, call: Call, options: { path?: string, body?: string, method?: string, signal?: AbortSignal } = {}): Promise<ReceivedResponse> {
  const { path = '/bookings', body = '{}', method = 'POST', signal } = options
  return await receive(endpoint.self.controlUrl + path, {
    method: method as 'POST',
    headers: { ...authorization, 'bd-call': JSON.stringify(call), 'content-type': 'application/json' },
    ...(method === 'GET' ? {} : { body }),
    ...(signal === undefined ? {} : { signal })
  })
}

export async function attach (endpoint: Endpoint, requestId: string, offset = 0, incarnation = endpoint.self.incarnation): Promise<ReceivedResponse> {
  return await receive(`${endpoint.self.controlUrl}/attach/${requestId}?offset=${offset}&incarnation=${incarnation}`, { headers: authorization })
}

export function createControlClient (endpoint: Endpoint) {
  return createEndpointClient({ url: endpoint.self.controlUrl, fleetSecret, timeoutMs: 5000 })
}

/** Polls until `condition` is true. */
export async function waitUntil (condition: () => boolean): Promise<void> {
  for (let polls = 0; !condition(); polls += 1) {
    if (polls > 2000) throw new Error('condition was not met within 2000 polls')
    await new Promise(resolve => { setTimeout(resolve, 5) })
  }
}
