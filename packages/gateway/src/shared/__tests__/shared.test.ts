import { describe, expect, it } from 'vitest'
import { attemptTimeoutMs, isRepeatable, classifyResponse } from '../attemptRules.ts'
import type { ResponseAttributes } from '../call.ts'
import { ElapsedClock } from '../elapsedClock.ts'
import { EndpointDirectory } from '../endpointDirectory.ts'
import { EventSplitter } from '../eventSplitter.ts'
import type { EndpointEntry, FleetConfiguration, Route } from '../fleet.ts'
import { RetryQuota } from '../retryQuota.ts'
import { RouteTable } from '../routeTable.ts'

const route: Route = {
  name: 'r', host: 'a.example', pathPrefix: '/x/', kind: 'safe', targets: [{ service: 's', weight: 1 }], timeoutMs: 1000, objectiveMs: 100, priority: 0, maxAttempts: 2, isPublic: false, isResumable: false
}

describe('EventSplitter', () => {
  it('passes on complete events only, so that another endpoint can send a truncated event again', () => {
    const splitter = new EventSplitter()
    expect(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')).bytes.toString()).toBe('id: 1\ndata: a\n\n')
    expect(splitter.lastId).toBe('1')
    expect(splitter.push(Buffer.from('ta: b\n\n')).bytes.toString()).toBe('id: 2\ndata: b\n\n')
    expect(splitter.count).toBe(2)
  })

  it('finds the end of an event whose two line feeds are in different chunks', () => {
    const splitter = new EventSplitter()
    splitter.push(Buffer.from('id: 1\ndata: a\n'))
    expect(splitter.push(Buffer.from('\nid: 2')).bytes.toString()).toBe('id: 1\ndata: a\n\n')
    expect(splitter.lastId).toBe('1')
  })

  it('discards a truncated event before the stream resumes at another endpoint', () => {
    const splitter = new EventSplitter()
    splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))
    splitter.beginAttempt()
    expect(splitter.push(Buffer.from('id: 2\ndata: b\n\n')).bytes.toString()).toBe('id: 2\ndata: b\n\n')
  })

  // Guards against events that a caller never gets, because an endpoint sent them after ones that it repeated.
  it('resumes after the last event that was passed on, when an endpoint in between began the stream anew', () => {
    const splitter = new EventSplitter()
    splitter.push(Buffer.from('id: 3\ndata: c\n\n'))
    splitter.beginAttempt()
    splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 9\ndata: i\n\n'))
    expect([splitter.fault, splitter.lastId]).toEqual(['the endpoint repeats events that the caller has', '3'])
    splitter.beginAttempt()
    splitter.push(Buffer.from('id: 4\ndata: d\n\n'))
    expect([splitter.fault, splitter.lastId]).toEqual([undefined, '4'])
  })
})

