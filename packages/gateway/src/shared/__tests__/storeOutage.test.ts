import { describe, expect, it } from 'vitest'
import { BrokenRuns } from '../brokenRuns.ts'
import { StoreOutage } from '../storeOutage.ts'

describe('StoreOutage', () => {
  it('lets one call at a time try the store again, because refused calls are counted too', () => {
    const outage = new StoreOutage(() => 0.5)
    expect(outage.mayCall(0)).toBe(true)
    outage.noteFailure(0)
    expect(outage.sinceMs).toBe(0)
    const allowed = Array.from({ length: 100 }, (_, index) => outage.mayCall(1 + index))
    expect(allowed.filter(Boolean)).toHaveLength(0)
    expect(outage.mayCall(400)).toBe(true)
    expect(outage.mayCall(401)).toBe(false)
    outage.noteFailure(420)
    expect(outage.sinceMs).toBe(0)
    outage.noteAnswer()
    expect(outage.mayCall(421)).toBe(true)
  })
})

describe('BrokenRuns', () => {
  it('blames only what broke shortly before the death became known', () => {
    const runs = new BrokenRuns()
    runs.note('e1', 'old', 0)
    runs.note('e1', 'new', 7000)
    runs.note('e2', 'elsewhere', 7000)
    expect(runs.takeDeath('e1', 7500)).toEqual(['new'])
    expect(runs.takeDeath('e1', 7500)).toEqual([])
  })
})
