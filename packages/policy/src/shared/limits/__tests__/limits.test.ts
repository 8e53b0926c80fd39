import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { KnownLimit, limitIntervalMs, participantCount, ReturnTimes } from '../index.ts'

const windowMs = 4000

/** Requests that an endpoint may get in one window. */
function allowedRequests (requestsPerSecond: number): number {
  return 1.5 * requestsPerSecond * windowMs / 1000 + 5
}

/** Largest number of times in one window. */
function busiestWindow (times: readonly number[]): number {
  const sorted = times.toSorted((a, b) => a - b)
  let first = 0
  let most = 0
  sorted.forEach((atMs, index) => {
    while (atMs - sorted[first]! >= windowMs) first++
    most = Math.max(most, index - first + 1)
  })
  return most
}

/** Times at which one router sends, `slackMs` after each time at which it may. */
function sendTimes (intervalMs: number, slackMs: readonly number[], durationMs: number): readonly number[] {
  const times: number[] = []
  for (let atMs = slackMs[0]!; atMs < durationMs && times.length < 2000; atMs += intervalMs + slackMs[times.length % slackMs.length]!) times.push(atMs)
  return times
}

describe('shares of a limit', () => {
  const limits = fc.double({ min: 0, max: 30, noNaN: true })
  const fleets = fc.integer({ min: 1, max: 400 })
  const slacks = fc.array(fc.double({ min: 0, max: 3000, noNaN: true }), { minLength: 1, maxLength: 5 })

  // Guards against shares that keep the limit on average only, and exceed it when routers send at the same moments.
  it('keep to the limit in every window, however the requests of the participants fall together', () => {
    fc.assert(fc.property(limits, fleets, fc.array(slacks, { minLength: 1, maxLength: 8 }), (limit, routers, patterns) => {
      const participants = participantCount(limit, routers)
      const intervalMs = limitIntervalMs(limit, { kind: 'participant', participants })
      const times = Array.from({ length: participants }, (_, index) => sendTimes(intervalMs, patterns[index % patterns.length]!, 15_000)).flat()
      expect(busiestWindow(times)).toBeLessThanOrEqual(allowedRequests(limit))
    }))
  })

  it('keep to the limit when all participants send as early as they may', () => {
    fc.assert(fc.property(limits, fleets, (limit, routers) => {
      const participants = participantCount(limit, routers)
      const times = sendTimes(limitIntervalMs(limit, { kind: 'participant', participants }), [0], 15_000)
      expect(busiestWindow(times) * participants).toBeLessThanOrEqual(allowedRequests(limit))
    }))
  })

  it('use the whole limit, and notice its end within seconds', () => {
    fc.assert(fc.property(fc.double({ min: 0.4, max: 30, noNaN: true }), fleets, (limit, routers) => {
      const participants = participantCount(limit, routers)
      const intervalMs = limitIntervalMs(limit, { kind: 'participant', participants })
      expect(participants * 1000 / intervalMs).toBeCloseTo(limit, 6)
      expect(intervalMs).toBeLessThanOrEqual(6000)
    }))
  })

  it('let a request through now and then under a limit of 0, which shows when the limit ends', () => {
    expect(participantCount(0, 50)).toBe(1)
    expect(limitIntervalMs(0, { kind: 'participant', participants: 1 })).toBe(10_000)
  })

  it('leave observers without news at most half of the limit', () => {
    fc.assert(fc.property(fc.double({ min: 0.1, max: 30, noNaN: true }), fleets, (limit, routers) => {
      expect(routers * 1000 / limitIntervalMs(limit, { kind: 'observer', routers })).toBeLessThanOrEqual(limit / 2 + 1e-9)
    }))
  })
})

describe('knowledge of a limit', () => {
  // Guards against a response that was under way when the limit was named and ends it at once.
  it('is not ended by a response to a request that was sent before the limit was named', () => {
    const limit = new KnownLimit()
    expect(limit.recordNamed(2, 1000)).toBe(true)
    expect(limit.recordUnlimited(900)).toBe(false)
    expect(limit.requestsPerSecond).toBe(2)
    expect(limit.recordUnlimited(1001)).toBe(true)
    expect(limit.requestsPerSecond).toBeUndefined()
  })

  it('takes over what another router knows only if it is newer', () => {
    const limit = new KnownLimit()
    limit.recordNamed(2, 1000)
    expect(limit.merge({ requestsPerSecond: undefined, ageMs: 500 }, 1200)).toBe(false)
    expect(limit.merge({ requestsPerSecond: undefined, ageMs: 50 }, 1200)).toBe(true)
    expect(limit.merge({ requestsPerSecond: 3, ageMs: 10 }, 1300)).toBe(true)
    expect(limit.report(1400)).toEqual({ requestsPerSecond: 3, ageMs: 110 })
  })
})

describe('times at which refused callers may return', () => {
  it('follow one another at the pace of the requests that the endpoints take', () => {
    const times = new ReturnTimes()
    const input = { nowMs: 5000, firstMs: 700, requestsPerSecond: 4, routers: 4 }
    expect([times.nextDelayMs(input), times.nextDelayMs(input), times.nextDelayMs(input)]).toEqual([700, 1700, 2700])
  })

  it('are bounded, also under a limit of 0 and for routers that may not send', () => {
    const times = new ReturnTimes()
    const delays = Array.from({ length: 100 }, () => times.nextDelayMs({ nowMs: 0, firstMs: Infinity, requestsPerSecond: 0, routers: 3 }))
    expect(Math.max(...delays)).toBe(30_000)
  })
})
