import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { SliceEntries, type EntryReservation } from '../index.ts'

function reservation (seq: number, holder = 'r.1'): EntryReservation {
  return { holder, shard: 0, seq, tokens: 100 }
}

describe('SliceEntries', () => {
  it('returns every reservation that ran and is not flushed, so that a reclaim counts all of them', () => {
    const step = fc.record({ kind: fc.constantFrom('run', 'settle', 'flush'), seq: fc.integer({ min: 0, max: 30 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 100 }), steps => {
      const entries = new SliceEntries()
      const spent = new Map<number, number>()
      let flushed = -1
      for (const { kind, seq } of steps) {
        if (kind === 'run' && entries.check(reservation(seq), flushed) === undefined) {
          expect(spent.has(seq) || seq <= flushed, 'no reservation is used twice').toBe(false)
          entries.reserve(reservation(seq), 'b', 0)
          spent.set(seq, 100)
        }
        if (kind === 'settle' && (spent.get(seq) ?? 0) === 100) {
          entries.settle(reservation(seq), seq)
          spent.set(seq, seq)
        }
        if (kind === 'flush') {
          entries.prune('r.1', 0, seq)
          flushed = Math.max(flushed, seq)
        }
      }
      const expected = [...spent].filter(([seq]) => seq > flushed).reduce((sum, [, tokens]) => sum + tokens, 0)
      expect(entries.fence('r.1').reduce((sum, entry) => sum + entry.tokens, 0)).toBe(expected)
    }))
  })

  it('refuses everything under a fenced holder, also after its entries are forgotten', () => {
    const entries = new SliceEntries()
    entries.reserve(reservation(1), 'b', 0)
    expect(entries.fence('r.1')).toHaveLength(1)
    expect(entries.check(reservation(2), -1)).toBe('fenced')
    entries.forget('r.1')
    expect(entries.check(reservation(3), -1)).toBe('fenced')
    expect(entries.fence('r.1')).toEqual([])
  })

  it('keeps the entries of a holder that is not fenced when told to forget it', () => {
    const entries = new SliceEntries()
    entries.reserve(reservation(1), 'b', 0)
    entries.forget('r.1')
    expect(entries.size).toBe(1)
  })

  it('refuses a late call under a reservation that is already settled', () => {
    const entries = new SliceEntries()
    entries.prune('r.1', 0, 5)
    expect(entries.check(reservation(5), -1)).toBe('alreadySettled')
    expect(entries.check(reservation(6), -1)).toBeUndefined()
  })

  it('names a holder with old entries once per interval', () => {
    const entries = new SliceEntries()
    entries.reserve(reservation(1), 'b', 0)
    expect(entries.takeDueQueries(59, 60)).toEqual([])
    expect(entries.takeDueQueries(60, 60)).toEqual([{ holder: 'r.1', shard: 0 }])
    expect(entries.takeDueQueries(61, 60)).toEqual([])
  })

  it('forgets holders that have been idle for an hour, so that replaced routers do not pile up', () => {
    const entries = new SliceEntries()
    entries.prune('r.1', 0, 5)
    entries.takeDueQueries(0, 60)
    entries.takeDueQueries(3_599_999, 60)
    expect(entries.check(reservation(5), -1)).toBe('alreadySettled')
    entries.takeDueQueries(3_600_000, 60)
    expect(entries.check(reservation(5), -1)).toBeUndefined()
  })
})
