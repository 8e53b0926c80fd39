/** The registered endpoints that this router knows from the store. */
import { KnownEvacuations } from '@buckthorndrift/policy'
import type { EndpointEntry } from './fleet.ts'

export interface DirectoryChange {
  readonly kind: 'added' | 'draining' | 'ready' | 'replaced' | 'removed'
  readonly endpoint: EndpointEntry
}

/** If the entry of a running endpoint expired during a store outage, the endpoint registers again within this time after the outage. */
export const reregistrationWindowMs = 2100

interface NewestEntry {
  readonly startedAtMs: number | undefined
  readonly sequence: number
  /** Whether the endpoint drained, or its entry was removed. */
  readonly isLeaving: boolean
}

/** Limit of the remembered entries of endpoints that left; the oldest are forgotten first. */
const maxRememberedEntries = 5000

/** Distinguishes the incarnations of an endpoint id. */
function incarnationOf ({ address, startedAtMs }: EndpointEntry): string {
  return `${address} ${startedAtMs ?? ''}`
}

export class EndpointDirectory {
  readonly #endpoints = new Map<string, EndpointEntry>()
  /** Time at which each entry that disappeared from the store during an outage is removed, by endpoint id. */
  readonly #removeAtMs = new Map<string, number>()
  readonly #byService = new Map<string, readonly EndpointEntry[]>()
  /** Incarnations that announced their shutdown in a response, by endpoint id. They stay listed here when their entry is removed, because an entry may come back. */
  readonly #leaving = new Map<string, string>()
  /** The newest entry of each id, also of removed endpoints. */
  readonly #newest = new Map<string, NewestEntry>()
  readonly #evacuations: KnownEvacuations

  constructor (evacuations: KnownEvacuations = new KnownEvacuations({ isOffered: false })) {
    this.#evacuations = evacuations
  }

  /** Endpoints of a service that accept new requests, in failure domains that may be used. */
  ready (service: string): readonly EndpointEntry[] {
    let found = this.#byService.get(service)
    if (found === undefined) {
      found = [...this.#endpoints.values()].filter(endpoint => endpoint.service === service && !endpoint.isDraining && !this.#isLeaving(endpoint) && this.#evacuations.mayUse(endpoint.failureDomain))
      this.#byService.set(service, found)
    }
    return found
  }

  /** Whether all endpoints of a service that accept new requests are in failure domains that may not be used. */
  isEvacuated (service: string): boolean {
    if (this.ready(service).length > 0) return false
    return [...this.#endpoints.values()].some(endpoint => endpoint.service === service && !endpoint.isDraining && !this.#isLeaving(endpoint))
  }

  /** Applies that other failure domains may be used than before. */
  applyEvacuations (): void {
    this.#byService.clear()
  }

  all (): Iterable<EndpointEntry> {
    return this.#endpoints.values()
  }

  get (id: string): EndpointEntry | undefined {
    return this.#endpoints.get(id)
  }

  get size (): number {
    return this.#endpoints.size
  }

  /** Records that an endpoint announced its shutdown in a response. This incarnation gets no further requests, whatever its entry in the store says. Returns whether this was not known. */
  markLeaving (endpoint: EndpointEntry): boolean {
    if (this.#isLeaving(endpoint)) return false
    this.#leaving.delete(endpoint.id)
    this.#leaving.set(endpoint.id, incarnationOf(endpoint))
    if (this.#leaving.size > maxRememberedEntries) this.#leaving.delete(this.#leaving.keys().next().value!)
    this.#byService.clear()
    return true
  }

  #isLeaving (endpoint: EndpointEntry): boolean {
    return this.#leaving.get(endpoint.id) === incarnationOf(endpoint)
  }

  /**
   * Whether a newer state of the endpoint is known. A store that was restored from a
   * copy may list endpoints that have left since, until they or the store correct it.
   */
  isSuperseded (endpoint: EndpointEntry, isStoreRestored: boolean): boolean {
    const newest = this.#newest.get(endpoint.id)
    if (newest === undefined) return false
    if (newest.startedAtMs !== undefined && endpoint.startedAtMs !== undefined && endpoint.startedAtMs < newest.startedAtMs) return true
    const isSameIncarnation = newest.startedAtMs === endpoint.startedAtMs
    return isStoreRestored && isSameIncarnation && newest.isLeaving && !endpoint.isDraining && endpoint.sequence <= newest.sequence
  }

  #remember ({ id, startedAtMs, sequence }: EndpointEntry, isLeaving: boolean): void {
    this.#newest.delete(id)
    this.#newest.set(id, { startedAtMs, sequence, isLeaving })
    if (this.#newest.size > maxRememberedEntries) this.#newest.delete(this.#newest.keys().next().value!)
  }

  put (endpoint: EndpointEntry): DirectoryChange | undefined {
    const previous = this.#endpoints.get(endpoint.id)
    this.#remember(endpoint, endpoint.isDraining)
    this.#endpoints.set(endpoint.id, endpoint)
    this.#removeAtMs.delete(endpoint.id)
    this.#byService.clear()
    if (previous === undefined) return { kind: 'added', endpoint }
    if (previous.startedAtMs !== endpoint.startedAtMs || previous.address !== endpoint.address) return { kind: 'replaced', endpoint }
    if (previous.isDraining === endpoint.isDraining) return undefined
    return { kind: endpoint.isDraining ? 'draining' : 'ready', endpoint }
  }

  remove (id: string): DirectoryChange | undefined {
    const endpoint = this.#endpoints.get(id)
    if (endpoint === undefined) return undefined
    this.#remember(endpoint, true)
    this.#endpoints.delete(id)
    this.#removeAtMs.delete(id)
    this.#byService.clear()
    return { kind: 'removed', endpoint }
  }

  /** Keeps an entry that disappeared from the store during an outage until `removeAtMs`, so that its endpoint can register again. */
  scheduleRemoval (id: string, removeAtMs: number): void {
    if (this.#endpoints.has(id)) this.#removeAtMs.set(id, removeAtMs)
  }

  /** Removes the entries whose removal time has passed. */
  removeExpired (nowMs: number): readonly DirectoryChange[] {
    const changes: DirectoryChange[] = []
    for (const [id, removeAtMs] of this.#removeAtMs) {
      if (nowMs < removeAtMs) continue
      const change = this.remove(id)
      if (change !== undefined) changes.push(change)
    }
    return changes
  }

  /** Known ids that are missing from a full list of the store. */
  missingFrom (listed: ReadonlySet<string>): readonly string[] {
    return [...this.#endpoints.keys()].filter(id => !listed.has(id))
  }
}
