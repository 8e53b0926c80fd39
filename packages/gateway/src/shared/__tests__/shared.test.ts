import { describe, expect, it } from 'vitest'
import { attemptPatienceMs, isRepeatable, meaningOf } from '../attemptRules.ts'
import type { ResponseAttributes } from '../call.ts'
import { ElapsedClock } from '../elapsedClock.ts'
import { EndpointDirectory } from '../endpointDirectory.ts'
import { EventBoundary } from '../eventBoundary.ts'
import type { EndpointEntry, FleetConfiguration, Route } from '../fleet.ts'
import { RetryQuota } from '../retryQuota.ts'
import { RouteTable } from '../routeTable.ts'

const route: Route = {
  name: 'r', host: 'a.example', pathPrefix: '/x/', kind: 'safe', targets: [{ service: 's', weight: 1 }], timeoutMs: 1000, objectiveMs: 100, priority: 0, maxAttempts: 2, isPublic: false, isResumable: false
}

describe('EventBoundary', () => {
  it('passes on whole events only, so that a torn one can come again from another endpoint', () => {
    const boundary = new EventBoundary()
    expect(boundary.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')).bytes.toString()).toBe('id: 1\ndata: a\n\n')
    expect(boundary.lastId).toBe('1')
    expect(boundary.push(Buffer.from('ta: b\n\n')).bytes.toString()).toBe('id: 2\ndata: b\n\n')
    expect(boundary.count).toBe(2)
  })

  it('finds the end of an event that is cut between its two line feeds', () => {
    const boundary = new EventBoundary()
    boundary.push(Buffer.from('id: 1\ndata: a\n'))
    expect(boundary.push(Buffer.from('\nid: 2')).bytes.toString()).toBe('id: 1\ndata: a\n\n')
    expect(boundary.lastId).toBe('1')
  })

  it('drops a torn event before the stream goes on elsewhere', () => {
    const boundary = new EventBoundary()
    boundary.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))
    boundary.discardPartial()
    expect(boundary.push(Buffer.from('id: 2\ndata: b\n\n')).bytes.toString()).toBe('id: 2\ndata: b\n\n')
  })
})

describe('ElapsedClock', () => {
  it('counts a suspension, in which the monotonic clock stands still', () => {
    let wallMs = 1000
    let monotonicMs = 10
    const clock = new ElapsedClock({ wallMs: () => wallMs, monotonicMs: () => monotonicMs })
    const startMs = clock.nowMs()
    wallMs += 5000
    monotonicMs += 20
    expect(clock.nowMs() - startMs).toBe(5000)
  })

  it('does not go back with the wall clock', () => {
    let wallMs = 10_000
    let monotonicMs = 10
    const clock = new ElapsedClock({ wallMs: () => wallMs, monotonicMs: () => monotonicMs })
    const startMs = clock.nowMs()
    wallMs -= 5000
    monotonicMs += 20
    expect(clock.nowMs() - startMs).toBe(20)
  })
})

describe('RouteTable', () => {
  const configuration: FleetConfiguration = {
    version: 1,
    routes: [route, { ...route, name: 'longer', pathPrefix: '/x/y/' }],
    services: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    organisations: [{ name: 'firm', apiKeys: ['k1', 'k2'], priority: undefined, prepaidTokens: undefined }]
  }
  const table = new RouteTable(configuration)

  it('chooses the longest prefix of the host', () => {
    expect(table.match('a.example', '/x/y/z?q=/x/')?.name).toBe('longer')
    expect(table.match('A.example:80', '/x/z')?.name).toBe('r')
  })

  it('matches neither another host nor a path outside of the prefix', () => {
    expect(table.match('b.example', '/x/')).toBeUndefined()
    expect(table.match('a.example', '/xy/')).toBeUndefined()
  })

  it('finds an organisation by each of its keys', () => {
    expect(table.organisationOf('k2')?.name).toBe('firm')
    expect(table.organisationOf('k3')).toBeUndefined()
  })
})

