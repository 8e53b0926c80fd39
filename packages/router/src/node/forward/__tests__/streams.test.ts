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
  let rig: TestRouter

  async function start (endpoints: FakeEndpoint[], options: Omit<TestRouterOptions, 'endpoints'> = {}): Promise<void> {
    for (const endpoint of endpoints) opened.push(await endpoint.open())
    rig = await startTestRouter({ endpoints, ...options })
  }

  afterEach(async () => {
    // A graceful shutdown waits for them.
    for (const socket of slowCallers.splice(0)) socket.destroy()
    await rig.stop()
    for (const endpoint of opened.splice(0)) await endpoint.kill()
  })

  function stream (): Promise<Response> {
    return fetch(`${rig.url}/v1/chat/completions`, { method: 'POST', headers: callerHeaders(), body: JSON.stringify(chat) })
  }

  describe('re-attach', () => {
    const whole = 'data: one\n\ndata: two\n\n'

    function resumeAt (endpoint: FakeEndpoint): void {
      endpoint.attachScript = (requestId, offset, response) => {
        beginStream(response)
        response.write(whole.slice(offset))
        endWithSettlement(response, requestId, { tokens: 2 })
      }
    }

    it('continues a stream whose connection broke, without a gap or a repeat', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      endpoint.script = ({ response }) => {
        beginStream(response)
        response.write(whole.slice(0, 7), () => { setTimeout(() => { response.destroy() }, 20) })
      }
      resumeAt(endpoint)
      await start([endpoint])
      expect(await (await stream()).text()).toBe(whole)
      expect(endpoint.attachRequests).toEqual([{ requestId: endpoint.received[0]?.call.requestId, offset: 7, incarnation: '1' }])
      expect(rig.bills).toMatchObject([{ tokens: 2, outcome: 'completed' }])
    })

    it('continues a stream whose connection went silent', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      endpoint.script = ({ response }) => {
        beginStream(response)
        response.write(whole.slice(0, 7))
      }
      resumeAt(endpoint)
      await start([endpoint], { settings: { silenceMs: 200 } })
      expect(await (await stream()).text()).toBe(whole)
      expect(endpoint.attachRequests).toHaveLength(1)
    })

    it('waits on for a silent stream while 102 responses arrive', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      endpoint.script = async ({ call, response }) => {
        for (let beat = 0; beat < 8; beat++) {
          await delay(250)
          response.writeProcessing()
        }
        beginStream(response)
        response.write(whole)
        endWithSettlement(response, call.requestId)
      }
      await start([endpoint], { settings: { silenceMs: 1500 } })
      expect(await (await stream()).text()).toBe(whole)
      expect(endpoint.attachRequests).toHaveLength(0)
    })

    it('repeats no call that the endpoint may still hold: it is told "not run" first', async () => {
      const endpoint = new FakeEndpoint('e1')
      let calls = 0
      endpoint.script = ({ call, response }) => {
        if (++calls === 1) response.destroy()
        else respond(response, call.requestId, 'second')
      }
      await start([endpoint])
      const response = await fetch(`${rig.url}/services/desk/bookings`, { method: 'POST', headers: callerHeaders(), body: '{}' })
      expect(await response.text()).toBe('second')
      const ids = endpoint.received.map(received => received.call.requestId)
      expect(endpoint.attachRequests).toEqual([{ requestId: ids[0], offset: 0, incarnation: '1' }])
      expect(ids[1]).not.toBe(ids[0])
    })

    it('takes an answer that names another request for none, so that nobody gets a foreign answer', async () => {
      const endpoint = new FakeEndpoint('e1')
      endpoint.script = ({ response }) => {
        response.setHeader('bd-request-id', 'r9.1.1')
        respond(response, 'r9.1.1', 'foreign')
      }
      endpoint.attachScript = (requestId, _, response) => { respond(response, requestId, 'own') }
      await start([endpoint])
      const response = await fetch(`${rig.url}/services/desk/chambers/1`, { headers: callerHeaders() })
      expect(await response.text()).toBe('own')
    })

    it('goes on to another endpoint when one has not opened its gate yet', async () => {
      const closed = new FakeEndpoint('e1')
      closed.script = ({ response }) => {
        response.removeHeader('bd-request-id')
        response.writeHead(503).end()
      }
      await start([closed, new FakeEndpoint('e2')])
      for (let index = 0; index < 6; index++) {
        const response = await fetch(`${rig.url}/services/desk/bookings`, { method: 'POST', headers: callerHeaders(), body: '{}' })
        expect(response.status).toBe(200)
      }
      expect(closed.attachRequests).toHaveLength(0)
    })

    it('does not let an answer look whole that the back end broke off', async () => {
      const endpoint = new FakeEndpoint('e1', { service: 'bot' })
      endpoint.script = ({ call, response }) => {
        beginStream(response)
        response.write('data: one\n\n')
        endWithSettlement(response, call.requestId, { tokens: 1, outcome: 'failed' })
      }
      await start([endpoint])
      await expect((await stream()).text()).rejects.toThrow()
      expect(rig.bills).toMatchObject([{ tokens: 1, outcome: 'failed' }])
      expect(rig.observed).toEqual([{ version: 'v1', isSuccess: false }])
    })
  })

  describe('slow callers', () => {
    const chunk = Buffer.alloc(16 * 1024, 'x')
    const chunks = 1000

    /** A caller that sends its request and reads nothing. */
    function openSlow (): Promise<Socket> {
      const body = JSON.stringify(chat)
      const socket = connect({ port: Number(new URL(rig.url).port), host: '127.0.0.1' })
      slowCallers.push(socket)
      socket.pause()
      socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
      return new Promise(resolve => { socket.once('connect', () => { resolve(socket) }) })
    }

    it('stops the endpoint instead of keeping the answer, and slows no other caller', async () => {
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
      // Only what sockets hold has left the endpoint for the slow caller; the silence limit has passed for its stream.
      await delay(3000)
      const [slowSent = 0] = [...sent.values()]
      expect(slowSent).toBeLessThan(chunks * chunk.length * 0.9)
      expect(endpoint.attachRequests).toHaveLength(0)
    })
  })

  describe('graceful shutdown', () => {
    it('finishes an open stream and takes no new connection', async () => {
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
      const stopping = rig.stop()
      await expect.poll(() => fetch(`${rig.url}/services/desk/chambers/1`).then(() => 'open', () => 'closed')).toBe('closed')
      release()
      expect(await response.text()).toBe('data: one\n\ndata: two\n\n')
      await stopping
      expect(rig.bills).toHaveLength(1)
    })
  })

  describe('hedges', () => {
    it('repeats a late idempotent plain call at another endpoint and bills it once', async () => {
      const first = new FakeEndpoint('e1')
      const second = new FakeEndpoint('e2')
      let isStuck = false
      first.script = ({ call, response }) => { if (!isStuck) respond(response, call.requestId, 'ok') }
      await start([first, second])
      const read = async (): Promise<string> => (await fetch(`${rig.url}/services/desk/chambers/1`, { headers: callerHeaders() })).text()
      for (let index = 0; index < 80; index++) await read()
      isStuck = true
      // Without a hedge a call at the stuck endpoint would go on only by an attach after the silence limit.
      for (let index = 0; index < 6; index++) expect(await read()).toContain('ok')
      expect(first.attachRequests).toHaveLength(0)
      expect(new Set(rig.bills.map(bill => bill.requestId)).size).toBe(86)
      expect(rig.settled).toHaveLength(86)
    })
  })

  it('leaves an endpoint out as soon as it says it is leaving', async () => {
    const leaving = new FakeEndpoint('e1')
    leaving.script = ({ response }) => { respondWithProblem(response, 'endpointLeaving', 'notRun', 503, { leaving: true }) }
    await start([leaving, new FakeEndpoint('e2')])
    for (let index = 0; index < 10; index++) {
      const response = await fetch(`${rig.url}/services/desk/bookings`, { method: 'POST', headers: callerHeaders(), body: '{}' })
      expect(response.status).toBe(200)
    }
    expect(leaving.received.length).toBeLessThanOrEqual(1)
  })
})
