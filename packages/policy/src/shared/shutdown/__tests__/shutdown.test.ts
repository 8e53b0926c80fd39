import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { canEndBeforeStop } from '../graceAdmission.ts'
import { RecentDurations } from '../recentDurations.ts'

describe('canEndBeforeStop', () => {
  it.each([
    ['whose deadline is before the stop', { untilStopMs: 4000, untilDeadlineMs: 4000, isRepeatable: false, durations: undefined }, true],
    ['of a route that always ended in time', { untilStopMs: 4000, untilDeadlineMs: 15_000, isRepeatable: false, durations: { meanMs: 100, longestMs: 3200 } }, true],
    ['of a route that once took longer', { untilStopMs: 4000, untilDeadlineMs: 15_000, isRepeatable: false, durations: { meanMs: 100, longestMs: 3201 } }, false],
    ['that may be repeated, of a route that usually ends in time', { untilStopMs: 4000, untilDeadlineMs: 15_000, isRepeatable: true, durations: { meanMs: 3200, longestMs: 9000 } }, true],
    ['that may be repeated, of a route that usually takes longer', { untilStopMs: 4000, untilDeadlineMs: 15_000, isRepeatable: true, durations: { meanMs: 3201, longestMs: 9000 } }, false],
    ['of a route of which nothing is known', { untilStopMs: 4000, untilDeadlineMs: 15_000, isRepeatable: true, durations: undefined }, false],
    ['after the stop', { untilStopMs: -1, untilDeadlineMs: 100, isRepeatable: true, durations: { meanMs: 0, longestMs: 0 } }, false]
  ])('decides for a request %s', (_, input, expected) => {
    expect(canEndBeforeStop(input)).toBe(expected)
  })

  // Guards against a request that is sent late in the grace period and cut off at its end, although it may not be repeated.
  it('never sends a request that may not be repeated, takes no longer than those before it and would be cut off', () => {
    const ms = fc.integer({ min: 0, max: 20_000 })
    fc.assert(fc.property(ms, ms, fc.array(ms, { minLength: 1 }), (untilStopMs, untilDeadlineMs, taken) => {
      const durations = new RecentDurations()
      for (const durationMs of taken) durations.record('route', durationMs, 0)
      const takesMs = Math.min(untilDeadlineMs, taken[0]!)
      return !canEndBeforeStop({ untilStopMs, untilDeadlineMs, isRepeatable: false, durations: durations.of('route', 0) }) || takesMs <= untilStopMs
    }))
  })
})

describe('RecentDurations', () => {
  it('keeps the mean and the longest duration of each route for 30 to 60 s', () => {
    const durations = new RecentDurations()
    expect(durations.of('a', 0)).toBeUndefined()
    durations.record('a', 500, 1000)
    durations.record('a', 200, 2000)
    durations.record('b', 50, 2000)
    expect([durations.of('a', 3000), durations.of('b', 3000)]).toEqual([{ meanMs: 350, longestMs: 500 }, { meanMs: 50, longestMs: 50 }])
    durations.record('a', 110, 32_000)
    expect(durations.of('a', 32_000)).toEqual({ meanMs: 270, longestMs: 500 })
    expect(durations.of('a', 62_000)).toEqual({ meanMs: 110, longestMs: 110 })
    expect(durations.of('b', 62_000)).toBeUndefined()
  })

  it('forgets everything after a long time without requests', () => {
    const durations = new RecentDurations()
    durations.record('a', 500, 0)
    expect(durations.of('a', 600_000)).toBeUndefined()
  })
})
