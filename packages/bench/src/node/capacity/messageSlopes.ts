/** Processor time and bytes of control messages between processes, over loopback. */
import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { H3, toNodeHandler } from 'h3'
import { createControlHandler, createRouterClient, createRouterControl, type RouterClient } from '@buckthorndrift/protocol'
import { fitLine, type LinearFit } from '../../shared/linearFit.ts'

const fleetSecret = 'secret'
const calls = 1500
const byteCalls = 100
const warmUpCalls = 6000
const itemCounts = [1, 10, 50]

async function startControl () {
  const control = createRouterControl({
    budget: {
      reserve: async input => input.items.map((item, seq) => ({
        kind: 'reserved' as const, reservation: { holder: 'router-1.3ef9536c', shard: input.shard, seq, tokens: item.tokens }, settledSeq: seq
      })),
      settle: async () => {},
      recall: async () => {},
      settledSeq: async () => 0
    },
    documents: { exchange: async () => ({ digest: {}, documents: [] }) },
    records: { replicateAccounts: async () => {}, handOver: async () => {} },
    evidence: { reportCrash: async () => {}, reportOutcomes: async () => {} }
  })
  const handle = createControlHandler(control, fleetSecret)
  const server = createServer(toNodeHandler(new H3().all('/trpc/**', event => handle(event.req))))
  const sockets = new Set<Socket>()
  server.on('connection', socket => { sockets.add(socket) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  return {
    client: createRouterClient({ url, fleetSecret, timeoutMs: 10_000 }),
    /** Bytes sent and received so far, headers included. */
    bytes: () => [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0),
    close () {
      server.closeAllConnections()
      server.close()
    }
  }
}

async function cpuUsPerCall (count: number, call: () => Promise<unknown>): Promise<number> {
  const before = process.cpuUsage()
  for (let made = 0; made < count; made++) await call()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / count
}

function reserveItems (count: number) {
  return Array.from({ length: count }, (_, number) => ({ budget: `organisation-${number}/budget-1`, tokens: 900 }))
}

/** Both ends run in this process, so each figure is the sum of caller and callee. */
export async function measureMessageSlopes (): Promise<{ readonly reserveUsPerItem: LinearFit, readonly reserveBytesPerItem: LinearFit }> {
  const control = await startControl()
  const reserve = (client: RouterClient, count: number) => client.budget.reserve.mutate({ shard: 1, items: reserveItems(count) })
  try {
    // The compiler changes the code while it runs; the first calls would count that.
    for (let made = 0; made < warmUpCalls; made++) await reserve(control.client, itemCounts[made % itemCounts.length]!)
    const points = []
    for (const count of itemCounts) {
      points.push({ x: count, y: await cpuUsPerCall(calls, () => reserve(control.client, count)) })
    }
    const bytePoints = []
    for (const count of itemCounts) {
      const before = control.bytes()
      for (let made = 0; made < byteCalls; made++) await reserve(control.client, count)
      bytePoints.push({ x: count, y: (control.bytes() - before) / byteCalls })
    }
    return { reserveUsPerItem: fitLine(points), reserveBytesPerItem: fitLine(bytePoints) }
  } finally {
    control.close()
  }
}