describe('ElapsedClock', () => {
  it('counts the time for which the VM was suspended, although the monotonic clock stops meanwhile', () => {
    let wallMs = 1000
    let monotonicMs = 10
    const clock = new ElapsedClock({ wallMs: () => wallMs, monotonicMs: () => monotonicMs })
    const startMs = clock.nowMs()
    wallMs += 5000
    monotonicMs += 20
    expect(clock.nowMs() - startMs).toBe(5000)
  })

  it('does not step back when the wall clock does', () => {
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

  it('chooses the route with the longest matching prefix of the host', () => {
    expect(table.match('a.example', '/x/y/z?q=/x/')?.name).toBe('longer')
    expect(table.match('A.example:80', '/x/z')?.name).toBe('r')
  })

  it('matches neither another host nor a path outside the prefix', () => {
    expect(table.match('b.example', '/x/')).toBeUndefined()
    expect(table.match('a.example', '/xy/')).toBeUndefined()
  })

  it('finds an organisation by each of its API keys', () => {
    expect(table.organisationOf('k2')?.name).toBe('firm')
    expect(table.organisationOf('k3')).toBeUndefined()
  })
})

describe('RetryQuota', () => {
  it('limits the retries in a window to a share of its requests plus the slack', () => {
    const quota = new RetryQuota({ share: 0.2, slack: () => 2, windowMs: 10_000 })
    for (let request = 0; request < 50; request++) quota.recordRequest(request * 10)
    let taken = 0
    while (quota.tryTake(600)) taken++
    expect(taken).toBe(12)
    expect(quota.tryTake(5000)).toBe(false)
  })

  it('allows retries again after the window has passed', () => {
    const quota = new RetryQuota({ share: 0, slack: () => 1, windowMs: 1000 })
    expect(quota.tryTake(0)).toBe(true)
    expect(quota.tryTake(900)).toBe(false)
    expect(quota.tryTake(1200)).toBe(true)
  })
})

describe('EndpointDirectory', () => {
  const entry: EndpointEntry = { id: 'e1', service: 's', address: '127.0.0.1:1', failureDomain: 'd', version: 'v1', slots: 1, isDraining: false, startedAtMs: 5, sequence: 1, coldRemainingMs: 0 }

  it('does not offer a draining endpoint for new requests', () => {
    const directory = new EndpointDirectory()
    directory.put(entry)
    expect(directory.ready('s')).toHaveLength(1)
    expect(directory.put({ ...entry, isDraining: true })?.kind).toBe('draining')
    expect(directory.ready('s')).toHaveLength(0)
  })

  it('reports a new incarnation with the same id as a replacement', () => {
    const directory = new EndpointDirectory()
    directory.put(entry)
    expect(directory.put({ ...entry, startedAtMs: 6 })?.kind).toBe('replaced')
  })

  it('keeps an entry that expired during a store outage until its removal time', () => {
    const directory = new EndpointDirectory()
    directory.put(entry)
    directory.scheduleRemoval('e1', 2100)
    expect(directory.removeExpired(2000)).toHaveLength(0)
    expect(directory.ready('s')).toHaveLength(1)
    expect(directory.removeExpired(2100)).toHaveLength(1)
    expect(directory.ready('s')).toHaveLength(0)
  })

  it('does not remove an endpoint that registered again before its removal time', () => {
    const directory = new EndpointDirectory()
    directory.put(entry)
    directory.scheduleRemoval('e1', 2100)
    directory.put(entry)
    expect(directory.removeExpired(5000)).toHaveLength(0)
  })
})

describe('attempt rules', () => {
  const signed: ResponseAttributes = { attemptId: 'a', isSigned: true, isNotExecuted: false, isLeaving: false, retryAfterMs: undefined, requestLimit: { kind: 'none' }, contentLengthBytes: 1, isChunked: false, isEventStream: false, isEncoded: false }

  it('accepts a success response only if it is signed, has an attempt id and no content encoding', () => {
    expect(classifyResponse(200, signed).kind).toBe('answer')
    expect(classifyResponse(200, { ...signed, isSigned: false }).kind).toBe('unusable')
    expect(classifyResponse(200, { ...signed, isEncoded: true }).kind).toBe('unusable')
    expect(classifyResponse(200, { ...signed, attemptId: undefined }).kind).toBe('unusable')
  })

  it('treats a request as not run only if the endpoint says so or responds with 421', () => {
    expect(classifyResponse(503, { ...signed, isNotExecuted: true }).kind).toBe('rejected')
    expect(classifyResponse(421, signed).kind).toBe('rejected')
    expect(classifyResponse(503, signed).kind).toBe('unusable')
    expect(classifyResponse(500, signed).kind).toBe('answer')
  })

  it('allows repeated runs of safe requests and of resumable streams only', () => {
    expect(isRepeatable(route)).toBe(true)
    expect(isRepeatable({ ...route, kind: 'nonIdempotent' })).toBe(false)
    expect(isRepeatable({ ...route, kind: 'streaming' })).toBe(false)
    expect(isRepeatable({ ...route, kind: 'streaming', isResumable: true })).toBe(true)
    expect(attemptTimeoutMs({ ...route, kind: 'nonIdempotent' }, 0)).toBeUndefined()
  })
})
