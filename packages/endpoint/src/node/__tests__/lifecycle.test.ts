import type { ServerResponse } from 'node:http'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { BillingRecord, CrashReportInput } from '@buckthorndrift/protocol'
import type { Endpoint } from '../../index.ts'
import { attach, callOf, controlOf, FakePlatform, fakeRouter, listen, routerMember, send, startTestEndpoint, until, type TestServer } from './fixtures.ts'

describe('slices, records and shutdown', () => {
  let backEnd: TestServer
  let router: TestServer
  let endpoint: Endpoint
  let platform: FakePlatform
  let waiting: ServerResponse[]
  let records: BillingRecord[]
  let reports: CrashReportInput[]
  let settledSeq: number

  beforeEach(async () => {
    waiting = []
    records = []
    reports = []
    settledSeq = -1
    backEnd = await listen((incoming, response) => {
      incoming.resume()
      incoming.on('end', () => { if (incoming.url === '/hold') waiting.push(response); else response.end('ok') })
    })
    router = await fakeRouter({
      budget: { settledSeq: async () => settledSeq },
      records: { handOver: async input => { records.push(...input.records) } },
      evidence: { reportCrash: async report => { reports.push(report) } }
    })
    platform = new FakePlatform()
    platform.members.push(routerMember('r1', router.url))
  })

  afterEach(async () => {
    for (const response of waiting) response.end()
    await endpoint.kernel.stop()
    await Promise.all([backEnd.close(), router.close()])
  })

  async function start (flags: Parameters<typeof startTestEndpoint>[1] = {}): Promise<void> {
    endpoint = await startTestEndpoint(platform, { backEndUrl: backEnd.url, ...flags })
  }

  it('fences a holder: running requests go on, waiting and new ones are refused, and entries are returned', async () => {
    await start({ backEndLimit: 1 })
    const control = controlOf(endpoint)
    const calls = [callOf(), callOf(), callOf()]
    await send(endpoint, calls[0]!)
    const running = send(endpoint, calls[1]!, { path: '/hold' })
    await until(() => waiting.length === 1)
    const queued = send(endpoint, calls[2]!)
    await until(() => endpoint.gate.load().queued === 1)
    const fence = await control.slices.fence.mutate({ holder: 'r1.1' })
    expect(fence.entries.map(({ seq, state, tokens }) => ({ seq, state, tokens }))).toEqual([
      { seq: calls[0]!.reservation.seq, state: 'settled', tokens: 20 }, { seq: calls[1]!.reservation.seq, state: 'reserved', tokens: 1000 }
    ])
    expect(await queued).toMatchObject({ status: 503, headers: { 'bd-verdict': 'notRun' } })
    expect(JSON.parse((await send(endpoint, callOf())).body)).toMatchObject({ reason: 'sliceFenced', verdict: 'notRun' })
    waiting.shift()!.end('done')
    expect((await running).body).toBe('done')
    expect((await control.slices.fence.mutate({ holder: 'r1.1' })).entries.map(({ state }) => state)).toEqual(['settled', 'settled'])
    await control.slices.forget.mutate({ holder: 'r1.1' })
    expect(JSON.parse((await send(endpoint, callOf())).body).reason).toBe('sliceFenced')
  })

  it('honours fences that were stored before it started, and those that arrive as a document', async () => {
    platform.put('fences', { holders: ['old.1'] })
    await start()
    const call = callOf()
    const under = (holder: string) => ({ ...callOf(), reservation: { ...call.reservation, holder } })
    expect((await send(endpoint, under('old.1'))).status).toBe(503)
    expect((await send(endpoint, under('new.1'))).status).toBe(200)
    platform.put('fences', { holders: ['old.1', 'new.1'] })
    expect((await send(endpoint, under('new.1'))).status).toBe(503)
  })

  it('takes the limit of the back end from the newest fleet text, and keeps it when a text is not valid', async () => {
    const text = (limit: number) => ({ text: `services:\n  desk:\n    kind: plain\n    versions: [{ name: v1 }]\n    endpointLimit: ${limit}\n    calls: [{ route: GET /a, idempotent: true, priceTokens: 1 }]\n` })
    platform.put('config/fleet', text(3))
    await start()
    expect(endpoint.gate.load().limit).toBe(3)
    platform.put('config/fleet', text(5))
    expect(endpoint.gate.load().limit).toBe(5)
    platform.put('config/fleet', { text: 'services: [' })
    expect(endpoint.gate.load().limit).toBe(5)
  })

  it('asks the holder about old entries and drops what it has flushed', async () => {
    await start({ entryQueryMs: 40 })
    await send(endpoint, callOf())
    expect(endpoint.gate.entries.size).toBe(1)
    settledSeq = Number.MAX_SAFE_INTEGER
    await until(() => endpoint.gate.entries.size === 0)
  })

  it('refuses calls at the limit of records rather than lose one, and accepts again once they are acknowledged', async () => {
    await start({ recordsLimit: 2, recordHandoverMs: 600 })
    const calls = [callOf(), callOf()]
    for (const call of calls) await send(endpoint, call)
    expect(JSON.parse((await send(endpoint, callOf())).body)).toMatchObject({ reason: 'recordsFull', verdict: 'notRun' })
    await until(() => records.length >= 2)
    expect(endpoint.gate.records.size, 'a handover is no acknowledgement').toBe(2)
    await controlOf(endpoint).records.acknowledge.mutate({ requestIds: calls.map(call => call.requestId) })
    expect((await send(endpoint, callOf())).status).toBe(200)
  })

  it('leaves without cutting off a request, and hands over records and entries', async () => {
    await start({ backEndLimit: 1 })
    const held = callOf()
    const running = send(endpoint, held, { path: '/hold' })
    await until(() => waiting.length === 1)
    const queued = send(endpoint, callOf())
    await until(() => endpoint.gate.load().queued === 1)
    await controlOf(endpoint).lifecycle.drain.mutate()
    const refused = await send(endpoint, callOf())
    expect(JSON.parse(refused.body)).toMatchObject({ reason: 'endpointLeaving', verdict: 'notRun' })
    expect(JSON.parse(refused.headers['bd-load'] as string).leaving).toBe(true)
    waiting.shift()!.end('finished')
    expect((await running).body).toBe('finished')
    expect((await queued).body).toBe('ok')
    await endpoint.stopped
    expect(records.map(record => record.requestId)).toContain(held.requestId)
    const handover = platform.objects.get(`handovers/e1.${endpoint.self.incarnation}`)?.value
    expect(handover).toMatchObject({ holders: { 'r1.1': [{ seq: held.reservation.seq, state: 'settled', tokens: 20 }, {}] } })
    expect(platform.members.map(({ id }) => id), 'deregistered').toEqual(['r1'])
  })

  it('leaves a handover without entries too, or its absence would count as a loss', async () => {
    await start()
    await endpoint.kernel.stop()
    expect(platform.objects.get(`handovers/e1.${endpoint.self.incarnation}`)?.value).toMatchObject({ holders: {} })
  })

  it('blames no request for a single broken connection while the back end answers', async () => {
    await start()
    const sending = send(endpoint, callOf(), { path: '/hold' })
    await until(() => waiting.length === 1)
    waiting.shift()!.socket!.destroy()
    expect((await sending).headers['bd-verdict']).toBe('mayHaveRun')
    expect((await send(endpoint, callOf())).status).toBe(200)
    expect([reports, endpoint.gate.load().healthy]).toEqual([[], true])
  })

  it('refuses an attach beyond the end of an answer instead of ending it without a byte', async () => {
    await start()
    const call = callOf()
    await send(endpoint, call)
    expect(await attach(endpoint, call.requestId, 2)).toMatchObject({ status: 200, body: '' })
    expect(await attach(endpoint, call.requestId, 3)).toMatchObject({ status: 409, headers: { 'bd-verdict': 'ran' } })
  })

  it('reports a crash of the back end once, with what ran there', async () => {
    await start()
    const calls = [callOf(), callOf()]
    const sending = calls.map(call => send(endpoint, call, { path: '/hold' }))
    await until(() => waiting.length === 2)
    for (const response of waiting.splice(0)) response.socket!.destroy()
    for (const received of await Promise.all(sending)) expect(received.headers['bd-verdict']).toBe('mayHaveRun')
    await until(() => reports.length > 0)
    expect(reports.map(report => [...report.contentHashes].sort())).toEqual([calls.map(call => call.contentHash).sort()])
  })
})
