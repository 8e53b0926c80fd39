import { toNodeHandler, H3 } from 'h3'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { DocumentTable, type Documents, type Membership } from '@buckthorndrift/coordination'
import {
  createControlHandler, createEndpointControl, createRouterControl, type EndpointControlHandlers, type ExchangeInput, type Member, type RouterControlHandlers
} from '@buckthorndrift/protocol'
import { openListener, type Listener } from '../../index.ts'
import { createProcessControl, type ProcessControl } from '../processControl.ts'
import { endpoint, router } from './fixture.ts'

const name = 'config/fleet'

describe('process control', () => {
  let listener: Listener
  let localTable: DocumentTable
  let peerTable: DocumentTable
  let exchanges: ExchangeInput[]
  let drains: number
  let control: ProcessControl

  beforeEach(async () => {
    localTable = new DocumentTable(['config/', 'directory/'])
    peerTable = new DocumentTable(['config/', 'directory/'])
    exchanges = []
    drains = 0
    const documents = { exchange: async (input: ExchangeInput) => { exchanges.push(input); return peerTable.answer(input.digest) } }
    const routerControl = createControlHandler(createRouterControl({ documents } as unknown as RouterControlHandlers), 'secret')
    const endpointControl = createControlHandler(createEndpointControl({ lifecycle: { drain: async () => { drains++ } } } as unknown as EndpointControlHandlers), 'secret')
    const app = new H3().all('/trpc/**', event => event.url.pathname.includes('lifecycle') ? endpointControl(event.req) : routerControl(event.req))
    listener = await openListener({ host: '127.0.0.1', port: 0, headersTimeoutMs: 5000, requestTimeoutMs: 5000, maxHeaderBytes: 16_384, maxConnections: 10 }, toNodeHandler(app))
    const controlUrl = `http://127.0.0.1:${listener.port}`
    const other: Member = { ...router, id: 'r2', controlUrl }
    control = createProcessControl({
      documents: { get: (wanted: string) => localTable.get(wanted) } as Documents,
      membership: { self: router, routers: () => [router, other], endpoints: () => [{ ...endpoint, controlUrl }] } as unknown as Membership,
      fleetSecret: 'secret',
      timeoutMs: 5000,
      drainSelf () {}
    })
  })
  afterEach(() => listener.close())

  it.each([[0, 0], [2, 0], [2, 1], [2, 2], [2, 3]])('with local version %i and version %i at a router, returns the version at the router', async (localVersion, peerVersion) => {
    if (localVersion > 0) localTable.putIfNewer({ name, version: localVersion, value: 'here' })
    if (peerVersion > 0) peerTable.putIfNewer({ name, version: peerVersion, value: 'there' })
    expect(await control.fleetVersion('r2', localVersion)).toEqual({ kind: 'held', version: peerVersion })
  })

  it('queries an up-to-date router only once and transfers no key directory', async () => {
    for (const table of [localTable, peerTable]) for (const document of [name, 'directory/7']) table.putIfNewer({ name: document, version: 4, value: 'v' })
    for (let poll = 0; poll < 3; poll++) await control.fleetVersion('r2', 4)
    expect(exchanges).toEqual([{ digest: { [name]: 4, 'directory/7': 4 }, documents: [] }])
  })

  it('drains an endpoint process through its control listener', async () => {
    expect((await control.drain('e1')).isOk()).toBe(true)
    expect(drains).toBe(1)
  })
})
