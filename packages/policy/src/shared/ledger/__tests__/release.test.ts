import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { classifyRefusal, closeGrant, isClosingDue, planReleaseLine, provenElapsedMs, releasedTokens, releaseDelayMs, witnessedElapsedMs, type EndedHolderInput, type ReleaseInput } from '../index.ts'

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

describe('the retry delay of a refusal', () => {
  const refusal = { tokens: 100, rank: 1, prepaidTokens: 10_000, committedTokens: 0, others: { grantedTokens: 0, committedTokens: 0, lostTokens: 0 }, isLedgerCurrent: false, outageMs: 2000, random: () => 0.5 }

  it('is the time until the line covers the request, but never so short that the caller comes back before anything has changed', () => {
    expect(classifyRefusal({ ...refusal, releaseMs: 900 }).retryAfterMs).toBe(900)
    expect(classifyRefusal({ ...refusal, releaseMs: 5 }).retryAfterMs).toBe(300)
    expect(classifyRefusal({ ...refusal, releaseMs: undefined }).retryAfterMs).toBe(2000)
  })
})

describe('the retry delay of a request that does not fit into what is left for its rank', () => {
  const refusal = { tokens: 100, rank: 1, prepaidTokens: 10_000, committedTokens: 9600, others: { grantedTokens: 0, committedTokens: 0, lostTokens: 0 }, outageMs: undefined, random: () => 0.5 }

  // Guards against callers who come back in vain, because the store was slow at the moment of the refusal. What is known to be spent stays spent.
  it.each([true, false])('is that of a top-up, whether the ledger is current (%s) or not', isLedgerCurrent => {
    expect(classifyRefusal({ ...refusal, isLedgerCurrent }).retryAfterMs).toBeGreaterThan(5000)
    expect(classifyRefusal({ ...refusal, committedTokens: 0, isLedgerCurrent }).retryAfterMs).toBeLessThan(1000)
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

describe('witnessedElapsedMs', () => {
  const peers = { b: { address: 'b:1', offsetMs: 40 }, c: { address: 'c:1', offsetMs: -900 }, d: { address: 'd:1', offsetMs: 0 }, e: { address: 'e:1', offsetMs: 7 } }
  const report = { holder: 'a.1', era: 1, clock: { monotonicMs: 1000, wallMs: 9_000_000 }, peers, lines: {} }
  const same = { b: 45, c: -890, d: 3, e: 0 }

  it('trusts the own wall clock after a power loss if it has kept its difference to most other VMs', () => {
    expect(witnessedElapsedMs({ report, startWallMs: 9_002_000, offsetsMs: same })).toBeGreaterThanOrEqual(2000)
    expect(witnessedElapsedMs({ report, startWallMs: 9_002_000, offsetsMs: { ...same, c: 1100 } })).toBeDefined()
  })

  it.each([
    ['the own clock was set back, which changes all differences', { b: 2045, c: 1110, d: 2003, e: 2000 }],
    ['half of the clocks were set with the own one', { ...same, b: 2045, c: 1110 }],
    ['too few VMs respond', { b: 45, c: -890 }]
  ])('proves nothing if %s', (_, offsetsMs) => {
    expect(witnessedElapsedMs({ report, startWallMs: 9_002_000, offsetsMs })).toBeUndefined()
  })

  it('needs two other VMs that agree, and a clock that is not behind the report', () => {
    const { b, c } = peers
    expect(witnessedElapsedMs({ report: { ...report, peers: { b, c } }, startWallMs: 9_002_000, offsetsMs: same })).toBeDefined()
    expect(witnessedElapsedMs({ report: { ...report, peers: { b, c } }, startWallMs: 9_002_000, offsetsMs: { b: 45 } })).toBeUndefined()
    expect(witnessedElapsedMs({ report: { ...report, peers: { b } }, startWallMs: 9_002_000, offsetsMs: same })).toBeUndefined()
    expect(witnessedElapsedMs({ report, startWallMs: 8_999_000, offsetsMs: same })).toBeUndefined()
  })
})

describe('closeGrant', () => {
  const report = { holder: 'a.1', era: 3, clock: { monotonicMs: 1000, wallMs: 9_000_000 }, peers: {}, lines: { firm: line } }
  const ended: EndedHolderInput = { organisation: 'firm', holder: 'a.1', grant: { grantedTokens: 500_000, committedTokens: 150_000 }, report, elapsedMs: 2000, era: 3 }

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
    ['the time since the report is not proven', { elapsedMs: undefined }]
  ])('counts the whole grant as spent if %s', (_, change) => {
    expect(closeGrant({ ...ended, ...change })).toEqual(ended.grant)
  })

  // The largest lender of a budget that is nearly used up may have spent its whole grant when all VMs lose power.
  it('are stored as lost without freeing anything only if a part of the budget worth a write is lost', () => {
    const totals = { grantedTokens: 970_000, committedTokens: 840_000, lostTokens: 0 }
    expect(isClosingDue(totals, { ...totals, lostTokens: 130_000 }, 1_000_000)).toBe(true)
    expect(isClosingDue(totals, { ...totals, lostTokens: 9000 }, 1_000_000)).toBe(false)
    expect(isClosingDue(totals, { ...totals, grantedTokens: 969_000 }, 1_000_000)).toBe(true)
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
          const next = { holder: 'a.1', era: 3, clock: { monotonicMs: nowMs, wallMs: nowMs }, peers: {}, lines: { firm: planReleaseLine({ ...input, committedTokens: committed, idleTokens: grant.grantedTokens - committed }) } }
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
        const closed = closeGrant({ ...ended, grant, report: seen, elapsedMs: seen === undefined ? undefined : nowMs + downMs - seen.clock.monotonicMs })
        expect(closed.grantedTokens).toBeGreaterThanOrEqual(Math.floor(committed))
      }
    }), { numRuns: 500 })
  })
})
