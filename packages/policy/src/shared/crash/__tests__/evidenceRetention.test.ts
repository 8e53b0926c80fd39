import { describe, expect, it } from 'vitest'
import { maxEvidenceObjects, planEvidenceRemoval, type EvidenceEntry } from '../index.ts'

function entries (kind: EvidenceEntry['kind'], count: number, firstRevision: number, traitOf: (index: number) => string, suspect?: string): readonly EvidenceEntry[] {
  return Array.from({ length: count }, (_, index) => ({ name: `${kind}-${firstRevision + index}`, revision: firstRevision + index, kind, traits: [traitOf(index)], isSuspected: traitOf(index) === suspect }))
}

describe('stored evidence of crashes', () => {
  it('is kept while there is little of it', () => {
    expect(planEvidenceRemoval(entries('crash', maxEvidenceObjects, 1, index => `part-${index}`))).toEqual([])
  })

  it('loses the oldest crashes first, but not those of suspected traits', () => {
    const suspected = entries('crash', 3, 1, () => 'bad', 'bad')
    const other = entries('crash', maxEvidenceObjects, 4, index => `part-${index}`)
    const removed = planEvidenceRemoval([...other, ...suspected])
    expect(removed.slice(0, 2)).toEqual(['crash-4', 'crash-5'])
    expect(removed).not.toContain('crash-1')
    expect(removed.length).toBeLessThan(other.length)
  })

  it('loses cleared crashes before any other, and keeps their clearance until they are gone', () => {
    const cleared = entries('crash', 2, 10, () => 'sound')
    const clearance = entries('clearance', 1, 12, () => 'sound')
    const needless = entries('clearance', 1, 13, () => 'elsewhere')
    const other = entries('crash', maxEvidenceObjects, 20, index => `part-${index}`)
    const removed = planEvidenceRemoval([...other, ...needless, ...clearance, ...cleared])
    expect(removed.slice(0, 3)).toEqual(['crash-10', 'crash-11', 'clearance-13'])
    expect(removed).not.toContain('clearance-12')
  })

  it('keeps a crash that was stored after the clearance of its trait', () => {
    const clearance = entries('clearance', 1, 1, () => 'part-0')
    const crashes = entries('crash', maxEvidenceObjects, 2, index => `part-${index}`, 'part-0')
    expect(planEvidenceRemoval([...clearance, ...crashes])).not.toContain('crash-2')
  })

  it('is limited although all of it stands against suspected traits', () => {
    const removed = planEvidenceRemoval(entries('crash', 3 * maxEvidenceObjects, 1, () => 'bad', 'bad'))
    expect(removed.length).toBeGreaterThanOrEqual(2 * maxEvidenceObjects)
    expect(removed).not.toContain(`crash-${3 * maxEvidenceObjects}`)
  })
})
