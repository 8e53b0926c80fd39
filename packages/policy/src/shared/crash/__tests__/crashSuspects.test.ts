import fc from 'fast-check'
import { beforeEach, describe, expect, it } from 'vitest'
import { CrashSuspects } from '../index.ts'

describe('CrashSuspects', () => {
  let suspects: CrashSuspects

  function record (traits: readonly string[], crashId: string, revision: number | undefined, nowMs = 0): void {
    suspects.recordCrash({ crashId, requests: [traits], revision }, nowMs)
  }

  it('suspects the part that stands in each crash, and none that had a sound run in between', () => {
    suspects = new CrashSuspects({ crashesUntilSuspect: 3 })
    for (let crash = 0; crash < 3; crash++) {
      suspects.recordSoundRun('common', crash * 11_000)
      record(['bad'], `c${crash}`, crash, crash * 11_000 + 10_500)
      record(['common'], `c${crash}`, crash, crash * 11_000 + 10_500)
    }
    expect(suspects.isSuspect('bad')).toBe(true)
    expect(suspects.isSuspect('common')).toBe(false)
  })

  it('does not count a crash against a part that ran soundly shortly before', () => {
    suspects = new CrashSuspects({ crashesUntilSuspect: 1 })
    suspects.recordSoundRun('common', 0)
    record(['common'], 'c1', 1, 5000)
    expect(suspects.isSuspect('common')).toBe(false)
    record(['common'], 'c2', 2, 15_000)
    expect(suspects.isSuspect('common')).toBe(true)
  })

  it('counts a crash once that several routers report', () => {
    suspects = new CrashSuspects({ crashesUntilSuspect: 2 })
    record(['a'], 'c1', undefined, 0)
    record(['a'], 'c1', 4, 0)
    record(['a'], 'c1', 5, 0)
    expect(suspects.countCrashes('a')).toBe(1)
  })

  describe('with parts that stood together at all crashes', () => {
    beforeEach(() => {
      suspects = new CrashSuspects({ crashesUntilSuspect: 3 })
      for (let crash = 0; crash < 3; crash++) record(['common', 'bad'], `c${crash}`, crash + 1)
    })

    it('refuses requests that have both, and runs those with one of them', () => {
      expect(suspects.findSuspect(['common', 'bad'])).toBe('common')
      expect(suspects.findSuspect(['common', 'other'])).toBe(undefined)
      expect(suspects.findSuspect(['another', 'bad'])).toBe(undefined)
    })

    it('refuses all requests with the cause once the other one ran soundly or another crash lacks it', () => {
      record(['another', 'bad'], 'c3', 4)
      expect(suspects.findSuspect(['another', 'bad'])).toBe('bad')
      suspects.recordSoundRun('common', 0)
      expect(suspects.findSuspect(['third', 'bad'])).toBe('bad')
      expect(suspects.findSuspect(['common', 'other'])).toBe(undefined)
    })

    it('does not take a part of another request at the same crashes for an alternative', () => {
      for (let crash = 0; crash < 3; crash++) record(['unrelated'], `c${crash}`, crash + 1)
      expect(suspects.findSuspect(['common', 'bad', 'other'])).not.toBe(undefined)
      expect(suspects.findSuspect(['unrelated'])).toBe('unrelated')
    })
  })

  it('asks for a clearance once when a router that never ran a sound part would suspect it', () => {
    suspects = new CrashSuspects({ crashesUntilSuspect: 3 })
    suspects.recordSoundRun('common', 0)
    record(['common'], 'c1', 1, 100)
    expect(suspects.needsClearance('common', 100)).toBe(false)
    record(['common'], 'c2', 2, 200)
    expect(suspects.needsClearance('common', 200)).toBe(true)
    suspects.recordClearance('common', 3)
    expect(suspects.needsClearance('common', 200)).toBe(false)
  })

  it('accepts a part again when the stored evidence is removed', () => {
    suspects = new CrashSuspects({ crashesUntilSuspect: 1 })
    record(['a'], 'c1', 1, 0)
    suspects.forgetCrash('a', 'c1')
    expect(suspects.isSuspect('a')).toBe(false)
  })

  it('reaches the same result in any order of stored crashes and clearances', () => {
    fc.assert(fc.property(fc.array(fc.constantFrom('crash', 'clearance'), { maxLength: 12 }).chain(kinds => {
      const stored = kinds.map((kind, index) => ({ kind, revision: index + 1 }))
      return fc.tuple(fc.constant(stored), fc.shuffledSubarray(stored, { minLength: stored.length }))
    }), ([stored, shuffled]) => {
      const lastClearance = stored.findLast(({ kind }) => kind === 'clearance')?.revision ?? 0
      suspects = new CrashSuspects({ crashesUntilSuspect: 3 })
      for (const { kind, revision } of shuffled) {
        if (kind === 'crash') record(['a'], `c${revision}`, revision, 0)
        else suspects.recordClearance('a', revision)
      }
      expect(suspects.countCrashes('a')).toBe(stored.filter(({ kind, revision }) => kind === 'crash' && revision > lastClearance).length)
    }))
  })
})
