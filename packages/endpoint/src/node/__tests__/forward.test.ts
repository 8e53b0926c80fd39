import type { IncomingMessage, ServerResponse } from 'node:http'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import type { Endpoint } from '../../index.ts'
import { attach, authorization, createCall, FakePlatform, listen, send, startTestEndpoint, waitUntil, type TestServer } from './fixtures.ts'

describe('forwarding calls to the back end', () => {
  let backEnd: TestServer
  let endpoint: Endpoint
  let platform: FakePlatform
  let receivedRequestIds: string[]
  let handleRequest: (request: IncomingMessage, response: ServerResponse, body: string) => void

  beforeEach(async () => {
    receivedRequestIds = []
    handleRequest = (_request, response, body) => { response.writeHead(201, { 'content-type': 'application/json' }).end(body) }
    backEnd = await listen((incoming, response) => {
      let body = ''
      incoming.on('data', part => { body += part })
      incoming.on('end', () => {
        if (incoming.url !== '/health') receivedRequestIds.push(String(incoming.headers['x-request-id']))
        handleRequest(incoming, response, body)
      })
    })
    platform = new FakePlatform()
    endpoint = await startTestEndpoint(platform, { backEndUrl: backEnd.url })
  })

  afterEach(async () => {
    await endpoint.kernel.stop()
    await backEnd.close()
  })

  it('forwards path and body but not the fleet secret, and returns load and settlement', async () => {
    let seen: IncomingMessage | undefined
    handleRequest = (incoming, response, body) => { seen = incoming; response.writeHead(201).end(body) }
    const received = await send(endpoint, createCall(), { path: '/bookings?day=1', body: '{"a":1}' })
    expect(received).toMatchObject({ status: 201, body: '{"a":1}', settlement: { tokens: 20, outcome: 'completed' } })
    expect(JSON.parse(received.headers['bd-load'] as string)).toMatchObject({ limit: 8, leaving: false, healthy: true })
    expect(seen?.url).toBe('/bookings?day=1')
    expect(seen?.headers.authorization, 'the back end must not see the fleet secret').toBeUndefined()
  })

  it('refuses requests without the fleet secret, so that callers cannot bypass the routers', async () => {
    const response = await request(endpoint.self.controlUrl + '/bookings', { method: 'POST', headers: { 'bd-call': JSON.stringify(createCall()) } })
    expect(response.statusCode).toBe(401)
    expect(receivedRequestIds).toEqual([])
  })

  it('refuses a call whose bd-call header is malformed', async () => {
    const response = await request(endpoint.self.controlUrl + '/bookings', { method: 'POST', headers: { ...authorization, 'bd-call': '{' } })
    expect(response.statusCode).toBe(400)
    expect(response.headers['bd-verdict']).toBe('notRun')
  })

  it('sends the settlement as a header if the response has no body and therefore no trailers', async () => {
    handleRequest = (_request, response) => { response.writeHead(204).end() }
    expect(await send(endpoint, createCall())).toMatchObject({ status: 204, settlement: { tokens: 20, outcome: 'completed' } })
  })

  it('runs a request id once, however often it arrives, and sends the same response to all copies', async () => {
    const call = createCall()
    const [first, second] = await Promise.all([send(endpoint, call), send(endpoint, call)])
    const third = await send(endpoint, call)
    expect([first.body, second.body, third.body]).toEqual(['{}', '{}', '{}'])
    expect(receivedRequestIds).toEqual([call.requestId])
  })

  it('registers an unknown request id as refused when a router attaches to it, so that a delayed call with this id does not run', async () => {
    const call = createCall()
    expect(await attach(endpoint, call.requestId)).toMatchObject({ status: 502, headers: { 'bd-verdict': 'notRun' } })
    expect(await send(endpoint, call)).toMatchObject({ status: 502, headers: { 'bd-verdict': 'notRun' } })
    expect(receivedRequestIds).toEqual([])
  })

  it('reports mayHaveRun when a router attaches to an unknown request id that was sent to an earlier incarnation at the same address', async () => {
    expect(await attach(endpoint, createCall().requestId, 0, 'earlier')).toMatchObject({ status: 502, headers: { 'bd-verdict': 'mayHaveRun' } })
  })

  it('never runs a request whose body did not arrive completely', async () => {
    const abort = new AbortController()
    const call = createCall()
    const body = new ReadableStream({ start (controller) { controller.enqueue(Buffer.from('{"half":')) } })
    const sending = request(endpoint.self.controlUrl + '/bookings', {
      method: 'POST', headers: { ...authorization, 'bd-call': JSON.stringify(call) }, body: body as never, signal: abort.signal
    })
    setTimeout(() => { abort.abort() }, 30)
    await expect(sending).rejects.toThrow()
    expect(await attach(endpoint, call.requestId)).toMatchObject({ headers: { 'bd-verdict': 'notRun' } })
    expect(receivedRequestIds).toEqual([])
  })

  it('sends 102 heartbeats while the back end is silent, so that routers do not treat the connection as dead', async () => {
    handleRequest = (_request, response) => { setTimeout(() => { response.end('late') }, 200) }
    const received = await send(endpoint, createCall())
    expect(received.body).toBe('late')
    expect(received.heartbeats).toBeGreaterThan(1)
  })

  it('keeps the response for a router that reattaches after a disconnect', async () => {
    handleRequest = (_request, response) => { setTimeout(() => { response.end('kept') }, 100) }
    const call = createCall()
    const abort = new AbortController()
    const sending = send(endpoint, call, { signal: abort.signal })
    await waitUntil(() => receivedRequestIds.length === 1)
    abort.abort()
    await expect(sending).rejects.toThrow()
    expect(await attach(endpoint, call.requestId)).toMatchObject({ body: 'kept', settlement: { outcome: 'completed' } })
    expect(await attach(endpoint, call.requestId, 2)).toMatchObject({ body: 'pt' })
  })

  it('reports mayHaveRun if the back end closes the connection, and notRun if it cannot be reached', async () => {
    handleRequest = (incoming) => { incoming.socket.destroy() }
    expect(await send(endpoint, createCall())).toMatchObject({ status: 502, headers: { 'bd-verdict': 'mayHaveRun' } })
    await waitUntil(() => endpoint.dispatcher.load().healthy)
    await backEnd.close()
    expect(await send(endpoint, createCall())).toMatchObject({ status: 502, headers: { 'bd-verdict': 'notRun' } })
  })

  it('registers the process before it reads the list of fenced holders, and refuses calls until the list is read', async () => {
    expect(platform.operations.slice(0, 2)).toEqual(['register', 'read fences'])
    platform.isDown = true
    const other = await startTestEndpoint(platform, { backEndUrl: backEnd.url, id: 'e2' })
    expect(await send(other, createCall())).toMatchObject({ status: 503, headers: { 'bd-verdict': 'notRun' } })
    await other.kernel.stop()
  })
})
