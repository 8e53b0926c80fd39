/** Decides which stored evidence of crashes is removed, so that it does not grow without limit. */

/** A stored object: a crash, or a statement that its traits do not crash endpoints. */
export interface EvidenceEntry {
  readonly name: string
  /** Revision of the object in the store. */
  readonly revision: number
  readonly kind: 'crash' | 'clearance'
  readonly traits: readonly string[]
  /** Whether requests are refused because of one of the traits. */
  readonly isSuspected: boolean
}

/** Number of objects above which some are removed. */
export const maxEvidenceObjects = 200
/** Number of objects that a removal leaves, so that the next one is not due at the next crash. */
const keptEvidenceObjects = 100

/**
 * Names of the objects to remove, in order. Cleared crashes go first, then clearances without a crash that they
 * clear, then the oldest crashes. Crashes of suspected traits go last, because requests with these would run again.
 */
export function planEvidenceRemoval (entries: readonly EvidenceEntry[]): readonly string[] {
  if (entries.length <= maxEvidenceObjects) return []
  const crashes = entries.filter(({ kind }) => kind === 'crash').sort(byRevision)
  const clearances = entries.filter(({ kind }) => kind === 'clearance').sort(byRevision)
  const clearedRevisions = latestRevisions(clearances)
  const isCleared = ({ revision, traits }: EvidenceEntry): boolean => traits.every(trait => revision < (clearedRevisions.get(trait) ?? -Infinity))
  const cleared = crashes.filter(isCleared)
  const standing = crashes.filter(crash => !isCleared(crash))
  // A crash that is not yet removed would count again without its clearance.
  const crashedTraits = new Set(crashes.flatMap(({ traits }) => traits))
  const needless = clearances.filter(({ traits }) => !traits.some(trait => crashedTraits.has(trait)))
  const ordered = [...cleared, ...needless, ...standing.filter(crash => !crash.isSuspected), ...standing.filter(crash => crash.isSuspected)]
  return ordered.slice(0, entries.length - keptEvidenceObjects).map(({ name }) => name)
}

function byRevision (a: EvidenceEntry, b: EvidenceEntry): number {
  return a.revision - b.revision
}

function latestRevisions (entries: readonly EvidenceEntry[]): ReadonlyMap<string, number> {
  const latest = new Map<string, number>()
  for (const { traits, revision } of entries) for (const trait of traits) latest.set(trait, Math.max(latest.get(trait) ?? -Infinity, revision))
  return latest
}
