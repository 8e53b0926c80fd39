import { connect, type Socket } from 'node:net'
import type { ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { settlementTrailer } from '@buckthorndrift/protocol'
import { respond, FakeEndpoint, endWithSettlement, respondWithProblem } from '../../__tests__/fakeEndpoint.ts'
import { callerHeaders, startTestRouter, type TestRouter, type TestRouterOptions } from '../../__tests__/testRouter.ts'

const chat = { model: 'bot', stream: true, messages: [{ role: 'user', content: 'x' }] }

function beginStream (response: ServerResponse): void {
  response.writeHead(200, { 'content-type': 'text/event-stream', trailer: settlementTrailer })
}

describe('streams between endpoint and caller', () => {
  const opened: FakeEndpoint[] = []
  const slowCallers: Socket[] = []
  let router: TestRouter

  async function start (endpoints: FakeEndpoint[], options: Omit<TestRouterOptions, 'endpoints'> = {}): Promise<void> {
    for (const endpoint of endpoints) opened.push(await endpoint.open())
    router = await startTestRouter({ endpoints, ...options })
  }

  afterEach(async () => {
    // A graceful shutdown waits for these connections.
    for (const socket of slowCallers.splice(0)) socket.destroy()
    await router.stop()
    for (const endpoint of opened.splice(0)) await endpoint.kill()
  })

  function stream (): Promise<Response> {
    return fetch(`${router.url}/v1/chat/completions`, { method: 'POST', headers: callerHeaders(), body: JSON.stringify(chat) })
  }

  describe('reattach', () => {
    const fullBody = 'data: one\n\ndata: two\n\n'

    function continueOnAttach (endpoint: FakeEndpoint): void {
      endpoint.attachScript = (requestId, offset, response) => {
        beginStream(response)
        response.write(fullBody.slice(offset))
        endWithSettlement(response, requestId, { tokens: 2 })
      }
    }

    it('continues a stream whose connection broke, without missing or repeated bytes', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      endpoint.script = ({ response }) => {
        beginStream(response)
        response.write(fullBody.slice(0, 7), () => { setTimeout(() => { response.destroy() }, 20) })
      }
      continueOnAttach(endpoint)
      await start([endpoint])
      expect(await (await stream()).text()).toBe(fullBody)
      expect(endpoint.attachRequests).toEqual([{ requestId: endpoint.received[0]?.call.requestId, offset: 7, incarnation: '1' }])
      expect(router.bills).toMatchObject([{ tokens: 2, outcome: 'completed' }])
    })

    it('continues a stream whose connection went silent', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      endpoint.script = ({ response }) => {
        beginStream(response)
        response.write(fullBody.slice(0, 7))
      }
      continueOnAttach(endpoint)
      await start([endpoint], { settings: { silenceMs: 200 } })
      expect(await (await stream()).text()).toBe(fullBody)
      expect(endpoint.attachRequests).toHaveLength(1)
    })

    it('keeps waiting for a silent stream while 102 responses arrive', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      endpoint.script = async ({ call, response }) => {
        for (let beat = 0; beat < 8; beat++) {
          await delay(250)
          response.writeProcessing()
        }
        beginStream(response)
        response.write(fullBody)
        endWithSettlement(response, call.requestId)
      }
      await start([endpoint], { settings: { silenceMs: 1500 } })
      expect(await (await stream()).text()).toBe(fullBody)
      expect(endpoint.attachRequests).toHaveLength(0)
    })

    it('repeats a non-idempotent call after a broken connection only once the endpoint has responded notRun to an attach', async () => {
      const endpoint = new FakeEndpoint('e1')
      let calls = 0
      endpoint.script = ({ call, response }) => {
        if (++calls === 1) response.destroy()
        else respond(response, call.requestId, 'second')
      }
      await start([endpoint])
      const response = await fetch(`${router.url}/services/desk/bookings`, { method: 'POST', headers: callerHeaders(), body: '{}' })
      expect(await response.text()).toBe('second')
      const ids = endpoint.received.map(received => received.call.requestId)
      expect(endpoint.attachRequests).toEqual([{ requestId: ids[0], offset: 0, incarnation: '1' }])
      expect(ids[1]).not.toBe(ids[0])
    })

    it('discards a response with the id of another request and reattaches, so that no caller gets the response of another one', async () => {
      const endpoint = new FakeEndpoint('e1')
      endpoint.script = ({ response }) => {
        response.setHeader('bd-request-id', 'r9.1.1')
        respond(response, 'r9.1.1', 'foreign')
      }
      endpoint.attachScript = (requestId, _, response) => { respond(response, requestId, 'own') }
      await start([endpoint])
      const response = await fetch(`${router.url}/services/desk/chambers/1`, { headers: callerHeaders() })
      expect(await response.text()).toBe('own')
    })

    it('sends a request to another endpoint when one does not accept requests yet', async () => {
      const closed = new FakeEndpoint('e1')
      closed.script = ({ response }) => {
        response.removeHeader('bd-request-id')
        response.writeHead(503).end()
      }
      await start([closed, new FakeEndpoint('e2')])
      for (let index = 0; index < 6; index++) {
        const response = await fetch(`${router.url}/services/desk/bookings`, { method: 'POST', headers: callerHeaders(), body: '{}' })
        expect(response.status).toBe(200)
      }
      expect(closed.attachRequests).toHaveLength(0)
    })

    it('closes the caller connection before the end of the body when the back end broke off its response', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      endpoint.script = ({ call, response }) => {
        beginStream(response)
        response.write('data: one\n\n')
        endWithSettlement(response, call.requestId, { tokens: 1, outcome: 'failed' })
      }
      await start([endpoint])
      await expect((await stream()).text()).rejects.toThrow()
      expect(router.bills).toMatchObject([{ tokens: 1, outcome: 'failed' }])
      expect(router.observed).toEqual([{ version: 'v1', isSuccess: false }])
    })
  })

  describe('slow callers', () => {
    const chunk = Buffer.alloc(16 * 1024, 'x')
    const chunks = 1000

    /** Opens a caller connection that sends a request and reads nothing of the response. */
    function openSlow (): Promise<Socket> {
      const body = JSON.stringify(chat)
      const socket = connect({ port: Number(new URL(router.url).port), host: '127.0.0.1' })
      slowCallers.push(socket)
      socket.pause()
      socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
      return new Promise(resolve => { socket.once('connect', () => { resolve(socket) }) })
    }

    it('applies back pressure to the endpoint of a slow caller instead of buffering the response, and slows no other caller', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      const sent = new Map<string, number>()
      endpoint.script = async ({ call, response }) => {
        beginStream(response)
        for (let index = 0; index < chunks && !response.destroyed; index++) {
          sent.set(call.requestId, index * chunk.length)
          if (!response.write(chunk)) await new Promise(resolve => { response.once('drain', resolve) })
        }
        endWithSettlement(response, call.requestId)
      }
      await start([endpoint], { settings: { silenceMs: 2000 } })
      await openSlow()
      await expect.poll(() => sent.size).toBe(1)
      const fast = await (await stream()).arrayBuffer()
      expect(fast.byteLength).toBe(chunks * chunk.length)
      // The silence limit has passed for the stream of the slow caller, and the endpoint has sent only what fits into socket buffers.
      await delay(3000)
      const [slowSent = 0] = [...sent.values()]
      expect(slowSent).toBeLessThan(chunks * chunk.length * 0.9)
      expect(endpoint.attachRequests).toHaveLength(0)
    })
  })

  describe('graceful shutdown', () => {
    it('finishes an open stream and accepts no new connection', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      let release: () => void = () => {}
      endpoint.script = ({ call, response }) => {
        beginStream(response)
        response.write('data: one\n\n')
        release = () => {
          response.write('data: two\n\n')
          endWithSettlement(response, call.requestId)
        }
      }
      await start([endpoint])
      const response = await stream()
      const stopping = router.stop()
      await expect.poll(() => fetch(`${router.url}/services/desk/chambers/1`).then(() => 'open', () => 'closed')).toBe('closed')
      release()
      expect(await response.text()).toBe('data: one\n\ndata: two\n\n')
      await stopping
      expect(router.bills).toHaveLength(1)
    })
  })

  describe('hedges', () => {
    it('sends a slow idempotent plain call to a second endpoint as well, and bills it once', async () => {
      const first = new FakeEndpoint('e1')
      const second = new FakeEndpoint('e2')
      let isStuck = false
      first.script = ({ call, response }) => { if (!isStuck) respond(response, call.requestId, 'ok') }
      await start([first, second])
      const read = async (): Promise<string> => (await fetch(`${router.url}/services/desk/chambers/1`, { headers: callerHeaders() })).text()
      for (let index = 0; index < 80; index++) await read()
      isStuck = true
      // Without a hedge, a call at the stuck endpoint would continue only with an attach after the silence limit.
      for (let index = 0; index < 6; index++) expect(await read()).toContain('ok')
      expect(first.attachRequests).toHaveLength(0)
      expect(new Set(router.bills.map(bill => bill.requestId)).size).toBe(86)
      expect(router.settled).toHaveLength(86)
    })
  })

  it('sends no further request to an endpoint that has refused one because it is leaving', async () => {
    const leaving = new FakeEndpoint('e1')
    leaving.script = ({ response }) => { respondWithProblem(response, 'endpointLeaving', 'notRun', 503, { leaving: true }) }
    await start([leaving, new FakeEndpoint('e2')])
    for (let index = 0; index < 10; index++) {
      const response = await fetch(`${router.url}/services/desk/bookings`, { method: 'POST', headers: callerHeaders(), body: '{}' })
      expect(response.status).toBe(200)
    }
    expect(leaving.received.length).toBeLessThanOrEqual(1)
  })
})
