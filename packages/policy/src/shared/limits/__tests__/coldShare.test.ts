import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { coldShare } from '../index.ts'

describe('shares of the requests that a cold endpoint may get', () => {
  const limits = fc.record({ requestsPerSecond: fc.double({ min: 0, max: 60, noNaN: true }), overrun: fc.double({ min: 1, max: 3, noNaN: true }), slack: fc.integer({ min: 0, max: 20 }) })
  const fleets = fc.integer({ min: 1, max: 400 })

  // Guards against paces that add up to the bound over several seconds only, and exceed it when routers send at the same moment.
  it('keep to the bound in every second, if all participants send as early as they may', () => {
    fc.assert(fc.property(limits, fleets, (limit, routers) => {
      const { participants, intervalMs } = coldShare(limit, routers)
      const perParticipant = Math.floor(1000 / intervalMs) + 1
      expect(participants * perParticipant).toBeLessThanOrEqual(Math.max(1, limit.requestsPerSecond * limit.overrun + limit.slack))
    }))
  })

  it('keep to the pace that the endpoint bears, over any longer time', () => {
    fc.assert(fc.property(limits, fleets, (limit, routers) => {
      const { participants, intervalMs } = coldShare(limit, routers)
      expect(participants * 1000 / intervalMs).toBeLessThanOrEqual(Math.max(0.1, limit.requestsPerSecond) + 1e-9)
    }))
  })

  it('use the pace that the endpoint bears in fleets of any size', () => {
    for (const routers of [1, 12, 31, 300]) {
      const { participants, intervalMs } = coldShare({ requestsPerSecond: 12, overrun: 1.5, slack: 5 }, routers)
      expect(participants * 1000 / intervalMs).toBeGreaterThan(10.5)
    }
  })
})
