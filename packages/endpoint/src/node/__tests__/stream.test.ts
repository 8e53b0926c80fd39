import type { ServerResponse } from 'node:http'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import type { Endpoint } from '../../index.ts'
import { attach, authorization, createCall, createControlClient, FakePlatform, startFakeRouter, listen, createRouterMember, send, startTestEndpoint, waitUntil, type TestServer } from './fixtures.ts'

const createEvent = (index: number, filler = ''): string => `data: {"i":${index},"f":"${filler}"}\n\n`
const createModelCall = () => createCall({ route: 'POST /v1/chat/completions', priceTokens: undefined })

describe('streams from a model engine', () => {
  let engine: TestServer
  let endpoint: Endpoint
  let platform: FakePlatform
  let streams: Map<string, ServerResponse>
  let controlCalls: string[]
  let bodies: Map<string, string>

  beforeEach(async () => {
    streams = new Map()
    controlCalls = []
    bodies = new Map()
    engine = await listen((incoming, response) => {
      const id = String(incoming.headers['x-request-id'])
      let body = ''
      incoming.on('data', part => { body += part })
      incoming.on('end', () => {
        if (incoming.url?.startsWith('/requests/') || incoming.url === '/orders') {
          controlCalls.push(`${incoming.url} ${body}`)
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

  async function waitForStream (id: string): Promise<ServerResponse> {
    await waitUntil(() => streams.has(id))
    return streams.get(id)!
  }

  it('counts events as tokens unless the engine reports usage', async () => {
    await start()
    const counted = createModelCall()
    const sending = send(endpoint, counted, { body: '12345678' })
    const stream = await waitForStream(counted.requestId)
    stream.write(createEvent(0))
    stream.write(createEvent(1).slice(0, 5))
    stream.write(createEvent(1).slice(5))
    stream.end('data: [DONE]\n\n')
    expect((await sending).settlement).toEqual({ requestId: counted.requestId, tokens: 4, outcome: 'completed' })

    const reported = createModelCall()
    const second = send(endpoint, reported);
    (await waitForStream(reported.requestId)).end(createEvent(0) + 'data: {"usage":{"prompt_tokens":30,"completion_tokens":9}}\n\ndata: [DONE]\n\n')
    expect((await second).settlement?.tokens).toBe(39)
  })

  it('sends every reader the same bytes at the same offsets, including heartbeats, even while the request runs', async () => {
    await start()
    const call = { ...createModelCall(), keyHash: 'a'.repeat(64) }
    const abort = new AbortController()
    const first = send(endpoint, call, { signal: abort.signal })
    const stream = await waitForStream(call.requestId)
    stream.write(createEvent(0))
    await new Promise(resolve => { setTimeout(resolve, 150) })
    abort.abort()
    await expect(first).rejects.toThrow()
    const whole = attach(endpoint, call.requestId)
    const rest = attach(endpoint, call.requestId, 7)
    await new Promise(resolve => { setTimeout(resolve, 50) })
    stream.end(createEvent(1))
    expect((await whole).body.replaceAll(/^:\n/gm, '')).toBe(createEvent(0) + createEvent(1))
    expect((await whole).body, 'heartbeats are sent while the engine is silent').toContain('\n:\n')
    expect((await rest).body).toBe((await whole).body.slice(7))
    expect((await attach(endpoint, call.requestId)).body).toBe((await whole).body)
  })

  it('never inserts a heartbeat in the middle of a line', async () => {
    await start()
    const call = createModelCall()
    const sending = send(endpoint, call)
    const stream = await waitForStream(call.requestId)
    stream.write('data: {"ha')
    await new Promise(resolve => { setTimeout(resolve, 150) })
    stream.end('lf":1}\n\n')
    expect((await sending).body).toBe('data: {"half":1}\n\n')
  })

  it('pauses and later resumes the engine for a slow reader without slowing other readers', async () => {
    await start({ streamLimitBytes: 65_536 })
    const slow = createModelCall()
    const fast = createModelCall()
    const sending = request(endpoint.self.controlUrl + '/x', {
      method: 'POST', headers: { ...authorization, 'bd-call': JSON.stringify(slow) }, body: '{}', highWaterMark: 1024
    })
    const stream = await waitForStream(slow.requestId)
    let written = 0
    const write = (): void => {
      while (!stream.destroyed && written < 20_000_000) {
        written += 4000
        if (!stream.write(createEvent(written, 'x'.repeat(3980)))) { stream.once('drain', write); return }
      }
      stream.end()
    }
    write()
    await waitUntil(() => controlCalls.some(text => text.includes('pause')))
    const other = send(endpoint, fast);
    (await waitForStream(fast.requestId)).end(createEvent(0).repeat(1000))
    expect((await other).body).toHaveLength(createEvent(0).length * 1000)
    expect(endpoint.dispatcher.memoryUsage().unreadBytes).toBeLessThan(2 * 65_536)
    const received = await sending
    for await (const part of received.body) void part
    expect(controlCalls.at(-1)).toContain('resume')
  })

  it('cancels a request at the engine after the router disconnects, unless the request has an idempotency key', async () => {
    await start()
    const calls = [createModelCall(), { ...createModelCall(), keyHash: 'b'.repeat(64) }] as const
    for (const call of calls) {
      const abort = new AbortController()
      const sending = send(endpoint, call, { signal: abort.signal })
      await waitForStream(call.requestId)
      abort.abort()
      await expect(sending).rejects.toThrow()
    }
    await waitUntil(() => controlCalls.length > 0)
    await new Promise(resolve => { setTimeout(resolve, 100) })
    expect(controlCalls).toEqual([`/requests/${calls[0].requestId}/cancel {}`])
    expect(endpoint.dispatcher.load().inFlight).toBe(1)
    expect(endpoint.dispatcher.records.listDue(1e12, 0, 10)).toMatchObject([{ requestId: calls[0].requestId, outcome: 'cancelled' }])
  })

  it('settles running requests as failed and refuses queued ones with notRun when the engine crashes, and reports the crash', async () => {
    const reports: unknown[] = []
    const router = await startFakeRouter({ evidence: { reportCrash: async report => { reports.push(report) } } })
    platform.members.push(createRouterMember('r1', router.url))
    await start({ backEndLimit: 2 })
    const calls = [createModelCall(), createModelCall(), createModelCall()]
    const sending = calls.slice(0, 2).map(call => send(endpoint, call))
    for (const call of calls.slice(0, 2)) await waitForStream(call.requestId)
    const queued = send(endpoint, calls[2]!)
    await waitUntil(() => endpoint.dispatcher.load().queued === 1)
    const { port } = engine.server.address() as { port: number }
    await engine.close()
    const received = await Promise.all([...sending, queued])
    expect(received.slice(0, 2).map(one => one.settlement?.outcome)).toEqual(['failed', 'failed'])
    expect([received[2]!.status, received[2]!.headers['bd-verdict']]).toEqual([502, 'notRun'])
    expect(endpoint.dispatcher.load().healthy).toBe(false)
    expect(await send(endpoint, createModelCall())).toMatchObject({ status: 502, headers: { 'bd-verdict': 'notRun' } })
    await waitUntil(() => reports.length === 1)
    expect(reports).toMatchObject([{ crash: 0, contentHashes: calls.slice(0, 2).map(call => call.contentHash) }])
    engine.server.listen(port, '127.0.0.1')
    await waitUntil(() => endpoint.dispatcher.load().healthy)
    await router.close()
  })

  it('refuses an order with a stale fencing token instead of leaving that to the engine, because some engines ignore fencing tokens', async () => {
    await start()
    const control = createControlClient(endpoint)
    const order = { kind: 'loadModel' as const, model: 'm' }
    const outcomes = await Promise.all([5, 4, 6].map(fencingToken => control.lifecycle.order.mutate({ fencingToken, order })))
    expect(outcomes.map(({ kind }) => kind)).not.toContain('failed')
    expect(await control.lifecycle.order.mutate({ fencingToken: 5, order })).toEqual({ kind: 'stale', fencingToken: 6 })
    expect(controlCalls.filter(text => text.includes('"fencingToken":5')).length).toBeLessThanOrEqual(1)
    expect(controlCalls.at(-1)).toContain('"fencingToken":6')
  })
})
