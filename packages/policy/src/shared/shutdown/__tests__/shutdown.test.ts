import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { canEndBeforeStop } from '../graceAdmission.ts'
import { RecentDurations } from '../recentDurations.ts'

describe('canEndBeforeStop', () => {
  it.each([
    ['whose deadline is before the stop', { untilStopMs: 4000, untilDeadlineMs: 4000, longestMs: undefined }, true],
    ['of a route that is known to end in time', { untilStopMs: 4000, untilDeadlineMs: 15_000, longestMs: 3200 }, true],
    ['of a route that takes longer', { untilStopMs: 4000, untilDeadlineMs: 15_000, longestMs: 3201 }, false],
    ['of a route of which nothing is known', { untilStopMs: 4000, untilDeadlineMs: 15_000, longestMs: undefined }, false],
    ['after the stop', { untilStopMs: -1, untilDeadlineMs: 100, longestMs: 0 }, false]
  ])('decides for a request %s', (_, input, expected) => {
    expect(canEndBeforeStop(input)).toBe(expected)
  })

  // Guards against a request that is sent late in the grace period and cut off at its end.
  it('never sends a request that takes no longer than those before it and would be cut off', () => {
    const ms = fc.integer({ min: 0, max: 20_000 })
    fc.assert(fc.property(ms, ms, fc.array(ms, { minLength: 1 }), (untilStopMs, untilDeadlineMs, durations) => {
      const longestMs = Math.max(...durations)
      const takesMs = Math.min(untilDeadlineMs, durations[0]!)
      return !canEndBeforeStop({ untilStopMs, untilDeadlineMs, longestMs }) || takesMs <= untilStopMs
    }))
  })
})

describe('RecentDurations', () => {
  it('keeps the longest duration of each route for 30 to 60 s', () => {
    const durations = new RecentDurations()
    expect(durations.longestMs('a', 0)).toBeUndefined()
    durations.record('a', 500, 1000)
    durations.record('a', 200, 2000)
    durations.record('b', 50, 2000)
    expect([durations.longestMs('a', 3000), durations.longestMs('b', 3000)]).toEqual([500, 50])
    durations.record('a', 100, 32_000)
    expect(durations.longestMs('a', 32_000)).toBe(500)
    expect(durations.longestMs('a', 62_000)).toBe(100)
    expect(durations.longestMs('b', 62_000)).toBeUndefined()
  })

  it('forgets everything after a long time without requests', () => {
    const durations = new RecentDurations()
    durations.record('a', 500, 0)
    expect(durations.longestMs('a', 600_000)).toBeUndefined()
  })
})
