import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { H3, toNodeHandler } from 'h3'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { createControlHandler, createRouterClient, createRouterControl } from '../../index.ts'

describe('control listener', () => {
  let server: Server
  let url: string

  beforeAll(async () => {
    const control = createRouterControl({
      budget: {
        reserve: async input => input.items.map(() => ({ kind: 'exhausted' as const })),
        settle: async () => {},
        recall: async () => {},
        settledSeq: async () => 7
      },
      documents: { exchange: async () => ({ digest: {}, documents: [] }) },
      records: { replicateAccounts: async () => {}, handOver: async () => {} },
      evidence: { reportCrash: async () => {}, reportOutcomes: async () => {} }
    })
    const handle = createControlHandler(control, 'secret')
    const app = new H3().all('/trpc/**', event => handle(event.req))
    server = createServer(toNodeHandler(app))
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  })

  afterAll(() => { server.close() })

  it('answers a client that sends the fleet secret', async () => {
    const client = createRouterClient({ url, fleetSecret: 'secret', timeoutMs: 5000 })
    expect(await client.budget.settledSeq.query({ holder: 'r1.1', shard: 0 })).toBe(7)
  })

  it('refuses a client with a wrong secret, so that only processes of the fleet can reserve tokens or fence holders', async () => {
    const client = createRouterClient({ url, fleetSecret: 'other', timeoutMs: 5000 })
    await expect(client.budget.recall.mutate({ shard: 0, budgets: [] })).rejects.toThrow('fleet secret')
  })

  it('rejects a message that does not match its schema', async () => {
    const client = createRouterClient({ url, fleetSecret: 'secret', timeoutMs: 5000 })
    await expect(client.budget.settledSeq.query({ holder: 'r1.1', shard: -1 })).rejects.toThrow()
  })
})
