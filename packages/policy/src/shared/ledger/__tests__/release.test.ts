import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { closeGrant, planReleaseLine, provenElapsedMs, releasedTokens, releaseDelayMs, type EndedHolderInput, type ReleaseInput } from '../index.ts'

const input: ReleaseInput = { prepaidTokens: 1_000_000, committedTokens: 200_000, ratePerMs: 20, largestRequestTokens: 5000, idleTokens: 300_000, waitingTokens: 0 }
const line = planReleaseLine(input)

describe('planReleaseLine', () => {
  it('carries an even load through a cut of the store, so that no request is refused for want of a report', () => {
    for (let ms = 0; ms < 10_000; ms += 100) expect(releasedTokens(line, ms)).toBeGreaterThan(input.committedTokens + input.ratePerMs * ms + input.largestRequestTokens)
  })

  it('releases far less than the grant shortly after a report, so that little is lost with a killed process', () => {
    expect(releasedTokens(line, 2000) - input.committedTokens).toBeLessThan(input.idleTokens / 3)
  })

  it('covers the requests that wait for the report', () => {
    expect(releasedTokens(planReleaseLine({ ...input, waitingTokens: 90_000 }), 0)).toBeGreaterThanOrEqual(290_000)
  })

  it('tells when tokens are released, so that a caller is told a true time to come back', () => {
    const delayMs = releaseDelayMs(line, 300_000)
    expect(releasedTokens(line, delayMs)).toBeCloseTo(300_000, 3)
    expect(releaseDelayMs(line, 200_001)).toBe(0)
  })
})

describe('provenElapsedMs', () => {
  const earlier = { monotonicMs: 50_000, wallMs: 1_700_000_000_000 }

  it.each([
    ['a restart of the process', { monotonicMs: 52_000, wallMs: 1_700_000_002_010 }, 2010],
    ['a start of the VM, which sets the monotonic clock to an arbitrary value', { monotonicMs: 51_000, wallMs: 1_700_000_020_000 }, undefined],
    ['a start of the VM with a lower monotonic clock', { monotonicMs: 300, wallMs: 1_700_000_002_000 }, undefined],
    ['a suspension, during which the monotonic clock stands still', { monotonicMs: 50_500, wallMs: 1_700_000_008_000 }, undefined],
    ['a step of the wall clock backwards', { monotonicMs: 52_000, wallMs: 1_700_000_000_000 }, undefined],
    ['a step of the wall clock to before the report', { monotonicMs: 52_000, wallMs: 1_699_999_990_000 }, undefined]
  ])('after %s', (_, later, expected) => {
    expect(provenElapsedMs(earlier, later)).toBe(expected)
  })
})

describe('closeGrant', () => {
  const report = { holder: 'a.1', era: 3, clock: { monotonicMs: 1000, wallMs: 9_000_000 }, lines: { firm: line } }
  const ended: EndedHolderInput = { organisation: 'firm', holder: 'a.1', grant: { grantedTokens: 500_000, committedTokens: 150_000 }, report, startClock: { monotonicMs: 3000, wallMs: 9_002_000 }, era: 3 }

  it('frees what the process cannot have spent by the start of its successor', () => {
    const closed = closeGrant(ended)
    expect(closed.grantedTokens).toBe(Math.ceil(releasedTokens(line, 2000)))
    expect(closed.committedTokens).toBe(200_000)
  })

  it.each([
    ['there is no report', { report: undefined }],
    ['the report is that of another process', { holder: 'a.0' }],
    ['the report has no line for the organisation', { organisation: 'other' }],
    ['the store was restored since, so that a later grant may be lost', { era: 4 }],
    ['the clocks prove nothing', { startClock: { monotonicMs: 10, wallMs: 9_002_000 } }]
  ])('counts the whole grant as spent if %s', (_, change) => {
    expect(closeGrant({ ...ended, ...change })).toEqual(ended.grant)
  })

  // The model plays a process that spends as fast as its lines allow, loses responses to reports, and ends at any time.
  it('never frees tokens that the process has spent, under any order of reports, lost responses and ends', () => {
    const step = fc.record({ waitMs: fc.integer({ min: 0, max: 3000 }), wish: fc.integer({ min: 0, max: 200_000 }), report: fc.constantFrom('none', 'answered', 'lostBefore', 'lostAfter', 'late') })
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), fc.integer({ min: 0, max: 8000 }), (steps, downMs) => {
      const grant = { grantedTokens: 800_000, committedTokens: 0 }
      let [nowMs, committed] = [0, 0]
      let stored: typeof report | undefined
      let possible: Array<typeof report> = []
      let lateWrite: typeof report | undefined
      const limit = (): number => Math.min(grant.grantedTokens, ...possible.map(each => releasedTokens(each.lines.firm, nowMs - each.clock.monotonicMs)))
      for (const { waitMs, wish, report: outcome } of steps) {
        nowMs += waitMs
        if (outcome !== 'none') {
          const next = { holder: 'a.1', era: 3, clock: { monotonicMs: nowMs, wallMs: nowMs }, lines: { firm: planReleaseLine({ ...input, committedTokens: committed, idleTokens: grant.grantedTokens - committed }) } }
          if (outcome === 'answered') {
            stored = next
            possible = [next]
            lateWrite = undefined
          } else {
            possible = [...possible, next]
            if (outcome === 'lostAfter') stored = next
            if (outcome === 'late') lateWrite = next
          }
        }
        committed = Math.min(Math.max(committed, limit()), committed + wish)
      }
      for (const seen of [stored, lateWrite]) {
        const closed = closeGrant({ ...ended, grant, report: seen, startClock: { monotonicMs: nowMs + downMs, wallMs: nowMs + downMs } })
        expect(closed.grantedTokens).toBeGreaterThanOrEqual(Math.floor(committed))
      }
    }), { numRuns: 500 })
  })
})
