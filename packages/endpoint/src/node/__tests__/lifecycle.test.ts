import type { ServerResponse } from 'node:http'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { BillingRecord, CrashReportInput } from '@buckthorndrift/protocol'
import type { Endpoint } from '../../index.ts'
import { attach, createCall, createControlClient, FakePlatform, startFakeRouter, listen, createRouterMember, send, startTestEndpoint, waitUntil, type TestServer } from './fixtures.ts'

describe('slices, billing records, crash reports and shutdown', () => {
  let backEnd: TestServer
  let router: TestServer
  let endpoint: Endpoint
  let platform: FakePlatform
  let heldResponses: ServerResponse[]
  let records: BillingRecord[]
  let reports: CrashReportInput[]
  let settledSeq: number

  beforeEach(async () => {
    heldResponses = []
    records = []
    reports = []
    settledSeq = -1
    backEnd = await listen((incoming, response) => {
      incoming.resume()
      incoming.on('end', () => { if (incoming.url === '/hold') heldResponses.push(response); else response.end('ok') })
    })
    router = await startFakeRouter({
      budget: { settledSeq: async () => settledSeq },
      records: { handOver: async input => { records.push(...input.records) } },
      evidence: { reportCrash: async report => { reports.push(report) } }
    })
    platform = new FakePlatform()
    platform.members.push(createRouterMember('r1', router.url))
  })

  afterEach(async () => {
    for (const response of heldResponses) response.end()
    await endpoint.kernel.stop()
    await Promise.all([backEnd.close(), router.close()])
  })

  async function start (flags: Parameters<typeof startTestEndpoint>[1] = {}): Promise<void> {
    endpoint = await startTestEndpoint(platform, { backEndUrl: backEnd.url, ...flags })
  }

  it('fencing a holder of budget slices lets its running requests continue, refuses queued and new ones, and returns its reservation entries', async () => {
    await start({ backEndLimit: 1 })
    const control = createControlClient(endpoint)
    const calls = [createCall(), createCall(), createCall()]
    await send(endpoint, calls[0]!)
    const running = send(endpoint, calls[1]!, { path: '/hold' })
    await waitUntil(() => heldResponses.length === 1)
    const queued = send(endpoint, calls[2]!)
    await waitUntil(() => endpoint.dispatcher.load().queued === 1)
    const fence = await control.slices.fence.mutate({ holder: 'r1.1' })
    expect(fence.entries.map(({ seq, state, tokens }) => ({ seq, state, tokens }))).toEqual([
      { seq: calls[0]!.reservation.seq, state: 'settled', tokens: 20 }, { seq: calls[1]!.reservation.seq, state: 'reserved', tokens: 1000 }
    ])
    expect(await queued).toMatchObject({ status: 503, headers: { 'bd-verdict': 'notRun' } })
    expect(JSON.parse((await send(endpoint, createCall())).body)).toMatchObject({ reason: 'sliceFenced', verdict: 'notRun' })
    heldResponses.shift()!.end('done')
    expect((await running).body).toBe('done')
    expect((await control.slices.fence.mutate({ holder: 'r1.1' })).entries.map(({ state }) => state)).toEqual(['settled', 'settled'])
    await control.slices.forget.mutate({ holder: 'r1.1' })
    expect(JSON.parse((await send(endpoint, createCall())).body).reason).toBe('sliceFenced')
  })

  it('fences the holders that the document `fences` lists at the start, and those that a later version adds', async () => {
    platform.put('fences', { holders: ['old.1'] })
    await start()
    const call = createCall()
    const createCallUnder = (holder: string) => ({ ...createCall(), reservation: { ...call.reservation, holder } })
    expect((await send(endpoint, createCallUnder('old.1'))).status).toBe(503)
    expect((await send(endpoint, createCallUnder('new.1'))).status).toBe(200)
    platform.put('fences', { holders: ['old.1', 'new.1'] })
    expect((await send(endpoint, createCallUnder('new.1'))).status).toBe(503)
  })

  it('applies the concurrency limit of the newest fleet configuration, and keeps it if a newer configuration is invalid', async () => {
    const text = (limit: number) => ({ text: `services:\n  desk:\n    kind: plain\n    versions: [{ name: v1 }]\n    endpointLimit: ${limit}\n    calls: [{ route: GET /a, idempotent: true, priceTokens: 1 }]\n` })
    platform.put('config/fleet', text(3))
    await start()
    expect(endpoint.dispatcher.load().limit).toBe(3)
    platform.put('config/fleet', text(5))
    expect(endpoint.dispatcher.load().limit).toBe(5)
    platform.put('config/fleet', { text: 'services: [' })
    expect(endpoint.dispatcher.load().limit).toBe(5)
  })

  it('queries the holder about old reservation entries and removes those whose settlement the holder has stored', async () => {
    await start({ entryQueryMs: 40 })
    await send(endpoint, createCall())
    expect(endpoint.dispatcher.sliceEntries.size).toBe(1)
    settledSeq = Number.MAX_SAFE_INTEGER
    await waitUntil(() => endpoint.dispatcher.sliceEntries.size === 0)
  })

  it('refuses calls at the limit of billing records, so that none is lost, and accepts calls again after acknowledgement', async () => {
    await start({ recordsLimit: 2, recordHandoverMs: 600 })
    const calls = [createCall(), createCall()]
    for (const call of calls) await send(endpoint, call)
    expect(JSON.parse((await send(endpoint, createCall())).body)).toMatchObject({ reason: 'recordsFull', verdict: 'notRun' })
    await waitUntil(() => records.length >= 2)
    expect(endpoint.dispatcher.records.size, 'a handover does not count as an acknowledgement').toBe(2)
    await createControlClient(endpoint).records.acknowledge.mutate({ requestIds: calls.map(call => call.requestId) })
    expect((await send(endpoint, createCall())).status).toBe(200)
  })

  it('completes accepted requests during a graceful shutdown, and hands over billing records and reservation entries', async () => {
    await start({ backEndLimit: 1 })
    const heldCall = createCall()
    const running = send(endpoint, heldCall, { path: '/hold' })
    await waitUntil(() => heldResponses.length === 1)
    const queued = send(endpoint, createCall())
    await waitUntil(() => endpoint.dispatcher.load().queued === 1)
    await createControlClient(endpoint).lifecycle.drain.mutate()
    const refused = await send(endpoint, createCall())
    expect(JSON.parse(refused.body)).toMatchObject({ reason: 'endpointLeaving', verdict: 'notRun' })
    expect(JSON.parse(refused.headers['bd-load'] as string).leaving).toBe(true)
    heldResponses.shift()!.end('finished')
    expect((await running).body).toBe('finished')
    expect((await queued).body).toBe('ok')
    await endpoint.stopped
    expect(records.map(record => record.requestId)).toContain(heldCall.requestId)
    const handover = platform.objects.get(`handovers/e1.${endpoint.self.incarnation}`)?.value
    expect(handover).toMatchObject({ holders: { 'r1.1': [{ seq: heldCall.reservation.seq, state: 'settled', tokens: 20 }, {}] } })
    expect(platform.members.map(({ id }) => id), 'the endpoint is deregistered').toEqual(['r1'])
  })

  it('writes the handover object even without reservation entries, because a missing object would count as lost entries', async () => {
    await start()
    await endpoint.kernel.stop()
    expect(platform.objects.get(`handovers/e1.${endpoint.self.incarnation}`)?.value).toMatchObject({ holders: {} })
  })

  it('does not report a crash for a single broken connection while the back end responds to probes', async () => {
    await start()
    const sending = send(endpoint, createCall(), { path: '/hold' })
    await waitUntil(() => heldResponses.length === 1)
    heldResponses.shift()!.socket!.destroy()
    expect((await sending).headers['bd-verdict']).toBe('mayHaveRun')
    expect((await send(endpoint, createCall())).status).toBe(200)
    expect([reports, endpoint.dispatcher.load().healthy]).toEqual([[], true])
  })

  it('refuses to attach a router at an offset beyond the end of the response, instead of sending an empty body', async () => {
    await start()
    const call = createCall()
    await send(endpoint, call)
    expect(await attach(endpoint, call.requestId, 2)).toMatchObject({ status: 200, body: '' })
    expect(await attach(endpoint, call.requestId, 3)).toMatchObject({ status: 409, headers: { 'bd-verdict': 'ran' } })
  })

  it('reports a crash of the back end once, with the content hashes of the requests that were running', async () => {
    await start()
    const calls = [createCall(), createCall()]
    const sending = calls.map(call => send(endpoint, call, { path: '/hold' }))
    await waitUntil(() => heldResponses.length === 2)
    for (const response of heldResponses.splice(0)) response.socket!.destroy()
    for (const received of await Promise.all(sending)) expect(received.headers['bd-verdict']).toBe('mayHaveRun')
    await waitUntil(() => reports.length > 0)
    expect(reports.map(report => [...report.contentHashes].sort())).toEqual([calls.map(call => call.contentHash).sort()])
  })
})
