/**
 * Crash evidence: the contents of the requests that were running when an
 * endpoint crashed, as hashes. Replicas merge by union, so the order in which
 * routers receive the evidence does not matter.
 */

/** One crash, as stored in the document `crashes`. */
export interface StoredCrash {
  /** Unique per crash of a back end or endpoint process. */
  readonly id: string
  /** Wall-clock time in ms; only determines when the evidence expires. */
  readonly atMs: number
  readonly contentHashes: readonly string[]
  /** Those of `contentHashes` that have completed since the crash. */
  readonly cleared: readonly string[]
}

export interface StoredCrashes {
  readonly crashes: readonly StoredCrash[]
}

interface Crash {
  atMs: number
  readonly hashes: Set<string>
  readonly cleared: Set<string>
}

/** Number of crashes during which a content was running before requests with it are refused. A single crash may be a coincidence. */
const crashesUntilSuspect = 2
/** Evidence expires after this time, so that a wrongly suspected content is accepted again. */
const retentionMs = 3_600_000
/** The oldest crashes beyond this number are dropped, which keeps the stored document far below a megabyte. */
const maxCrashes = 200
/** Maximum number of contents kept per crash. An endpoint runs far fewer requests at once. */
const maxHashesPerCrash = 50

export class CrashEvidence {
  readonly #crashes = new Map<string, Crash>()
  /** Ids of the crashes that count against a content, by content hash. */
  readonly #crashIdsByContent = new Map<string, Set<string>>()

  /** Records the contents that were running at a crash; a repeated crash id adds to them. Returns whether anything was new. */
  record (id: string, contentHashes: readonly string[], nowMs: number): boolean {
    const isChanged = this.#add({ id, atMs: nowMs, contentHashes, cleared: [] })
    this.#expire(nowMs)
    return isChanged
  }

  /** Records that a content completed, which clears it of the crashes known so far. Returns whether anything changed. */
  clear (contentHash: string): boolean {
    const ids = this.#crashIdsByContent.get(contentHash)
    if (ids === undefined) return false
    for (const id of ids) this.#crashes.get(id)?.cleared.add(contentHash)
    this.#crashIdsByContent.delete(contentHash)
    return true
  }

  /** Number of crashes that count against a content. */
  countCrashes (contentHash: string): number {
    return this.#crashIdsByContent.get(contentHash)?.size ?? 0
  }

  /** Whether requests with this content are refused. */
  isSuspect (contentHash: string): boolean {
    return this.countCrashes(contentHash) >= crashesUntilSuspect
  }

  /** Merges the evidence of another replica. Returns whether anything was new. */
  merge (stored: StoredCrashes, nowMs: number): boolean {
    const isChanged = stored.crashes.map(crash => this.#add(crash)).some(Boolean)
    this.#expire(nowMs)
    return isChanged
  }

  /** The evidence in the form of the document `crashes`. */
  stored (): StoredCrashes {
    return {
      crashes: [...this.#crashes].map(([id, crash]) => ({
        id, atMs: crash.atMs, contentHashes: [...crash.hashes], cleared: [...crash.cleared]
      }))
    }
  }

  /** Whether `stored` contains all evidence of this replica. */
  isCoveredBy (stored: StoredCrashes): boolean {
    const other = new CrashEvidence()
    other.merge(stored, 0)
    return ![...this.#crashes].some(([id, crash]) => other.#add({
      id, atMs: crash.atMs, contentHashes: [...crash.hashes], cleared: [...crash.cleared]
    }))
  }

  #add (stored: StoredCrash): boolean {
    const known = this.#crashes.get(stored.id)
    const crash: Crash = known ?? { atMs: stored.atMs, hashes: new Set(), cleared: new Set() }
    this.#crashes.set(stored.id, crash)
    let isChanged = known === undefined
    for (const hash of stored.contentHashes) {
      if (crash.hashes.has(hash) || crash.hashes.size >= maxHashesPerCrash) continue
      crash.hashes.add(hash)
      isChanged = true
    }
    for (const hash of stored.cleared) {
      if (crash.cleared.has(hash)) continue
      crash.cleared.add(hash)
      isChanged = true
    }
    this.#index(stored.id, crash)
    return isChanged
  }

  #index (id: string, crash: Crash): void {
    for (const hash of crash.hashes) {
      const ids = this.#crashIdsByContent.get(hash) ?? new Set()
      if (crash.cleared.has(hash)) ids.delete(id)
      else ids.add(id)
      if (ids.size > 0) this.#crashIdsByContent.set(hash, ids)
      else this.#crashIdsByContent.delete(hash)
    }
  }

  #expire (nowMs: number): void {
    const oldestFirst = [...this.#crashes].toSorted(([, left], [, right]) => left.atMs - right.atMs)
    for (const [index, [id, crash]] of oldestFirst.entries()) {
      const isOld = crash.atMs < nowMs - retentionMs || index < oldestFirst.length - maxCrashes
      if (!isOld) continue
      this.#crashes.delete(id)
      for (const hash of crash.hashes) this.#crashIdsByContent.get(hash)?.delete(id)
    }
  }
}
