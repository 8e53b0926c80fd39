import { describe, expect, it } from 'vitest'
import { ColdEndpoints, type ColdReport } from '../index.ts'

const report: ColdReport = { id: 'e', startedAtMs: 5, sequence: 3, coldRemainingMs: 2000 }

describe('knowledge of cold endpoints', () => {
  it('ages, and follows what later entries say', () => {
    const cold = new ColdEndpoints()
    expect(cold.untilMs('e')).toBe(-Infinity)
    expect(cold.record(report, 1000)).toBe(true)
    expect(cold.record({ ...report, sequence: 4, coldRemainingMs: 900 }, 2200)).toBe(false)
    expect(cold.untilMs('e')).toBe(3100)
    expect(cold.record({ ...report, sequence: 9 }, 9000)).toBe(true)
    cold.record({ ...report, sequence: 10, coldRemainingMs: 0 }, 9500)
    expect(cold.untilMs('e')).toBe(9500)
  })

  // Guards against an entry that is listed again after a restore or a loss of history, and keeps an endpoint cold.
  it('is not renewed by an entry that is read again, or by an older one', () => {
    const cold = new ColdEndpoints()
    cold.record(report, 1000)
    cold.record(report, 2500)
    cold.record({ ...report, sequence: 2, coldRemainingMs: 0 }, 2600)
    expect(cold.untilMs('e')).toBe(3000)
  })

  it('may be presumed until an entry can have arrived, which does not shorten what an entry says', () => {
    const cold = new ColdEndpoints()
    cold.presume('e', 1800)
    expect(cold.untilMs('e')).toBe(1800)
    cold.record(report, 1000)
    expect(cold.untilMs('e')).toBe(3000)
    cold.forget('e')
    expect(cold.untilMs('e')).toBe(-Infinity)
  })

  it('begins anew with each incarnation', () => {
    const cold = new ColdEndpoints()
    cold.record(report, 1000)
    expect(cold.record({ ...report, startedAtMs: 8, sequence: 1 }, 1500)).toBe(true)
    expect(cold.untilMs('e')).toBe(3500)
    cold.forget('e')
    expect(cold.untilMs('e')).toBe(-Infinity)
  })
})
