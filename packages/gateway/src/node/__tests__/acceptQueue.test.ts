import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { silentLog, SystemTimers } from '@buckthorndrift/kernel'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { AcceptQueue } from '../acceptQueue.ts'
import { createGatewayMetrics } from '../gatewayMetrics.ts'

/** Time for which each request keeps the event loop busy. */
const busyMs = 10
const crowd = 150

type Ending = 'answered' | 'reset'

describe('AcceptQueue', () => {
  const metrics = createGatewayMetrics({ openRequests: () => 0, resourceUse: () => ({ link: 0, processor: 0, processorWaitMs: 0 }), loopDelayMs: () => 0, storeAgeMs: () => 0, droppedLogLines: () => 0 })
  const server = createServer((_, response) => {
    const untilMs = performance.now() + busyMs
    while (performance.now() < untilMs) { /* keeps the event loop busy */ }
    response.end('ok')
  })
  let accepting: AcceptQueue
  let port: number

  beforeEach(async () => {
    accepting = new AcceptQueue({ server, timers: new SystemTimers(), log: silentLog, metrics })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', 1024, resolve) })
    port = (server.address() as AddressInfo).port
  })

  afterEach(() => {
    accepting.stop()
    server.close()
    server.closeAllConnections()
  })

  function request (): Promise<Ending> {
    return new Promise(resolve => {
      const socket = connect(port, '127.0.0.1')
      socket.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n')
      socket.on('data', () => { resolve('answered') })
      socket.on('error', () => { resolve('reset') })
    })
  }

  it('closes a part of a crowd unread, answers the others, and answers an ordinary caller afterwards', async () => {
    const endings = await Promise.all(Array.from({ length: crowd }, request))
    expect(new Set(endings)).toEqual(new Set<Ending>(['answered', 'reset']))
    expect((await metrics.shedConnections.get()).values[0]?.value).toBe(endings.filter(ending => ending === 'reset').length)
    expect(await request()).toBe('answered')
  })
})
