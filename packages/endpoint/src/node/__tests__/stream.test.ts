import type { ServerResponse } from 'node:http'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import type { Endpoint } from '../../index.ts'
import { attach, authorization, callOf, controlOf, FakePlatform, fakeRouter, listen, routerMember, send, startTestEndpoint, until, type TestServer } from './fixtures.ts'

const event = (index: number, filler = ''): string => `data: {"i":${index},"f":"${filler}"}\n\n`
const modelCall = () => callOf({ route: 'POST /v1/chat/completions', priceTokens: undefined })

describe('streams of a model engine', () => {
  let engine: TestServer
  let endpoint: Endpoint
  let platform: FakePlatform
  let streams: Map<string, ServerResponse>
  let orders: string[]
  let bodies: Map<string, string>

  beforeEach(async () => {
    streams = new Map()
    orders = []
    bodies = new Map()
    engine = await listen((incoming, response) => {
      const id = String(incoming.headers['x-request-id'])
      let body = ''
      incoming.on('data', part => { body += part })
      incoming.on('end', () => {
        if (incoming.url?.startsWith('/requests/') || incoming.url === '/orders') {
          orders.push(`${incoming.url} ${body}`)
          response.end('{}')
        } else if (incoming.url === '/health') {
          response.end()
        } else {
          bodies.set(id, body)
          response.writeHead(200, { 'content-type': 'text/event-stream' })
          response.flushHeaders()
          streams.set(id, response)
        }
      })
    })
    platform = new FakePlatform()
  })

  afterEach(async () => {
    for (const stream of streams.values()) stream.end()
    await endpoint.kernel.stop()
    await engine.close()
  })

  async function start (flags: Parameters<typeof startTestEndpoint>[1] = {}): Promise<void> {
    endpoint = await startTestEndpoint(platform, { backEndUrl: engine.url, backEndKind: 'model', ...flags })
  }

  async function streamOf (id: string): Promise<ServerResponse> {
    await until(() => streams.has(id))
    return streams.get(id)!
  }

  it('counts tokens by events, and by usage when the engine reports it', async () => {
    await start()
    const counted = modelCall()
    const sending = send(endpoint, counted, { body: '12345678' })
    const stream = await streamOf(counted.requestId)
    stream.write(event(0))
    stream.write(event(1).slice(0, 5))
    stream.write(event(1).slice(5))
    stream.end('data: [DONE]\n\n')
    expect((await sending).settlement).toEqual({ requestId: counted.requestId, tokens: 4, outcome: 'completed' })

    const reported = modelCall()
    const second = send(endpoint, reported);
    (await streamOf(reported.requestId)).end(event(0) + 'data: {"usage":{"prompt_tokens":30,"completion_tokens":9}}\n\ndata: [DONE]\n\n')
    expect((await second).settlement?.tokens).toBe(39)
  })

  it('gives every reader the same bytes at the same offsets, heartbeats included, also while the request runs', async () => {
    await start()
    const call = { ...modelCall(), keyHash: 'a'.repeat(64) }
    const abort = new AbortController()
    const first = send(endpoint, call, { signal: abort.signal })
    const stream = await streamOf(call.requestId)
    stream.write(event(0))
    await new Promise(resolve => { setTimeout(resolve, 150) })
    abort.abort()
    await expect(first).rejects.toThrow()
    const whole = attach(endpoint, call.requestId)
    const rest = attach(endpoint, call.requestId, 7)
    await new Promise(resolve => { setTimeout(resolve, 50) })
    stream.end(event(1))
    expect((await whole).body.replaceAll(/^:\n/gm, '')).toBe(event(0) + event(1))
    expect((await whole).body, 'silence shows heartbeats').toContain('\n:\n')
    expect((await rest).body).toBe((await whole).body.slice(7))
    expect((await attach(endpoint, call.requestId)).body).toBe((await whole).body)
  })

  it('never puts a heartbeat into the middle of a line', async () => {
    await start()
    const call = modelCall()
    const sending = send(endpoint, call)
    const stream = await streamOf(call.requestId)
    stream.write('data: {"ha')
    await new Promise(resolve => { setTimeout(resolve, 150) })
    stream.end('lf":1}\n\n')
    expect((await sending).body).toBe('data: {"half":1}\n\n')
  })

  it('pauses the engine for a slow reader, resumes it, and slows no other reader', async () => {
    await start({ streamLimitBytes: 65_536 })
    const slow = modelCall()
    const fast = modelCall()
    const sending = request(endpoint.self.controlUrl + '/x', {
      method: 'POST', headers: { ...authorization, 'bd-call': JSON.stringify(slow) }, body: '{}', highWaterMark: 1024
    })
    const stream = await streamOf(slow.requestId)
    let written = 0
    const write = (): void => {
      while (!stream.destroyed && written < 20_000_000) {
        written += 4000
        if (!stream.write(event(written, 'x'.repeat(3980)))) { stream.once('drain', write); return }
      }
      stream.end()
    }
    write()
    await until(() => orders.some(order => order.includes('pause')))
    const other = send(endpoint, fast);
    (await streamOf(fast.requestId)).end(event(0).repeat(1000))
    expect((await other).body).toHaveLength(event(0).length * 1000)
    expect(endpoint.gate.memory().unreadBytes).toBeLessThan(2 * 65_536)
    const received = await sending
    for await (const part of received.body) void part
    expect(orders.at(-1)).toContain('resume')
  })

  it('cancels at the engine when nobody can come back, but not when the request has a key', async () => {
    await start()
    const calls = [modelCall(), { ...modelCall(), keyHash: 'b'.repeat(64) }] as const
    for (const call of calls) {
      const abort = new AbortController()
      const sending = send(endpoint, call, { signal: abort.signal })
      await streamOf(call.requestId)
      abort.abort()
      await expect(sending).rejects.toThrow()
    }
    await until(() => orders.length > 0)
    await new Promise(resolve => { setTimeout(resolve, 100) })
    expect(orders).toEqual([`/requests/${calls[0].requestId}/cancel {}`])
    expect(endpoint.gate.load().inFlight).toBe(1)
    expect(endpoint.gate.records.due(1e12, 0, 10)).toMatchObject([{ requestId: calls[0].requestId, outcome: 'cancelled' }])
  })

  it('says mayHaveRun for what ran and notRun for the queue when the engine falls over, and reports what ran', async () => {
    const reports: unknown[] = []
    const router = await fakeRouter({ evidence: { reportCrash: async report => { reports.push(report) } } })
    platform.members.push(routerMember('r1', router.url))
    await start({ backEndLimit: 2 })
    const calls = [modelCall(), modelCall(), modelCall()]
    const sending = calls.slice(0, 2).map(call => send(endpoint, call))
    for (const call of calls.slice(0, 2)) await streamOf(call.requestId)
    const queued = send(endpoint, calls[2]!)
    await until(() => endpoint.gate.load().queued === 1)
    const { port } = engine.server.address() as { port: number }
    await engine.close()
    const received = await Promise.all([...sending, queued])
    expect(received.slice(0, 2).map(one => one.settlement?.outcome)).toEqual(['failed', 'failed'])
    expect([received[2]!.status, received[2]!.headers['bd-verdict']]).toEqual([502, 'notRun'])
    expect(endpoint.gate.load().healthy).toBe(false)
    expect(await send(endpoint, modelCall())).toMatchObject({ status: 502, headers: { 'bd-verdict': 'notRun' } })
    await until(() => reports.length === 1)
    expect(reports).toMatchObject([{ crash: 0, contentHashes: calls.slice(0, 2).map(call => call.contentHash) }])
    engine.server.listen(port, '127.0.0.1')
    await until(() => endpoint.gate.load().healthy)
    await router.close()
  })

  it('refuses a stale order itself, for engines that ignore fencing tokens', async () => {
    await start()
    const control = controlOf(endpoint)
    const order = { kind: 'loadModel' as const, model: 'm' }
    const outcomes = await Promise.all([5, 4, 6].map(fencingToken => control.lifecycle.order.mutate({ fencingToken, order })))
    expect(outcomes.map(({ kind }) => kind)).not.toContain('failed')
    expect(await control.lifecycle.order.mutate({ fencingToken: 5, order })).toEqual({ kind: 'stale', fencingToken: 6 })
    expect(orders.filter(one => one.includes('"fencingToken":5')).length).toBeLessThanOrEqual(1)
    expect(orders.at(-1)).toContain('"fencingToken":6')
  })
})
