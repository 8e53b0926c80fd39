import { afterEach, describe, expect, it } from 'vitest'
import { respond, FakeEndpoint, endWithSettlement, respondWithProblem } from '../../__tests__/fakeEndpoint.ts'
import { callerHeaders, startTestRouter, type TestRouter, type TestRouterOptions } from '../../__tests__/testRouter.ts'

describe('caller path', () => {
  const opened: FakeEndpoint[] = []
  let router: TestRouter

  async function start (endpoints: FakeEndpoint[], options: Omit<TestRouterOptions, 'endpoints'> = {}): Promise<void> {
    for (const endpoint of endpoints) opened.push(await endpoint.open())
    router = await startTestRouter({ endpoints, ...options })
  }

  afterEach(async () => {
    await router.stop()
    for (const endpoint of opened.splice(0)) await endpoint.kill()
  })

  function get (path: string, headers: Record<string, string> = {}): Promise<Response> {
    return fetch(`${router.url}${path}`, { headers: callerHeaders(headers) })
  }

  function post (path: string, body: unknown, headers: Record<string, string> = {}): Promise<Response> {
    return fetch(`${router.url}${path}`, { method: 'POST', headers: callerHeaders(headers), body: JSON.stringify(body) })
  }

  describe('plain calls', () => {
    it('forwards the call with its price and passes the answer on', async () => {
      const endpoint = new FakeEndpoint('e1')
      await start([endpoint])
      const response = await post('/services/desk/bookings?day=1', { room: 7 })
      expect(response.status).toBe(200)
      expect(await response.json()).toEqual({ ok: true })
      const [received] = endpoint.received
      expect(received?.request.url).toBe('/bookings?day=1')
      expect(received?.body).toBe('{"room":7}')
      expect(received?.call).toMatchObject({ route: 'POST /bookings', idempotent: false, priceTokens: 20, organisation: 'org', version: 'v1' })
      expect(received?.request.headers.authorization).toBe('Bearer secret')
      expect(received?.request.headers['traceparent']).toBeDefined()
    })

    it('bills and settles before the answer ends, so that a caller never has an unbilled answer', async () => {
      const endpoint = new FakeEndpoint('e1')
      await start([endpoint])
      await (await post('/services/desk/bookings', {})).text()
      expect(router.bills).toMatchObject([{ tokens: 5, outcome: 'completed', endpointId: 'e1', requestId: endpoint.received[0]?.call.requestId }])
      expect(router.settled).toEqual([{ seq: 1, tokens: 5 }])
    })

    it('answers 502 with the verdict when a call that may not be repeated loses its endpoint', async () => {
      const endpoint = new FakeEndpoint('e1')
      endpoint.script = async () => { await endpoint.kill() }
      await start([endpoint, new FakeEndpoint('e2', { leaving: true })])
      const response = await post('/services/desk/bookings', {})
      expect(response.status).toBe(502)
      expect(response.headers.get('bd-verdict')).toBe('mayHaveRun')
      expect(router.settled).toEqual([{ seq: 1, tokens: 20 }])
      expect(router.bills).toMatchObject([{ outcome: 'lost', tokens: 20 }])
    })
  })

  describe('model calls', () => {
    it('reserves the bounded cost, passes on the output limit and relays the stream', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      endpoint.script = ({ call, response }) => {
        response.writeHead(200, { 'content-type': 'text/event-stream', trailer: 'bd-settlement' })
        response.write('data: 1\n\n')
        response.write('data: [DONE]\n\n')
        endWithSettlement(response, call.requestId, { tokens: 9 })
      }
      await start([endpoint])
      const response = await post('/v1/chat/completions', { model: 'bot', stream: true, max_tokens: 5000, messages: [{ role: 'user', content: 'hello' }] })
      expect(await response.text()).toBe('data: 1\n\ndata: [DONE]\n\n')
      const [received] = endpoint.received
      expect(JSON.parse(received?.body ?? '')).toMatchObject({ max_tokens: 100, stream: true })
      expect(received?.call.reservation.tokens).toBe((received?.body.length ?? 0) + 100)
      expect(router.settled).toEqual([{ seq: 1, tokens: 9 }])
    })

    it('tells the engine the priority that the header asks for, which leaves the content the same', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      await start([endpoint])
      const body = { model: 'bot', priority: -9, messages: [{ role: 'user', content: 'hello' }] }
      await (await post('/v1/chat/completions', body)).text()
      await (await post('/v1/chat/completions', body, { 'x-priority': 'batch' })).text()
      const { received } = endpoint
      expect(received.map(one => (JSON.parse(one.body) as { priority: number }).priority)).toEqual([0, 1])
      expect(new Set(received.map(one => one.call.contentHash)).size).toBe(1)
    })

    it('refuses content whose tokens cannot be bounded, which could exceed the budget', async () => {
      await start([new FakeEndpoint('e1', { service: 'bot' })])
      const image = { type: 'image_url', image_url: { url: 'http://x' } }
      const response = await post('/v1/chat/completions', { model: 'bot', messages: [{ role: 'user', content: [image] }] })
      expect(response.status).toBe(400)
    })

    it('ends a broken stream without its last chunk, so that a part never looks whole', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      endpoint.script = async ({ response }) => {
        response.writeHead(200, { 'content-type': 'text/event-stream' })
        response.write('data: 1\n\n', () => { endpoint.kill() })
      }
      await start([endpoint])
      const response = await post('/v1/chat/completions', { model: 'bot', stream: true, messages: [{ role: 'user', content: 'x' }] })
      await expect(response.text()).rejects.toThrow()
      expect(router.bills).toMatchObject([{ outcome: 'lost' }])
    })
  })

  describe('refusals', () => {
    it.each([
      ['no key', '/services/desk/chambers/1', { authorization: '' }, 401, 'unauthenticated'],
      ['unknown service', '/services/nothing/x', {}, 404, 'unknownService'],
      ['unlisted call', '/services/desk/other', {}, 404, 'unknownCall'],
      ['unknown path', '/other', {}, 404, 'unknownCall'],
      ['bad deadline', '/services/desk/chambers/1', { 'x-deadline-ms': 'soon' }, 400, 'badRequest'],
      ['bad priority', '/services/desk/chambers/1', { 'x-priority': 'first' }, 400, 'badRequest']
    ])('names reason, verdict and refusal id: %s', async (_, path, headers, status, reason) => {
      await start([new FakeEndpoint('e1')])
      const response = await get(path, headers)
      expect(response.status).toBe(status)
      expect(response.headers.get('content-type')).toBe('application/problem+json')
      expect(await response.json()).toMatchObject({ reason, verdict: 'notRun', requestId: 'account.1', status })
      expect(router.refusals).toMatchObject([{ reason, verdict: 'notRun' }])
    })

    it('passes on what the budget service says, and forwards nothing', async () => {
      const endpoint = new FakeEndpoint('e1')
      await start([endpoint])
      router.budgetFailure = { verdict: { kind: 'notRun' }, reason: 'budgetExhausted', detail: 'empty', retryAfterMs: 1500 }
      const response = await get('/services/desk/chambers/1')
      expect(response.status).toBe(402)
      expect(response.headers.get('retry-after')).toBe('2')
      expect(endpoint.received).toHaveLength(0)
    })

    it('refuses while records are full, before anything is reserved', async () => {
      await start([new FakeEndpoint('e1')])
      router.canAdmit = false
      expect((await get('/services/desk/chambers/1')).status).toBe(503)
      expect(router.settled).toHaveLength(0)
    })

    it('refuses requests above its bounds before it reads them, so that slow callers cannot fill its memory', async () => {
      const slow = new FakeEndpoint('e1')
      const waiting: (() => void)[] = []
      slow.script = ({ call, response }) => { waiting.push(() => { respond(response, call.requestId, 'ok') }) }
      await start([slow], { settings: { maxOpenRequests: 1 } })
      const first = get('/services/desk/chambers/1')
      await expect.poll(() => waiting.length).toBe(1)
      expect((await get('/services/desk/chambers/2')).status).toBe(429)
      waiting[0]?.()
      expect((await first).status).toBe(200)
    })

    it('refuses a body above the limit and keeps the connection usable', async () => {
      await start([new FakeEndpoint('e1')], { settings: { maxBodyBytes: 100 } })
      expect((await post('/services/desk/bookings', { text: 'x'.repeat(200) })).status).toBe(413)
      expect((await get('/services/desk/chambers/1')).status).toBe(200)
    })
  })

  describe('retries', () => {
    it('sends a call that was refused as not run to another endpoint, under a new id', async () => {
      const full = new FakeEndpoint('e1')
      const free = new FakeEndpoint('e2')
      full.script = ({ response }) => { respondWithProblem(response, 'endpointFull', 'notRun', 429) }
      await start([full, free])
      for (let index = 0; index < 10; index++) expect((await post('/services/desk/bookings', {})).status).toBe(200)
      expect(full.received.length).toBeLessThanOrEqual(2)
      expect(router.bills).toHaveLength(10)
    })

    it('repeats an idempotent call whose endpoint died', async () => {
      const dying = new FakeEndpoint('e1')
      const free = new FakeEndpoint('e2')
      dying.script = async () => { await dying.kill() }
      await start([dying, free])
      for (let index = 0; index < 4; index++) expect((await get(`/services/desk/chambers/${index}`)).status).toBe(200)
      expect(router.bills).toHaveLength(4)
    })

    it('never repeats a call that may have run and may not be repeated', async () => {
      const failing = new FakeEndpoint('e1')
      failing.script = ({ response }) => { respondWithProblem(response, 'backEndFailed', 'mayHaveRun', 502) }
      await start([failing])
      expect((await post('/services/desk/bookings', {})).headers.get('bd-verdict')).toBe('mayHaveRun')
      expect(failing.received).toHaveLength(1)
    })
  })

  describe('deadline and callers that go', () => {
    it('answers at the deadline at once and settles later at the real cost', async () => {
      const slow = new FakeEndpoint('e1')
      slow.script = () => {}
      slow.attachScript = (requestId, _, response) => { respond(response, requestId, 'late', { tokens: 3, outcome: 'cancelled' }) }
      await start([slow])
      const response = await post('/services/desk/bookings', {}, { 'x-deadline-ms': '100' })
      expect(response.status).toBe(504)
      expect(response.headers.get('bd-verdict')).toBe('mayHaveRun')
      await expect.poll(() => router.settled).toEqual([{ seq: 1, tokens: 3 }])
      expect(slow.abandonedRequestIds).toEqual([slow.received[0]?.call.requestId])
    })

    it('abandons the request of a caller that closed its connection', async () => {
      const slow = new FakeEndpoint('e1')
      slow.script = () => {}
      slow.attachScript = (_, _offset, response) => { respondWithProblem(response, 'endpointLost', 'notRun') }
      await start([slow])
      const controller = new AbortController()
      const call = fetch(`${router.url}/services/desk/chambers/1`, { headers: callerHeaders(), signal: controller.signal })
      await expect.poll(() => slow.received.length).toBe(1)
      controller.abort()
      await expect(call).rejects.toThrow()
      await expect.poll(() => slow.abandonedRequestIds.length).toBe(1)
      await expect.poll(() => router.settled).toEqual([{ seq: 1, tokens: 0 }])
    })
  })
})
