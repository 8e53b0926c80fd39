import { beforeAll, describe, expect, it } from 'vitest'
import { avoidanceMs, chooseEndpoint, createHasher, HashRing, loadShare, matchCall, subsetFor, type Candidate, type Hasher } from '../index.ts'

const limit = 8

function candidate (id: string, overrides: Partial<Candidate> = {}): Candidate {
  return { id, failureDomain: 'a', limit, report: undefined, ownInFlight: 0, avoidUntilMs: 0, isSuspected: false, ...overrides }
}

function reported (id: string, inFlight: number, overrides: Partial<Candidate & { atMs: number, leaving: boolean, healthy: boolean }> = {}): Candidate {
  const { atMs = 0, leaving = false, healthy = true, ...rest } = overrides
  return candidate(id, { report: { inFlight, limit, queued: 0, leaving, healthy, atMs, ownInFlight: 0 }, ...rest })
}

/** Deterministic sequence of numbers that covers [0, 1) evenly. */
function sequence (): () => number {
  let step = 0
  return () => (++step * 0.6180339887) % 1
}

function choose (candidates: readonly Candidate[], options: { affinity?: readonly string[], tried?: readonly string[], nowMs?: number, random?: () => number } = {}): string | undefined {
  const { affinity = [], tried = [], nowMs = 0, random = sequence() } = options
  return chooseEndpoint({ candidates, failureDomain: 'a', affinity, tried: new Set(tried), nowMs, random })
}

function counts (candidates: readonly Candidate[], nowMs = 0): Record<string, number> {
  const random = sequence()
  const result: Record<string, number> = {}
  for (let index = 0; index < 1000; index++) {
    const id = choose(candidates, { random, nowMs }) ?? 'none'
    result[id] = (result[id] ?? 0) + 1
  }
  return result
}

describe('chooseEndpoint', () => {
  it('never chooses the more loaded of two endpoints', () => {
    expect(counts([reported('busy', 7), reported('free', 1)])).toEqual({ free: 1000 })
  })

  it('excludes endpoints as soon as they report that they are leaving or unhealthy', () => {
    expect(choose([reported('leaving', 0, { leaving: true }), reported('ill', 0, { healthy: false })])).toBeUndefined()
    expect(counts([reported('leaving', 0, { leaving: true }), reported('ill', 0, { healthy: false }), reported('c', 7)])).toEqual({ c: 1000 })
  })

  it('tries an unhealthy endpoint again later, because only a response shows that it recovered', () => {
    expect(choose([reported('ill', 0, { healthy: false })], { nowMs: 3000 })).toBe('ill')
  })

  it('avoids an endpoint that refused a request as full, until `avoidUntilMs`', () => {
    const candidates = [candidate('full', { avoidUntilMs: 100 }), reported('other', 7)]
    expect(counts(candidates, 50)).toEqual({ other: 1000 })
    expect(counts(candidates, 200)['full']).toBeGreaterThan(0)
  })

  it('avoids an endpoint longer with each further failure, but not after a single one', () => {
    expect([1, 2, 3, 4, 30].map(avoidanceMs)).toEqual([0, 250, 500, 1000, 10_000])
  })

  it('chooses a suspected or tried endpoint only if there is no other', () => {
    expect(choose([candidate('x', { isSuspected: true })])).toBe('x')
    expect(choose([candidate('x')], { tried: ['x'] })).toBe('x')
    expect(counts([candidate('x', { isSuspected: true }), candidate('y')])).toEqual({ y: 1000 })
  })

  it('prefers the router\'s own failure domain until requests would wait there', () => {
    const remote = reported('remote', 0, { failureDomain: 'b' })
    expect(counts([reported('local', 5), remote])).toEqual({ local: 1000 })
    expect(counts([reported('local', 12), remote])).toEqual({ remote: 1000 })
  })

  it('spreads requests over all endpoints while there are no reports', () => {
    const spread = counts(['a', 'b', 'c', 'd'].map(id => candidate(id)))
    for (const id of ['a', 'b', 'c', 'd']) expect(spread[id]).toBeGreaterThan(100)
  })

  it('assumes the average load without a report, and gives a report less weight as it ages', () => {
    const old = reported('old', 8)
    expect(loadShare(old, 0.25, 0)).toBe(1)
    expect(loadShare(old, 0.25, 60_000)).toBeCloseTo(0.25)
    expect(loadShare(candidate('unknown', { ownInFlight: 4 }), 0.25, 0)).toBe(0.75)
  })

  it('does not count the router\'s own requests twice when the report includes them', () => {
    const busy = candidate('x', { ownInFlight: 4, report: { inFlight: 4, limit, queued: 0, leaving: false, healthy: true, atMs: 0, ownInFlight: 4 } })
    expect(loadShare(busy, 0, 0)).toBe(0.5)
  })

  it('keeps a prefix at its endpoint up to the load bound, and uses the next endpoint above it', () => {
    const affinity = ['home', 'next']
    expect(choose([reported('home', 3), reported('next', 0), reported('c', 0)], { affinity })).toBe('home')
    expect(choose([reported('home', 7), reported('next', 1), reported('c', 0)], { affinity })).toBe('next')
  })
})

describe('hash ring and subsets', () => {
  let hasher: Hasher
  beforeAll(async () => { hasher = await createHasher() })

  it('moves only the prefixes of the endpoint that leaves', () => {
    const ids = Array.from({ length: 20 }, (_, index) => `e${index}`)
    const before = new HashRing(hasher, ids)
    const after = new HashRing(hasher, ids.slice(1))
    for (let key = 0; key < 500; key++) {
      const [home] = before.successors(hasher(`p${key}`), 1)
      if (home !== 'e0') expect(after.successors(hasher(`p${key}`), 1)).toEqual([home])
    }
  })

  it('covers all endpoints with the subsets of the routers, each in a similar number of subsets', () => {
    const endpoints = Array.from({ length: 200 }, (_, index) => ({ id: `e${index}`, failureDomain: 'abcd'[index % 4] as string }))
    const covered = new Map<string, number>()
    for (let router = 0; router < 100; router++) {
      for (const { id } of subsetFor(hasher, `r${router}`, 'abcd'[router % 4] as string, endpoints)) covered.set(id, (covered.get(id) ?? 0) + 1)
    }
    expect(covered.size).toBe(200)
    expect(Math.max(...covered.values())).toBeLessThan(4 * Math.min(...covered.values()))
  })
})

describe('matchCall', () => {
  const calls = ['/chambers/*', '/chambers/all'].map(path => ({ route: `GET ${path}`, method: 'GET', path, idempotent: true, priceTokens: 1 }))

  it('matches one segment per wildcard and prefers literal segments', () => {
    expect(matchCall(calls, 'GET', '/chambers/7')?.route).toBe('GET /chambers/*')
    expect(matchCall(calls, 'GET', '/chambers/all')?.route).toBe('GET /chambers/all')
    for (const path of ['/chambers', '/chambers/', '/chambers/7/8']) expect(matchCall(calls, 'GET', path)).toBeUndefined()
    expect(matchCall(calls, 'POST', '/chambers/7')).toBeUndefined()
  })
})
