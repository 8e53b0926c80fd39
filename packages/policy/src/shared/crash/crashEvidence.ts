/**
 * Crash evidence: which contents were running when an endpoint died. Replicas
 * merge by union, so the order in which routers learn it does not matter.
 */

/** One crash as the document `crashes` stores it. */
export interface StoredCrash {
  /** Unique per death of a back end or endpoint process. */
  readonly id: string
  /** Wall-clock time in ms; only decides when the evidence expires. */
  readonly atMs: number
  readonly contentHashes: readonly string[]
  /** Those of `contentHashes` that have completed since. */
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

/** A content is refused when it was running in this many crashes; one crash may have hit it by chance. */
const crashesUntilSuspect = 2
/** Evidence expires after this time, so that a wrong suspicion does not last. */
const retentionMs = 3_600_000
/** The oldest crashes beyond this number are dropped, which keeps the document far below a megabyte. */
const maxCrashes = 200
/** Contents kept of one crash; an endpoint holds far fewer requests at once. */
const maxHashesPerCrash = 50

export class CrashEvidence {
  readonly #crashes = new Map<string, Crash>()
  /** Crashes that count against a content. */
  readonly #against = new Map<string, Set<string>>()

  /** Notes what was running at a crash; repeating a crash id adds to it. True when there was news. */
  record (id: string, contentHashes: readonly string[], nowMs: number): boolean {
    const isNews = this.#add({ id, atMs: nowMs, contentHashes, cleared: [] })
    this.#expire(nowMs)
    return isNews
  }

  /** Notes that a content completed, which clears it of the crashes known so far. True when there was news. */
  clear (contentHash: string): boolean {
    const ids = this.#against.get(contentHash)
    if (ids === undefined) return false
    for (const id of ids) this.#crashes.get(id)?.cleared.add(contentHash)
    this.#against.delete(contentHash)
    return true
  }

  /** Crashes that count against a content. */
  countCrashes (contentHash: string): number {
    return this.#against.get(contentHash)?.size ?? 0
  }

  /** Whether requests with this content are refused. */
  isSuspect (contentHash: string): boolean {
    return this.countCrashes(contentHash) >= crashesUntilSuspect
  }

  /** Adds the evidence of another replica. True when there was news. */
  merge (stored: StoredCrashes, nowMs: number): boolean {
    const isNews = stored.crashes.map(crash => this.#add(crash)).some(Boolean)
    this.#expire(nowMs)
    return isNews
  }

  /** What is known, for the document. */
  stored (): StoredCrashes {
    return {
      crashes: [...this.#crashes].map(([id, crash]) => ({
        id, atMs: crash.atMs, contentHashes: [...crash.hashes], cleared: [...crash.cleared]
      }))
    }
  }

  /** Whether `stored` contains everything that is known here. */
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
    let isNews = known === undefined
    for (const hash of stored.contentHashes) {
      if (crash.hashes.has(hash) || crash.hashes.size >= maxHashesPerCrash) continue
      crash.hashes.add(hash)
      isNews = true
    }
    for (const hash of stored.cleared) {
      if (crash.cleared.has(hash)) continue
      crash.cleared.add(hash)
      isNews = true
    }
    this.#index(stored.id, crash)
    return isNews
  }

  #index (id: string, crash: Crash): void {
    for (const hash of crash.hashes) {
      const ids = this.#against.get(hash) ?? new Set()
      if (crash.cleared.has(hash)) ids.delete(id)
      else ids.add(id)
      if (ids.size > 0) this.#against.set(hash, ids)
      else this.#against.delete(hash)
    }
  }

  #expire (nowMs: number): void {
    const oldestFirst = [...this.#crashes].toSorted(([, left], [, right]) => left.atMs - right.atMs)
    for (const [index, [id, crash]] of oldestFirst.entries()) {
      const isOld = crash.atMs < nowMs - retentionMs || index < oldestFirst.length - maxCrashes
      if (!isOld) continue
      this.#crashes.delete(id)
      for (const hash of crash.hashes) this.#against.get(hash)?.delete(id)
    }
  }
}
