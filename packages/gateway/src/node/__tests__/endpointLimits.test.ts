import { describe, expect, it } from 'vitest'
import { ManualTimers, silentLog } from '@buckthorndrift/kernel'
import { createHasher, rankByRendezvous } from '@buckthorndrift/policy'
import { ElapsedClock } from '../../shared/elapsedClock.ts'
import { EndpointLimits, type ColdState } from '../endpointLimits.ts'
import type { LimitClient, LimitExchange } from '../limitClient.ts'
import { TrackedEndpoint } from '../trackedEndpoints.ts'

const hasher = await createHasher()
const routers = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(id => ({ id, address: `${id}:1` }))
const entry = { id: 'endpoint-1', service: 'desk', address: '127.0.0.1:1', failureDomain: 'zone-a', version: 'v1', slots: 8, isDraining: false, startedAtMs: 1, sequence: 1, coldRemainingMs: 0 }
/** A limit that two of the routers share, and a third one if one of them does not respond. */
const requestsPerSecond = 0.4
const ranked = rankByRendezvous(hasher, entry.id, routers).map(({ id }) => id)

/** The limits at the router with the given rank for the endpoint. `replies` are the results of its exchanges, in order. */
function limitsAtRank (rank: number, replies: LimitExchange[] = [], cold?: ColdState, isSettled = true) {
  const timers = new ManualTimers(1000)
  const endpoint = new TrackedEndpoint(entry, 1000, () => {})
  const asked: string[] = []
  const unreachable = new Set<string>()
  const client: LimitClient = {
    exchange: address => {
      asked.push(address.split(':')[0]!)
      return Promise.resolve(replies.shift() ?? { kind: 'unknown' })
    },
    close: () => Promise.resolve()
  }
  const limits = new EndpointLimits({
    clock: new ElapsedClock({ wallMs: () => timers.nowMs(), monotonicMs: () => timers.monotonicMs() }),
    timers,
    log: silentLog,
    hasher,
    nodeName: ranked[rank]!,
    routers: { routers, isSettled, requestList: () => {}, isReachable: id => !unreachable.has(id), recordUnreachable: id => { unreachable.add(id) } },
    client,
    endpoints: () => [endpoint],
    coldStateOf: () => cold
  })
  if (cold === undefined) limits.recordResponse(endpoint, { kind: 'named', requestsPerSecond }, 900)
  const pass = async (durationMs: number): Promise<void> => {
    timers.advance(durationMs)
    for (let turn = 0; turn < 5; turn++) await Promise.resolve()
  }
  return { limits, endpoint, asked, pass }
}

describe('EndpointLimits', () => {
  it('lets the first ranks send at the pace of their share, and no other router', () => {
    const waits = ranked.map((_, rank) => limitsAtRank(rank)).map(({ limits, endpoint }) => limits.waitMs(endpoint))
    expect(waits.map(waitMs => waitMs === 0)).toEqual(ranked.map((_, rank) => rank < 2))
  })

  it('spaces the requests of a participant by its interval', async () => {
    const { limits, endpoint, pass } = limitsAtRank(0)
    endpoint.lastSentMs = 1000
    expect(limits.waitMs(endpoint)).toBe(5000)
    await pass(4000)
    expect(limits.waitMs(endpoint)).toBe(1000)
    await pass(1000)
    expect(limits.waitMs(endpoint)).toBe(0)
  })

  it('ends a limit of which a participant knows the end', async () => {
    const { limits, endpoint, asked, pass } = limitsAtRank(5, [{ kind: 'known', reply: { requestsPerSecond: null, ageMs: 10 } }])
    expect(limits.waitMs(endpoint)).toBeGreaterThan(0)
    await pass(1500)
    expect(asked).toEqual([ranked[0]])
    expect(limits.waitMs(endpoint)).toBe(0)
  })

  // Guards against a limit that outlasts the first participant, which would shut all other routers out.
  it('asks the next rank when a participant does not respond, and takes its place when it is the next rank itself', async () => {
    const { limits, endpoint, asked, pass } = limitsAtRank(2, [{ kind: 'unreachable', detail: 'refused' }])
    expect(limits.waitMs(endpoint)).toBeGreaterThan(0)
    await pass(1500)
    expect(asked).toEqual([ranked[0]])
    expect(limits.waitMs(endpoint)).toBe(0)
    const other = limitsAtRank(5, [{ kind: 'unreachable', detail: 'refused' }])
    await other.pass(1500)
    await other.pass(1500)
    expect(other.asked).toEqual([ranked[0], ranked[1]])
  })

  // Guards against a router that counts as gone because it has not yet read an entry from the store.
  it('goes on asking a participant that does not know the endpoint', async () => {
    const { asked, limits, endpoint, pass } = limitsAtRank(2)
    await pass(1500)
    await pass(1500)
    expect(asked).toEqual([ranked[0], ranked[0]])
    expect(limits.waitMs(endpoint)).toBeGreaterThan(0)
  })

  it('sends a request itself after a long time without news, which shows whether the limit holds', async () => {
    const { limits, endpoint, pass } = limitsAtRank(5)
    await pass(39_000)
    expect(limits.waitMs(endpoint)).toBeGreaterThan(0)
    await pass(1500)
    expect(limits.waitMs(endpoint)).toBe(0)
  })

  it('takes over a limit that another router heard of later, and answers with what it knows then', async () => {
    const { limits, endpoint, pass } = limitsAtRank(0)
    const message = { endpoint: entry.id, startedAtMs: 1, report: { requestsPerSecond: 3, ageMs: 50 } }
    limits.recordResponse(endpoint, { kind: 'none' }, 1001)
    expect(limits.receive(endpoint, message).requestsPerSecond).toBeNull()
    await pass(100)
    expect(limits.receive(endpoint, message).requestsPerSecond).toBe(3)
    expect(endpoint.limit.requestsPerSecond).toBe(3)
  })
})

describe('a cold endpoint', () => {
  /** It may get four requests in one second, of which three are used. */
  const cold: ColdState = { requestsPerSecond: 2, overrun: 1.5, slack: 1, untilMs: 6000 }

  it('gets requests of the first ranks only, at the pace of their share', () => {
    const waits = ranked.map((_, rank) => limitsAtRank(rank, [], cold)).map(({ limits, endpoint }) => limits.waitMs(endpoint))
    expect(waits).toEqual(ranked.map((_, rank) => rank < 3 ? 0 : 5000))
    const { limits, endpoint } = limitsAtRank(0, [], cold)
    endpoint.lastSentMs = 1000
    expect(limits.waitMs(endpoint)).toBe(1500)
  })

  // Guards against routers that started together, each of which knows only those that registered before it.
  it('gets no requests of a router that may not know all others yet', () => {
    const { limits, endpoint } = limitsAtRank(0, [], cold, false)
    expect(limits.waitMs(endpoint)).toBe(5000)
  })

  // Guards against a rank that moves up for a router that only this one does not reach.
  it('gets no requests of another rank when a participant does not respond', async () => {
    const { limits, endpoint, pass } = limitsAtRank(3, [{ kind: 'unreachable', detail: '' }], cold)
    limits.recordResponse(endpoint, { kind: 'named', requestsPerSecond }, 900)
    await pass(1500)
    expect(limits.waitMs(endpoint)).toBeGreaterThanOrEqual(3500)
  })

  it('tells refused callers to come back at the pace that it bears, and soon when it is warm', () => {
    const { limits, endpoint } = limitsAtRank(4, [], { ...cold, untilMs: 1200 })
    expect(limits.returnDelayMs('desk', [endpoint])).toBe(200)
  })
})
