/** What this router knows about the load of each endpoint, and the choice based on it. */
import { avoidanceMs, chooseEndpoint, HashRing, subsetFor, type Candidate, type Hasher, type LoadReport } from '@buckthorndrift/policy'
import type { TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import type { Membership } from '@buckthorndrift/coordination'
import { loadSchema, type Member } from '@buckthorndrift/protocol'

interface Entry {
  report: LoadReport | undefined
  ownInFlight: number
  avoidUntilMs: number
  consecutiveFailures: number
}

interface Group {
  readonly byKey: ReadonlyMap<string, Member>
  readonly subset: readonly string[]
  readonly ring: HashRing
}

export interface EndpointBookOptions {
  readonly membership: Membership
  readonly timers: TimerService
  readonly hasher: Hasher
  /** Uniform in [0, 1). */
  readonly random: () => number
  readonly avoidFullMs: number
}

export interface ChoiceRequest {
  readonly service: string
  readonly version: string
  readonly limit: number
  readonly prefix: string | undefined
  /** Keys of endpoints already tried, see `entryKey`. */
  readonly tried: ReadonlySet<string>
}

/** Endpoints on the ring that a prefix may go to before the load decides alone. */
const affinityDepth = 3

/** An endpoint process that starts again is another candidate. */
export function entryKey (endpoint: Member): string {
  return `${endpoint.id}.${endpoint.incarnation}`
}

export class EndpointBook {
  readonly #options: EndpointBookOptions
  readonly #entries = new Map<string, Entry>()
  readonly #groups = new Map<string, Group>()
  readonly #unsubscribe: Unsubscribe

  constructor (options: EndpointBookOptions) {
    this.#options = options
    this.#unsubscribe = options.membership.subscribe(() => { this.#refresh() })
  }

  /** The endpoint for a request; `undefined` when none can take it. */
  choose (request: ChoiceRequest): Member | undefined {
    const { membership, timers, random, hasher } = this.#options
    const group = this.#groupFor(request.service, request.version)
    const affinity = request.prefix === undefined ? [] : group.ring.successors(hasher(request.prefix), affinityDepth)
    const chosen = chooseEndpoint({
      candidates: [...new Set([...group.subset, ...affinity])].flatMap(key => {
        const endpoint = group.byKey.get(key)
        return endpoint === undefined ? [] : [this.#candidate(key, endpoint, request.limit)]
      }),
      failureDomain: membership.self.failureDomain,
      affinity,
      tried: request.tried,
      nowMs: timers.monotonicMs(),
      random
    })
    return chosen === undefined ? undefined : group.byKey.get(chosen)
  }

  /** Counts a request of this router; the returned function ends it. */
  begin (endpoint: Member): () => void {
    const entry = this.#entry(entryKey(endpoint))
    entry.ownInFlight += 1
    let isOpen = true
    return () => {
      if (isOpen) entry.ownInFlight -= 1
      isOpen = false
    }
  }

  /** Takes a `bd-load` header; one that cannot be read is left out. */
  noteLoad (endpoint: Member, header: string | readonly string[] | undefined): void {
    if (typeof header !== 'string') return
    const load = parseLoad(header)
    if (load === undefined) return
    const entry = this.#entry(entryKey(endpoint))
    entry.report = { ...load, atMs: this.#options.timers.monotonicMs(), ownInFlight: entry.ownInFlight }
  }

  /** Avoids an endpoint that refused as full for a moment. */
  noteFull (endpoint: Member): void {
    this.#avoid(this.#entry(entryKey(endpoint)), this.#options.avoidFullMs)
  }

  /** Avoids an endpoint that keeps failing, for longer each time, although it reports itself as healthy. */
  noteFailure (endpoint: Member): void {
    const entry = this.#entry(entryKey(endpoint))
    entry.consecutiveFailures += 1
    this.#avoid(entry, avoidanceMs(entry.consecutiveFailures))
  }

  noteSuccess (endpoint: Member): void {
    this.#entry(entryKey(endpoint)).consecutiveFailures = 0
  }

  /** Leaves an endpoint out that says it is leaving, before the registry does. */
  noteLeaving (endpoint: Member): void {
    const entry = this.#entry(entryKey(endpoint))
    const base = entry.report ?? { inFlight: 0, limit: 1, queued: 0, healthy: true }
    entry.report = { ...base, leaving: true, atMs: this.#options.timers.monotonicMs(), ownInFlight: entry.ownInFlight }
  }

  close (): void {
    this.#unsubscribe()
  }

  /** The time is spread so that routers do not return together. */
  #avoid (entry: Entry, durationMs: number): void {
    const { timers, random } = this.#options
    entry.avoidUntilMs = Math.max(entry.avoidUntilMs, timers.monotonicMs() + durationMs * (0.5 + random()))
  }

  #candidate (key: string, endpoint: Member, limit: number): Candidate {
    const entry = this.#entries.get(key)
    return {
      id: key,
      failureDomain: endpoint.failureDomain,
      limit,
      report: entry?.report,
      ownInFlight: entry?.ownInFlight ?? 0,
      avoidUntilMs: entry?.avoidUntilMs ?? 0,
      isSuspected: this.#options.membership.isSuspected(endpoint.id)
    }
  }

  #entry (key: string): Entry {
    const known = this.#entries.get(key)
    if (known !== undefined) return known
    const entry: Entry = { report: undefined, ownInFlight: 0, avoidUntilMs: 0, consecutiveFailures: 0 }
    this.#entries.set(key, entry)
    return entry
  }

  #groupFor (service: string, version: string): Group {
    const name = `${service} ${version}`
    const known = this.#groups.get(name)
    if (known !== undefined) return known
    const { membership, hasher } = this.#options
    const endpoints = membership.endpoints(service).filter(endpoint => endpoint.version === version && !endpoint.leaving)
    const subset = subsetFor(hasher, membership.self.id, membership.self.failureDomain, endpoints)
    const local = endpoints.filter(endpoint => endpoint.failureDomain === membership.self.failureDomain)
    const group: Group = {
      byKey: new Map(endpoints.map(endpoint => [entryKey(endpoint), endpoint])),
      subset: subset.map(entryKey),
      ring: new HashRing(hasher, (local.length > 0 ? local : endpoints).map(entryKey))
    }
    this.#groups.set(name, group)
    return group
  }

  #refresh (): void {
    this.#groups.clear()
    const present = new Set(this.#options.membership.endpoints().map(entryKey))
    for (const [key, entry] of this.#entries) {
      if (!present.has(key) && entry.ownInFlight === 0) this.#entries.delete(key)
    }
  }
}

function parseLoad (header: string) {
  try {
    const parsed = loadSchema.safeParse(JSON.parse(header))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
