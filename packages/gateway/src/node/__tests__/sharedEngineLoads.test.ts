import { beforeEach, describe, expect, it } from 'vitest'
import { createHasher, HeldMemory, rankAggregators, type EngineLoad } from '@buckthorndrift/policy'
import { ManualTimers, silentLog } from '@buckthorndrift/kernel'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { loadMessageSchema, loadReplySchema, type LoadMessage } from '../../shared/loadMessages.ts'
import { createLoadClient, type LoadExchange } from '../loadClient.ts'
import { createPeerServer, type PeerServerOptions } from '../peerServer.ts'
import { SharedEngineLoads } from '../sharedEngineLoads.ts'

const hasher = await createHasher()
const routers = Array.from({ length: 16 }, (_, index) => ({ id: `router-${index}`, address: `router-${index}:1`, processorCores: 1 }))
const load: EngineLoad = { pendingTokens: 30_000, running: 3, heldTokens: 40_000 }
const ranked = rankAggregators(hasher, routers).map(({ id }) => id)

describe('SharedEngineLoads', () => {
  let timers: ManualTimers
  let asked: string[]
  /** Routers that do not sum up loads: they are lost, or run a version that does not know the messages. */
  let failing: Set<string>
  let fleet: Map<string, SharedEngineLoads>

  function join (id: string, known = routers): SharedEngineLoads {
    const client = {
      exchange: (address: string, message: unknown): Promise<LoadExchange> => {
        const to = address.split(':')[0]!
        asked.push(to)
        const message_ = loadMessageSchema.parse(JSON.parse(JSON.stringify(message)))
        return Promise.resolve(failing.has(to) ? { kind: 'failed', detail: 'status 404' } : { kind: 'known', reply: loadReplySchema.parse(JSON.parse(JSON.stringify(fleet.get(to)!.receive(message_)))) })
      },
      close: () => Promise.resolve()
    }
    const loads = new SharedEngineLoads({ timers, log: silentLog, hasher, nodeName: id, routers: { routers: known }, client, ownLoads: () => new Map([['e1', load]]) })
    fleet.set(id, loads)
    return loads
  }

  /** Lets time pass while all routers place requests. */
  async function pass (durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      for (const loads of fleet.values()) loads.othersAt('e1', 0)
      timers.advance(50)
      for (let turn = 0; turn < 6; turn++) await Promise.resolve()
    }
  }

  beforeEach(() => {
    timers = new ManualTimers(1000)
    asked = []
    failing = new Set()
    fleet = new Map()
  })

  it('tells every router the load of all others, with one aggregator', async () => {
    for (const { id } of routers) join(id)
    await pass(600)
    expect([...fleet.values()].map(loads => loads.othersAt('e1', 0)?.running)).toEqual(routers.map(() => 45))
    expect(new Set(asked)).toEqual(new Set([ranked[0]]))
  })

  it('replaces an aggregator that is lost or does not know the messages by the next rank', async () => {
    for (const { id } of routers) join(id)
    await pass(600)
    failing.add(ranked[0]!)
    fleet.delete(ranked[0]!)
    await pass(800)
    expect(fleet.get(ranked[5]!)!.othersAt('e1', 0)?.running).toBe(42)
    expect(asked.at(-1)).toBe(ranked[1])
  })

  it('goes back to its own load after a second without news', async () => {
    for (const { id } of routers) join(id)
    await pass(600)
    for (const { id } of routers) failing.add(id)
    const other = fleet.get(ranked[5]!)!
    fleet = new Map([[ranked[5]!, other]])
    await pass(1300)
    expect(other.othersAt('e1', 0)).toBeUndefined()
    expect(other.ageMs()).toBeGreaterThan(1000)
  })

  it('sends nothing without requests at engines, and nothing in a small fleet', async () => {
    join('router-0', routers.slice(0, 6))
    await pass(1000)
    const quiet = join('router-1')
    fleet.delete('router-0')
    fleet.clear()
    await pass(1000)
    expect([asked, quiet.ageMs()]).toEqual([[], Infinity])
  })
})

describe('messages of loads', () => {
  it('are refused unless all amounts are numbers from 0 on', () => {
    for (const loads of [{ e1: [1, 2] }, { e1: [-1, 0, 0] }, { e1: ['1', 0, 0] }, { e1: [null, 0, 0] }, []]) {
      expect(loadMessageSchema.safeParse({ from: 'a', loads }).success).toBe(false)
      expect(loadReplySchema.safeParse({ ageMs: 0, routers: 1, loads }).success).toBe(false)
    }
    expect(loadReplySchema.safeParse({ ageMs: -1, routers: 1, loads: {} }).success).toBe(false)
  })

  it('get an answer from a peer server, a failure for what cannot be read, and from a server that does not know them', async () => {
    const server = createPeerServer({ guard: { maxConnections: 10, limit: 'peerConnections', reports: { record: () => {} } }, memory: new HeldMemory(1e6), nowMs: () => 0, receiveLoad: ({ from }: LoadMessage) => ({ ageMs: from === 'a' ? 0 : -1, routers: 15, loads: { e1: [1, 2, 3] } }) } as unknown as PeerServerOptions)
    const older = createServer((_, response) => { response.writeHead(404, { 'Content-Length': 0 }).end() })
    const client = createLoadClient()
    const [address, olderAddress] = await Promise.all([server, older].map(async each => {
      await new Promise<void>(resolve => { each.listen(0, '127.0.0.1', resolve) })
      return `127.0.0.1:${(each.address() as AddressInfo).port}`
    }))
    expect(await client.exchange(address!, { from: 'a', loads: {} })).toEqual({ kind: 'known', reply: { ageMs: 0, routers: 15, loads: { e1: [1, 2, 3] } } })
    const failures = [client.exchange(address!, { from: 'a', loads: { e1: [-1, 0, 0] } }), client.exchange(address!, { from: 'b', loads: {} }), client.exchange(olderAddress!, { from: 'a', loads: {} })]
    expect((await Promise.all(failures)).map(({ kind }) => kind)).toEqual(['failed', 'failed', 'failed'])
    await client.close()
    for (const each of [server, older]) {
      each.closeAllConnections()
      each.close()
    }
  })
})
