/**
 * Decides which requests are no longer run because endpoints crash whenever
 * they run them. Suspected is a trait of a request: its whole content, or a
 * part of its prompt that other requests share. Requests that merely ran beside
 * the cause of a crash are recorded with it, so a trait is suspected only after
 * several crashes without a sound run in between. Parts that stood together in
 * the prompts at all these crashes are alternatives: a request is refused only
 * if it has all of them, so that running the others tells which one is the cause.
 */

/** Evidence about a trait that is stored for all routers. */
interface StoredEvidence {
  /** Revision of the stored object; `undefined` until it is stored. */
  revision: number | undefined
  /** Other traits of the requests with this trait that were running at the crash. */
  companions: ReadonlySet<string>
  /** Whether this router knows no sound run of the trait since. */
  isCounted: boolean
}

export interface CrashReport {
  readonly crashId: string
  /** Traits of the requests that were running, by request. */
  readonly requests: ReadonlyArray<readonly string[]>
  /** Revision of the stored object; `undefined` until it is stored. */
  readonly revision: number | undefined
}

interface TraitEvidence {
  /** By the id of the crash. */
  readonly crashes: Map<string, StoredEvidence>
  /** Revision of the last stored clearance. */
  clearedRevision: number
}

export interface CrashSuspectsOptions {
  /** Number of crashes without a sound run in between after which a trait is suspected. */
  readonly crashesUntilSuspect: number
}

/** Time after a sound run during which crashes are not attributed to the trait. A trait that causes crashes has no sound runs. */
const soundRunMs = 10_000
/** Maximum number of traits whose last sound run is remembered; the oldest are forgotten first. */
const maxSoundTraits = 20_000

export class CrashSuspects {
  readonly #crashesUntilSuspect: number
  readonly #evidence = new Map<string, TraitEvidence>()
  /** Time of the last sound run by trait, the oldest first. */
  readonly #soundAtMs = new Map<string, number>()

  constructor ({ crashesUntilSuspect }: CrashSuspectsOptions) {
    this.#crashesUntilSuspect = crashesUntilSuspect
  }

  /** Whether there is no evidence about any trait. */
  get isEmpty (): boolean {
    return this.#evidence.size === 0
  }

  /** Records the requests that were running at a crash. A crash that is reported repeatedly counts once for each trait. */
  recordCrash ({ crashId, requests, revision }: CrashReport, nowMs: number): void {
    const companionsByTrait = new Map<string, Set<string>>()
    for (const traits of requests) {
      for (const trait of traits) {
        const companions = companionsByTrait.get(trait) ?? new Set()
        companionsByTrait.set(trait, companions)
        for (const other of traits) if (other !== trait) companions.add(other)
      }
    }
    for (const [trait, companions] of companionsByTrait) this.#addEvidence(trait, crashId, companions, revision, nowMs)
  }

  #addEvidence (trait: string, crashId: string, companions: ReadonlySet<string>, revision: number | undefined, nowMs: number): void {
    const evidence = this.#evidence.get(trait) ?? { crashes: new Map<string, StoredEvidence>(), clearedRevision: -Infinity }
    if (revision !== undefined && revision < evidence.clearedRevision) return
    const known = evidence.crashes.get(crashId)
    this.#evidence.set(trait, evidence)
    if (known !== undefined) {
      known.revision ??= revision
      known.companions = new Set([...known.companions, ...companions])
      return
    }
    evidence.crashes.set(crashId, { revision, companions, isCounted: !this.isSound(trait, nowMs) })
  }

  /** Records that an endpoint ran a request with this trait and did not crash. */
  recordSoundRun (trait: string, nowMs: number): void {
    this.#soundAtMs.delete(trait)
    this.#soundAtMs.set(trait, nowMs)
    if (this.#soundAtMs.size > maxSoundTraits) this.#soundAtMs.delete(this.#soundAtMs.keys().next().value!)
    for (const crash of this.#evidence.get(trait)?.crashes.values() ?? []) crash.isCounted = false
  }

  /** Applies a clearance that a router has stored: evidence that was stored before is void. */
  recordClearance (trait: string, revision: number): void {
    const evidence = this.#evidence.get(trait) ?? { crashes: new Map<string, StoredEvidence>(), clearedRevision: -Infinity }
    this.#evidence.set(trait, evidence)
    evidence.clearedRevision = Math.max(evidence.clearedRevision, revision)
    for (const [crashId, crash] of evidence.crashes) {
      if (crash.revision !== undefined && crash.revision < evidence.clearedRevision) evidence.crashes.delete(crashId)
    }
  }

  /** Forgets a crash whose stored evidence was removed. */
  forgetCrash (trait: string, crashId: string): void {
    const evidence = this.#evidence.get(trait)
    evidence?.crashes.delete(crashId)
    if (evidence?.crashes.size === 0) this.#evidence.delete(trait)
  }

  /** Forgets a clearance whose stored object was removed, once no crash is left that it clears. */
  forgetClearance (trait: string): void {
    if (this.#evidence.get(trait)?.crashes.size === 0) this.#evidence.delete(trait)
  }

  /** Whether a request with this trait ran soundly at this router shortly before. */
  isSound (trait: string, nowMs: number): boolean {
    return nowMs - (this.#soundAtMs.get(trait) ?? -Infinity) < soundRunMs
  }

  /** Number of crashes that count against a trait. */
  countCrashes (trait: string): number {
    let count = 0
    for (const crash of this.#evidence.get(trait)?.crashes.values() ?? []) if (crash.isCounted) count++
    return count
  }

  /** Whether a trait is a possible cause of crashes. */
  isSuspect (trait: string): boolean {
    return this.countCrashes(trait) >= this.#crashesUntilSuspect
  }

  /** The trait for which a request is refused; `undefined` if endpoints may run it. */
  findSuspect (traits: readonly string[]): string | undefined {
    return traits.find(trait => this.isSuspect(trait) && !this.#hasAlternative(trait, traits))
  }

  /** Whether another suspect, which the request does not have, stood beside the trait at all its crashes. */
  #hasAlternative (trait: string, traits: readonly string[]): boolean {
    const counted = [...this.#evidence.get(trait)?.crashes.values() ?? []].filter(crash => crash.isCounted)
    const [first, ...others] = counted.map(crash => crash.companions)
    return [...first ?? []].some(companion => !traits.includes(companion) && this.isSuspect(companion) && others.every(companions => companions.has(companion)))
  }

  /** Whether other routers, or the next process of this one, may suspect a trait that ran soundly here, so that a clearance should be stored. */
  needsClearance (trait: string, nowMs: number): boolean {
    if (!this.isSound(trait, nowMs)) return false
    let count = 0
    for (const crash of this.#evidence.get(trait)?.crashes.values() ?? []) if (crash.revision !== undefined) count++
    return count >= this.#crashesUntilSuspect - 1
  }
}
