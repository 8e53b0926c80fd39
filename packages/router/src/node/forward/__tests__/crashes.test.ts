import { afterEach, describe, expect, it } from 'vitest'
import { createRouterClient, type Member } from '@buckthorndrift/protocol'
import type { CallerSettings } from '../../../index.ts'
import { respond, FakeEndpoint, respondWithProblem } from '../../__tests__/fakeEndpoint.ts'
import { callerHeaders, startTestRouter, type TestRouter } from '../../__tests__/testRouter.ts'

describe('requests that crash endpoints', () => {
  let opened: FakeEndpoint[]
  let router: TestRouter

  async function start (count: number, settings: Partial<CallerSettings> = {}): Promise<void> {
    opened = Array.from({ length: count }, (_, index) => new FakeEndpoint(`e${index}`))
    for (const endpoint of opened) {
      await endpoint.open()
      endpoint.script = async ({ body, call, response }) => {
        if (body.includes('poison')) await endpoint.kill()
        else respond(response, call.requestId, 'fine')
      }
    }
    router = await startTestRouter({ endpoints: opened, settings })
  }

  afterEach(async () => {
    await router.stop()
    for (const endpoint of opened) await endpoint.kill()
  })

  function postBooking (body: string): Promise<Response> {
    return fetch(`${router.url}/services/desk/bookings`, { method: 'POST', headers: callerHeaders(), body })
  }

  function countPoisonedEndpoints (): number {
    return opened.filter(endpoint => endpoint.received.some(received => received.body.includes('poison'))).length
  }

  it('refuses a request content after two endpoints died while they ran it, however often the caller sends it', async () => {
    await start(5)
    const statuses: number[] = []
    for (let index = 0; index < 6; index++) statuses.push((await postBooking('poison')).status)
    expect(statuses).toEqual([502, 422, 422, 422, 422, 422])
    expect(countPoisonedEndpoints()).toBe(2)
    expect((await postBooking('harmless')).status).toBe(200)
  })

  it('tells other routers of a process death before the caller gets the failure and can send the content to them', async () => {
    await start(5)
    const peer = router
    const peerMember: Member = { id: 'peer', incarnation: '1', role: 'router', vm: 'x', failureDomain: 'a', controlUrl: peer.controlUrl, leaving: false }
    const firstRouter = await startTestRouter({ endpoints: opened, routers: [peerMember] })
    const postPoison = (url: string): Promise<Response> => fetch(`${url}/services/desk/bookings`, { method: 'POST', headers: callerHeaders(), body: 'poison' })
    expect((await postPoison(firstRouter.url)).status).toBe(502)
    // The peer knows of the first crash, so the crash that it detects itself is the second one.
    expect((await postPoison(peer.url)).status).toBe(422)
    expect((await postPoison(peer.url)).status).toBe(422)
    expect(countPoisonedEndpoints()).toBe(2)
    await firstRouter.stop()
  })

  it('does not retry an idempotent call any more after two endpoints died while they ran it', async () => {
    await start(5)
    for (const endpoint of opened) endpoint.script = async () => { await endpoint.kill() }
    const response = await fetch(`${router.url}/services/desk/chambers/1`, { headers: callerHeaders() })
    expect(response.status).toBe(422)
    expect(response.headers.get('bd-verdict')).toBe('mayHaveRun')
    expect(opened.filter(endpoint => endpoint.received.length > 0)).toHaveLength(2)
  })

  it('sends the incarnation with an attach, and responds mayHaveRun when a later incarnation of the endpoint process replies', async () => {
    await start(1)
    const [endpoint] = opened as [FakeEndpoint]
    endpoint.script = ({ response }) => { response.destroy() }
    endpoint.attachScript = (_, _offset, response) => { respondWithProblem(response, 'endpointLost', 'mayHaveRun', 502) }
    const response = await postBooking('text')
    expect(response.headers.get('bd-verdict')).toBe('mayHaveRun')
    expect(endpoint.attachRequests[0]).toMatchObject({ incarnation: '1' })
    expect(router.settled).toEqual([{ seq: 1, tokens: 20 }])
  })

  it('waits for the report about a failed back end before it sends the same content to a third back end', async () => {
    await start(4, { crashReportWaitMs: 10_000 })
    const client = createRouterClient({ url: router.controlUrl, fleetSecret: 'secret', timeoutMs: 1000 })
    let crash = 0
    for (const endpoint of opened) {
      endpoint.script = ({ call, response }) => {
        respondWithProblem(response, 'backEndFailed', 'mayHaveRun', 502)
        // An endpoint process sends its crash report after the response.
        setTimeout(() => {
          client.evidence.reportCrash.mutate({ endpointId: endpoint.member.id, incarnation: '1', crash: crash++, contentHashes: [call.contentHash] })
        }, 50)
      }
    }
    const statuses: number[] = []
    for (let index = 0; index < 4; index++) statuses.push((await postBooking('text')).status)
    expect(statuses).toEqual([502, 422, 422, 422])
    expect(opened.flatMap(endpoint => endpoint.received)).toHaveLength(2)
  })

  it('accepts crash reports from endpoint processes, counts a repeated report once, and stores the evidence', async () => {
    await start(1)
    const client = createRouterClient({ url: router.controlUrl, fleetSecret: 'secret', timeoutMs: 1000 })
    await postBooking('text')
    const contentHash = opened[0]?.received[0]?.call.contentHash as string
    const report = { endpointId: 'x', incarnation: '1', crash: 1, contentHashes: [contentHash] }
    await client.evidence.reportCrash.mutate(report)
    await client.evidence.reportCrash.mutate(report)
    expect((await postBooking('text')).status).toBe(200)
    await client.evidence.reportCrash.mutate({ ...report, crash: 2 })
    // The request that completed after the first crash cleared the content, so only one crash counts.
    expect((await postBooking('text')).status).toBe(200)
    await client.evidence.reportCrash.mutate({ ...report, crash: 3 })
    await client.evidence.reportCrash.mutate({ ...report, crash: 4 })
    expect((await postBooking('text')).status).toBe(422)
    await expect.poll(() => router.objects.get('crashes')?.value).toMatchObject({ crashes: expect.arrayContaining([expect.objectContaining({ id: 'x.1.4' })]) })
  })
})
