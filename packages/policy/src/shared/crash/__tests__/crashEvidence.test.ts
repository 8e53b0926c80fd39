import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { CrashEvidence } from '../index.ts'

describe('crash evidence', () => {
  it('suspects only a content that was present at two crashes', () => {
    const evidence = new CrashEvidence()
    evidence.record('e1.1.0', ['poison', 'innocent'], 0)
    expect(evidence.isSuspect('poison')).toBe(false)
    evidence.record('e2.1.0', ['poison', 'other'], 0)
    expect(['poison', 'innocent', 'other'].filter(hash => evidence.isSuspect(hash))).toEqual(['poison'])
  })

  it('counts one crash once, whoever reports it', () => {
    const evidence = new CrashEvidence()
    evidence.record('e1.1.0', ['a'], 0)
    evidence.record('e1.1.0', ['a', 'b'], 0)
    expect(evidence.isSuspect('a')).toBe(false)
  })

  it('clears a content that completed, also when older evidence arrives afterwards from another router', () => {
    const other = new CrashEvidence()
    other.record('e1.1.0', ['a'], 0)
    other.record('e2.1.0', ['a'], 0)
    const evidence = new CrashEvidence()
    evidence.merge(other.stored(), 0)
    expect(evidence.isSuspect('a')).toBe(true)
    evidence.clear('a')
    evidence.merge(other.stored(), 0)
    expect(evidence.isSuspect('a')).toBe(false)
    evidence.record('e3.1.0', ['a'], 0)
    expect(evidence.isSuspect('a')).toBe(false)
  })

  it('expires, so that a wrong suspicion does not last', () => {
    const evidence = new CrashEvidence()
    evidence.record('e1.1.0', ['a'], 0)
    evidence.record('e2.1.0', ['a'], 0)
    evidence.record('e3.1.0', ['b'], 3_700_000)
    expect(evidence.isSuspect('a')).toBe(false)
  })

  it('stays small during a flood of crashes', () => {
    const evidence = new CrashEvidence()
    for (let crash = 0; crash < 500; crash++) {
      evidence.record(`e.1.${crash}`, Array.from({ length: 100 }, (_, index) => `${crash}.${index}`.padEnd(64, '0')), crash)
    }
    expect(JSON.stringify(evidence.stored()).length).toBeLessThan(1_000_000)
  })

  it('reaches the same state in every order of merges', () => {
    const crashes = fc.array(fc.record({
      id: fc.constantFrom('c1', 'c2', 'c3'),
      atMs: fc.constant(0),
      contentHashes: fc.uniqueArray(fc.constantFrom('a', 'b', 'c')),
      cleared: fc.uniqueArray(fc.constantFrom('a', 'b', 'c'))
    }), { maxLength: 8 })
    fc.assert(fc.property(crashes, list => {
      const forwards = new CrashEvidence()
      const backwards = new CrashEvidence()
      for (const crash of list) forwards.merge({ crashes: [crash] }, 0)
      for (const crash of list.toReversed()) backwards.merge({ crashes: [crash] }, 0)
      for (const hash of ['a', 'b', 'c']) expect(forwards.isSuspect(hash)).toBe(backwards.isSuspect(hash))
      expect(forwards.isCoveredBy(backwards.stored())).toBe(true)
    }))
  })
})
