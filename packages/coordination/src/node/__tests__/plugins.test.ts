import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { H3, toNodeHandler } from 'h3'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { silentLog, silentMetrics, startKernel, SystemTimers, type Kernel } from '@buckthorndrift/kernel'
import { createControlHandler, createRouterControl, type DocumentHandlers, type Member } from '@buckthorndrift/protocol'
import { startObjectApi, type ObjectApi } from '@buckthorndrift/standins'
import {
  createDocumentsPlugin, createLeasesPlugin, createMembershipPlugin, createObjectStorePlugin, createVmListPlugin, documentsKey, leasesKey, membersOf,
  membershipKey, objectStoreKey
} from '../../index.ts'

interface RunningProcess {
  readonly kernel: Kernel
  stop (): Promise<void>
}

describe('plugins of the coordination package', () => {
  let api: ObjectApi
  let running: RunningProcess[] = []
  beforeEach(async () => { api = await startObjectApi({ latencyMs: 1, vmLagMs: 0 }) })
  afterEach(async () => {
    for (const one of running) await one.stop()
    running = []
    await api.close()
  })

  async function listen (exchange: { handlers?: DocumentHandlers }): Promise<{ readonly server: Server, readonly url: string }> {
    const unused = { recall: async () => {}, settle: async () => {}, reserve: async () => [], settledSeq: async () => -1 }
    const control = createRouterControl({
      budget: unused,
      documents: { exchange: async input => exchange.handlers?.exchange(input) ?? { digest: {}, documents: [] } },
      records: { replicateAccounts: async () => {}, handOver: async () => {} },
      evidence: { reportCrash: async () => {}, reportOutcomes: async () => {} }
    })
    const handle = createControlHandler(control, 'secret')
    const server = createServer(toNodeHandler(new H3().all('/trpc/**', event => handle(event.req))))
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` }
  }

  async function start (id: string, role: 'router' | 'endpoint'): Promise<Kernel> {
    const exchange: { handlers?: DocumentHandlers } = {}
    const { server, url } = await listen(exchange)
    const self: Member = { id, incarnation: '1', role, vm: `vm-${id}`, failureDomain: 'd1', controlUrl: url, leaving: false }
    const kernel = await startKernel({
      timers: new SystemTimers(),
      log: silentLog,
      metrics: silentMetrics,
      plugins: [
        createObjectStorePlugin({ url: api.url }),
        createDocumentsPlugin({ self, fleetSecret: 'secret', registerExchange: (_, handlers) => { exchange.handlers = handlers } }),
        createMembershipPlugin({ self }),
        ...(role === 'router' ? [createLeasesPlugin(), createVmListPlugin()] : [])
      ]
    })
    const stop = async (): Promise<void> => {
      await kernel.stop()
      server.closeAllConnections()
      server.close()
    }
    running.push({ kernel, stop })
    return kernel
  }

  const registeredIds = (): readonly string[] => membersOf({ name: 'members/d1', version: 1, value: api.table.read('members/d1')?.value }).map(({ id }) => id)

  it('register the process, deliver a change to routers and endpoint processes, elect one VM list lease holder, and deregister at close', async () => {
    const kernels = [await start('r1', 'router'), await start('r2', 'router'), await start('r3', 'router'), await start('e1', 'endpoint')]
    expect(registeredIds()).toEqual(['r1', 'r2', 'r3', 'e1'])
    const version = (await kernels[2]?.use(objectStoreKey).write('config/fleet', { text: 'a' }, 0))?.unwrap()
    await expect.poll(() => kernels.map(kernel => kernel.use(documentsKey).get('config/fleet')?.version), { timeout: 9000 }).toEqual([version, version, version, version])
    await expect.poll(() => kernels[0]?.use(membershipKey).endpoints().map(({ id }) => id)).toEqual(['e1'])
    await expect.poll(() => kernels.slice(0, 3).filter(kernel => kernel.use(leasesKey).campaign('vmList').fencingToken() !== undefined).length, { timeout: 9000 }).toBe(1)
    await running[1]?.stop()
    expect(registeredIds()).toEqual(['r1', 'r3', 'e1'])
  })

  it('stop in bounded time while the platform does not respond', async () => {
    await start('r1', 'router')
    api.setFaults({ silent: true })
    await running[0]?.stop()
    expect(registeredIds()).toEqual(['r1'])
  })
})
