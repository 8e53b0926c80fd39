import { describe, expect, it } from 'vitest'
import { InterruptedRuns, type InterruptedRun } from '../interruptedRuns.ts'
import { StoreOutage } from '../storeOutage.ts'

describe('StoreOutage', () => {
  it('admits only one probe for each interval during an outage, because refused calls to the store are counted too', () => {
    const outage = new StoreOutage(() => 0.5)
    expect(outage.mayCall(0)).toBe(true)
    outage.recordFailure(0)
    expect(outage.sinceMs).toBe(0)
    const allowed = Array.from({ length: 100 }, (_, index) => outage.mayCall(1 + index))
    expect(allowed.filter(Boolean)).toHaveLength(0)
    expect(outage.mayCall(400)).toBe(true)
    expect(outage.mayCall(401)).toBe(false)
    outage.recordFailure(420)
    expect(outage.sinceMs).toBe(0)
    outage.recordResponse(421)
    expect(outage.mayCall(421)).toBe(true)
    expect(outage.endedMs).toBe(421)
    outage.recordResponse(500)
    expect(outage.endedMs).toBe(421)
  })
})

describe('InterruptedRuns', () => {
  it('suspects only requests that were interrupted at the crashed endpoint shortly before the crash was detected', () => {
    const interrupted = new InterruptedRuns()
    const run = (contentHash: string, atMs: number): InterruptedRun => ({ attemptId: '', contentHash, sharedParts: [], events: 0, atMs })
    interrupted.add('e1', run('old', 0))
    interrupted.add('e1', run('new', 7000))
    interrupted.add('e2', run('elsewhere', 7000))
    expect(interrupted.take('e1', 7500)).toEqual([run('new', 7000)])
    expect(interrupted.take('e1', 7500)).toEqual([])
  })
})