describe('RetryQuota', () => {
  it('bounds repeats in every window by a share of the requests', () => {
    const quota = new RetryQuota({ share: 0.2, slack: () => 2, windowMs: 10_000 })
    for (let request = 0; request < 50; request++) quota.noteRequest(request * 10)
    let taken = 0
    while (quota.tryTake(600)) taken++
    expect(taken).toBe(12)
    expect(quota.tryTake(5000)).toBe(false)
  })

  it('allows repeats again when the window has passed', () => {
    const quota = new RetryQuota({ share: 0, slack: () => 1, windowMs: 1000 })
    expect(quota.tryTake(0)).toBe(true)
    expect(quota.tryTake(900)).toBe(false)
    expect(quota.tryTake(1200)).toBe(true)
  })
})

describe('EndpointDirectory', () => {
  const entry: EndpointEntry = { id: 'e1', service: 's', address: '127.0.0.1:1', failureDomain: 'd', version: 'v1', slots: 1, isDraining: false, startedAtMs: 5 }

  it('offers no endpoint that drains', () => {
    const directory = new EndpointDirectory()
    directory.put(entry)
    expect(directory.ready('s')).toHaveLength(1)
    expect(directory.put({ ...entry, isDraining: true })?.kind).toBe('draining')
    expect(directory.ready('s')).toHaveLength(0)
  })

  it('tells a new incarnation with the same id apart', () => {
    const directory = new EndpointDirectory()
    directory.put(entry)
    expect(directory.put({ ...entry, startedAtMs: 6 })?.kind).toBe('replaced')
  })

  it('keeps an entry that lapsed in an outage until its endpoint had time to come back', () => {
    const directory = new EndpointDirectory()
    directory.put(entry)
    directory.lapse('e1', 2100)
    expect(directory.expire(2000)).toHaveLength(0)
    expect(directory.ready('s')).toHaveLength(1)
    expect(directory.expire(2100)).toHaveLength(1)
    expect(directory.ready('s')).toHaveLength(0)
  })

  it('keeps an endpoint that registered again', () => {
    const directory = new EndpointDirectory()
    directory.put(entry)
    directory.lapse('e1', 2100)
    directory.put(entry)
    expect(directory.expire(5000)).toHaveLength(0)
  })
})

describe('attempt rules', () => {
  const signed: ResponseAttributes = { attemptId: 'a', isSigned: true, isNotExecuted: false, contentLengthBytes: 1, isChunked: false, isEventStream: false, isEncoded: false }

  it('takes only a signed, unencoded answer of this attempt for a success', () => {
    expect(meaningOf(200, signed).kind).toBe('answer')
    expect(meaningOf(200, { ...signed, isSigned: false }).kind).toBe('unusable')
    expect(meaningOf(200, { ...signed, isEncoded: true }).kind).toBe('unusable')
    expect(meaningOf(200, { ...signed, attemptId: undefined }).kind).toBe('unusable')
  })

  it('believes that a call did not run only if the endpoint says so', () => {
    expect(meaningOf(503, { ...signed, isNotExecuted: true }).kind).toBe('rejected')
    expect(meaningOf(421, signed).kind).toBe('rejected')
    expect(meaningOf(503, signed).kind).toBe('unusable')
    expect(meaningOf(500, signed).kind).toBe('answer')
  })

  it('repeats by the kind of the route, and streams only where they may be resumed', () => {
    expect(isRepeatable(route)).toBe(true)
    expect(isRepeatable({ ...route, kind: 'nonIdempotent' })).toBe(false)
    expect(isRepeatable({ ...route, kind: 'streaming' })).toBe(false)
    expect(isRepeatable({ ...route, kind: 'streaming', isResumable: true })).toBe(true)
    expect(attemptPatienceMs({ ...route, kind: 'nonIdempotent' }, 0)).toBeUndefined()
  })
})
