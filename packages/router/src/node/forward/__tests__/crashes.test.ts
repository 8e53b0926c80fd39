import { afterEach, describe, expect, it } from 'vitest'
import { createRouterClient, type Member } from '@buckthorndrift/protocol'
import type { CallerSettings } from '../../../index.ts'
import { respond, FakeEndpoint, respondWithProblem } from '../../__tests__/fakeEndpoint.ts'
import { callerHeaders, startTestRouter, type TestRouter } from '../../__tests__/testRouter.ts'

describe('requests that crash endpoints', () => {
  let opened: FakeEndpoint[]
  let rig: TestRouter

  async function start (count: number, settings: Partial<CallerSettings> = {}): Promise<void> {
    opened = Array.from({ length: count }, (_, index) => new FakeEndpoint(`e${index}`))
    for (const endpoint of opened) {
      await endpoint.open()
      endpoint.script = async ({ body, call, response }) => {
        if (body.includes('poison')) await endpoint.kill()
        else respond(response, call.requestId, 'fine')
      }
    }
    rig = await startTestRouter({ endpoints: opened, settings })
  }

  afterEach(async () => {
    await rig.stop()
    for (const endpoint of opened) await endpoint.kill()
  })

  function book (body: string): Promise<Response> {
    return fetch(`${rig.url}/services/desk/bookings`, { method: 'POST', headers: callerHeaders(), body })
  }

  function touched (): number {
    return opened.filter(endpoint => endpoint.received.some(received => received.body.includes('poison'))).length
  }

  it('refuses a content after two endpoints died under it, however often its caller sends it', async () => {
    await start(5)
    const statuses: number[] = []
    for (let index = 0; index < 6; index++) statuses.push((await book('poison')).status)
    expect(statuses).toEqual([502, 422, 422, 422, 422, 422])
    expect(touched()).toBe(2)
    expect((await book('harmless')).status).toBe(200)
  })

  it('lets other routers know before the caller can send the content to them', async () => {
    await start(5)
    const peer = rig
    const control: Member = { id: 'peer', incarnation: '1', role: 'router', vm: 'x', failureDomain: 'a', controlUrl: peer.controlUrl, leaving: false }
    const first = await startTestRouter({ endpoints: opened, routers: [control] })
    const poison = (url: string): Promise<Response> => fetch(`${url}/services/desk/bookings`, { method: 'POST', headers: callerHeaders(), body: 'poison' })
    expect((await poison(first.url)).status).toBe(502)
    // The peer knows the first crash, so its own one is the second.
    expect((await poison(peer.url)).status).toBe(422)
    expect((await poison(peer.url)).status).toBe(422)
    expect(touched()).toBe(2)
    await first.stop()
  })

  it('stops the retries of an idempotent call after two endpoints died', async () => {
    await start(5)
    for (const endpoint of opened) endpoint.script = async () => { await endpoint.kill() }
    const response = await fetch(`${rig.url}/services/desk/chambers/1`, { headers: callerHeaders() })
    expect(response.status).toBe(422)
    expect(response.headers.get('bd-verdict')).toBe('mayHaveRun')
    expect(opened.filter(endpoint => endpoint.received.length > 0)).toHaveLength(2)
  })

  it('takes "not run" only from the life of the process that the request was sent to', async () => {
    await start(1)
    const [endpoint] = opened as [FakeEndpoint]
    endpoint.script = ({ response }) => { response.destroy() }
    endpoint.attachScript = (_, _offset, response) => { respondWithProblem(response, 'endpointLost', 'mayHaveRun', 502) }
    const response = await book('text')
    expect(response.headers.get('bd-verdict')).toBe('mayHaveRun')
    expect(endpoint.attachRequests[0]).toMatchObject({ incarnation: '1' })
    expect(rig.settled).toEqual([{ seq: 1, tokens: 20 }])
  })

  it('waits for the report about a failed back end before it sends the same content to a third one', async () => {
    await start(4, { crashReportWaitMs: 10_000 })
    const client = createRouterClient({ url: rig.controlUrl, fleetSecret: 'secret', timeoutMs: 1000 })
    let crash = 0
    for (const endpoint of opened) {
      endpoint.script = ({ call, response }) => {
        respondWithProblem(response, 'backEndFailed', 'mayHaveRun', 502)
        // The endpoint process reports after it has answered.
        setTimeout(() => {
          client.evidence.reportCrash.mutate({ endpointId: endpoint.member.id, incarnation: '1', crash: crash++, contentHashes: [call.contentHash] })
        }, 50)
      }
    }
    const statuses: number[] = []
    for (let index = 0; index < 4; index++) statuses.push((await book('text')).status)
    expect(statuses).toEqual([502, 422, 422, 422])
    expect(opened.flatMap(endpoint => endpoint.received)).toHaveLength(2)
  })

  it('takes the reports of endpoint processes, counts a repeated report once, and stores the evidence', async () => {
    await start(1)
    const client = createRouterClient({ url: rig.controlUrl, fleetSecret: 'secret', timeoutMs: 1000 })
    await book('text')
    const contentHash = opened[0]?.received[0]?.call.contentHash as string
    const report = { endpointId: 'x', incarnation: '1', crash: 1, contentHashes: [contentHash] }
    await client.evidence.reportCrash.mutate(report)
    await client.evidence.reportCrash.mutate(report)
    expect((await book('text')).status).toBe(200)
    await client.evidence.reportCrash.mutate({ ...report, crash: 2 })
    // The completion after the first crash cleared the content, so one crash counts.
    expect((await book('text')).status).toBe(200)
    await client.evidence.reportCrash.mutate({ ...report, crash: 3 })
    await client.evidence.reportCrash.mutate({ ...report, crash: 4 })
    expect((await book('text')).status).toBe(422)
    await expect.poll(() => rig.objects.get('crashes')?.value).toMatchObject({ crashes: expect.arrayContaining([expect.objectContaining({ id: 'x.1.4' })]) })
  })
})
