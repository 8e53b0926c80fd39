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
  let own: DocumentTable
  let peer: DocumentTable
  let exchanges: ExchangeInput[]
  let drains: number
  let control: ProcessControl

  beforeEach(async () => {
    own = new DocumentTable(['config/', 'directory/'])
    peer = new DocumentTable(['config/', 'directory/'])
    exchanges = []
    drains = 0
    const documents = { exchange: async (input: ExchangeInput) => { exchanges.push(input); return peer.answer(input.digest) } }
    const routerControl = createControlHandler(createRouterControl({ documents } as unknown as RouterControlHandlers), 'secret')
    const endpointControl = createControlHandler(createEndpointControl({ lifecycle: { drain: async () => { drains++ } } } as unknown as EndpointControlHandlers), 'secret')
    const app = new H3().all('/trpc/**', event => event.url.pathname.includes('lifecycle') ? endpointControl(event.req) : routerControl(event.req))
    listener = await openListener({ host: '127.0.0.1', port: 0, headersTimeoutMs: 5000, requestTimeoutMs: 5000, maxHeaderBytes: 16_384, maxConnections: 10 }, toNodeHandler(app))
    const controlUrl = `http://127.0.0.1:${listener.port}`
    const other: Member = { ...router, id: 'r2', controlUrl }
    control = createProcessControl({
      documents: { get: (wanted: string) => own.get(wanted) } as Documents,
      membership: { self: router, routers: () => [router, other], endpoints: () => [{ ...endpoint, controlUrl }] } as unknown as Membership,
      fleetSecret: 'secret',
      timeoutMs: 5000,
      drainSelf () {}
    })
  })
  afterEach(() => listener.close())

  it.each([[0, 0], [2, 0], [2, 1], [2, 2], [2, 3]])('with version %i here and %i at a router, finds the one at the router', async (here, there) => {
    if (here > 0) own.putIfNewer({ name, version: here, value: 'here' })
    if (there > 0) peer.putIfNewer({ name, version: there, value: 'there' })
    expect(await control.fleetVersion('r2', here)).toEqual({ kind: 'held', version: there })
  })

  it('asks a router that follows only once and transfers no key directory', async () => {
    for (const table of [own, peer]) for (const document of [name, 'directory/7']) table.putIfNewer({ name: document, version: 4, value: 'v' })
    for (let poll = 0; poll < 3; poll++) await control.fleetVersion('r2', 4)
    expect(exchanges).toEqual([{ digest: { [name]: 4, 'directory/7': 4 }, documents: [] }])
  })

  it('drains an endpoint process through its control listener', async () => {
    expect((await control.drain('e1')).isOk()).toBe(true)
    expect(drains).toBe(1)
  })
})
