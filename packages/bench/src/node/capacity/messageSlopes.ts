/** Processor time and bytes of reservation calls between two routers, over loopback HTTP. */
import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { H3, toNodeHandler } from 'h3'
import { createControlHandler, createRouterClient, createRouterControl, type RouterClient } from '@buckthorndrift/protocol'
import { fitLine, type LinearFit } from '../../shared/linearFit.ts'

const fleetSecret = 'secret'
const cpuSampleCalls = 1500
const byteSampleCalls = 100
/** Calls before the measurement, so that JIT compilation is not part of it. */
const warmUpCalls = 6000
const itemCounts = [1, 10, 50]

async function startControlServer () {
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

async function measureCpuUsPerCall (count: number, call: () => Promise<unknown>): Promise<number> {
  const before = process.cpuUsage()
  for (let index = 0; index < count; index++) await call()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / count
}

function createReserveItems (count: number) {
  return Array.from({ length: count }, (_, number) => ({ budget: `organisation-${number}/budget-1`, tokens: 900 }))
}

/** Measures reservation calls by the number of items. Caller and callee run in this process, so each figure is the sum of both. */
export async function measureMessageSlopes (): Promise<{ readonly reserveUsPerItem: LinearFit, readonly reserveBytesPerItem: LinearFit }> {
  const control = await startControlServer()
  const reserve = (client: RouterClient, count: number) => client.budget.reserve.mutate({ shard: 1, items: createReserveItems(count) })
  try {
    for (let call = 0; call < warmUpCalls; call++) await reserve(control.client, itemCounts[call % itemCounts.length]!)
    const points = []
    for (const count of itemCounts) {
      points.push({ x: count, y: await measureCpuUsPerCall(cpuSampleCalls, () => reserve(control.client, count)) })
    }
    const bytePoints = []
    for (const count of itemCounts) {
      const before = control.bytes()
      for (let call = 0; call < byteSampleCalls; call++) await reserve(control.client, count)
      bytePoints.push({ x: count, y: (control.bytes() - before) / byteSampleCalls })
    }
    return { reserveUsPerItem: fitLine(points), reserveBytesPerItem: fitLine(bytePoints) }
  } finally {
    control.close()
  }
}
