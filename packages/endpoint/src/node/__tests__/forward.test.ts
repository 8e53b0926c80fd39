import type { IncomingMessage, ServerResponse } from 'node:http'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import type { Endpoint } from '../../index.ts'
import { attach, authorization, callOf, FakePlatform, listen, send, startTestEndpoint, until, type TestServer } from './fixtures.ts'

describe('calls through the gate', () => {
  let backEnd: TestServer
  let endpoint: Endpoint
  let platform: FakePlatform
  let ran: string[]
  let handle: (request: IncomingMessage, response: ServerResponse, body: string) => void

  beforeEach(async () => {
    ran = []
    handle = (_request, response, body) => { response.writeHead(201, { 'content-type': 'application/json' }).end(body) }
    backEnd = await listen((incoming, response) => {
      let body = ''
      incoming.on('data', part => { body += part })
      incoming.on('end', () => {
        if (incoming.url !== '/health') ran.push(String(incoming.headers['x-request-id']))
        handle(incoming, response, body)
      })
    })
    platform = new FakePlatform()
    endpoint = await startTestEndpoint(platform, { backEndUrl: backEnd.url })
  })

  afterEach(async () => {
    await endpoint.kernel.stop()
    await backEnd.close()
  })

  it('forwards method, path and body, and sends load and settlement', async () => {
    let seen: IncomingMessage | undefined
    handle = (incoming, response, body) => { seen = incoming; response.writeHead(201).end(body) }
    const received = await send(endpoint, callOf(), { path: '/bookings?day=1', body: '{"a":1}' })
    expect(received).toMatchObject({ status: 201, body: '{"a":1}', settlement: { tokens: 20, outcome: 'completed' } })
    expect(JSON.parse(received.headers['bd-load'] as string)).toMatchObject({ limit: 8, leaving: false, healthy: true })
    expect(seen?.url).toBe('/bookings?day=1')
    expect(seen?.headers.authorization, 'the back end must not see the fleet secret').toBeUndefined()
  })

  it('refuses processes without the fleet secret, so that nobody bypasses the routers', async () => {
    const response = await request(endpoint.self.controlUrl + '/bookings', { method: 'POST', headers: { 'bd-call': JSON.stringify(callOf()) } })
    expect(response.statusCode).toBe(401)
    expect(ran).toEqual([])
  })

  it('refuses a malformed call header instead of guessing', async () => {
    const response = await request(endpoint.self.controlUrl + '/bookings', { method: 'POST', headers: { ...authorization, 'bd-call': '{' } })
    expect(response.statusCode).toBe(400)
    expect(response.headers['bd-verdict']).toBe('notRun')
  })

  it('sends the settlement as a header when the status has no body and so no trailers', async () => {
    handle = (_request, response) => { response.writeHead(204).end() }
    expect(await send(endpoint, callOf())).toMatchObject({ status: 204, settlement: { tokens: 20, outcome: 'completed' } })
  })

  it('runs a request id once, however often it arrives, and answers all copies alike', async () => {
    const call = callOf()
    const [first, second] = await Promise.all([send(endpoint, call), send(endpoint, call)])
    const third = await send(endpoint, call)
    expect([first.body, second.body, third.body]).toEqual(['{}', '{}', '{}'])
    expect(ran).toEqual([call.requestId])
  })

  it('records an unknown id at attach as refused, so that a delayed first copy does not run', async () => {
    const call = callOf()
    expect(await attach(endpoint, call.requestId)).toMatchObject({ status: 502, headers: { 'bd-verdict': 'notRun' } })
    expect(await send(endpoint, call)).toMatchObject({ status: 502, headers: { 'bd-verdict': 'notRun' } })
    expect(ran).toEqual([])
  })

  it('says mayHaveRun of an unknown id that was sent to an earlier life at the same address', async () => {
    expect(await attach(endpoint, callOf().requestId, 0, 'earlier')).toMatchObject({ status: 502, headers: { 'bd-verdict': 'mayHaveRun' } })
  })

  it('never runs a request whose body did not arrive completely', async () => {
    const abort = new AbortController()
    const call = callOf()
    const body = new ReadableStream({ start (controller) { controller.enqueue(Buffer.from('{"half":')) } })
    const sending = request(endpoint.self.controlUrl + '/bookings', {
      method: 'POST', headers: { ...authorization, 'bd-call': JSON.stringify(call) }, body: body as never, signal: abort.signal
    })
    setTimeout(() => { abort.abort() }, 30)
    await expect(sending).rejects.toThrow()
    expect(await attach(endpoint, call.requestId)).toMatchObject({ headers: { 'bd-verdict': 'notRun' } })
    expect(ran).toEqual([])
  })

  it('sends 102 heartbeats while the back end is silent, so that routers can tell it from a dead connection', async () => {
    handle = (_request, response) => { setTimeout(() => { response.end('late') }, 200) }
    const received = await send(endpoint, callOf())
    expect(received.body).toBe('late')
    expect(received.heartbeats).toBeGreaterThan(1)
  })

  it('keeps the answer when the router disconnects', async () => {
    handle = (_request, response) => { setTimeout(() => { response.end('kept') }, 100) }
    const call = callOf()
    const abort = new AbortController()
    const sending = send(endpoint, call, { signal: abort.signal })
    await until(() => ran.length === 1)
    abort.abort()
    await expect(sending).rejects.toThrow()
    expect(await attach(endpoint, call.requestId)).toMatchObject({ body: 'kept', settlement: { outcome: 'completed' } })
    expect(await attach(endpoint, call.requestId, 2)).toMatchObject({ body: 'pt' })
  })

  it('says mayHaveRun for a request whose back end breaks off, and notRun when it cannot be reached', async () => {
    handle = (incoming) => { incoming.socket.destroy() }
    expect(await send(endpoint, callOf())).toMatchObject({ status: 502, headers: { 'bd-verdict': 'mayHaveRun' } })
    await until(() => endpoint.gate.load().healthy)
    await backEnd.close()
    expect(await send(endpoint, callOf())).toMatchObject({ status: 502, headers: { 'bd-verdict': 'notRun' } })
  })

  it('registers first, reads the fences second, and refuses calls until both are done', async () => {
    expect(platform.steps.slice(0, 2)).toEqual(['register', 'read fences'])
    platform.isDown = true
    const other = await startTestEndpoint(platform, { backEndUrl: backEnd.url, id: 'e2' })
    expect(await send(other, callOf())).toMatchObject({ status: 503, headers: { 'bd-verdict': 'notRun' } })
    await other.kernel.stop()
  })
})
