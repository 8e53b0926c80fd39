/** Tracks the load of each endpoint as this router knows it, and chooses endpoints by it. */
import { avoidanceMs, chooseEndpoint, HashRing, subsetFor, type Candidate, type Hasher, type LoadReport } from '@buckthorndrift/policy'
import type { TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import type { Membership } from '@buckthorndrift/coordination'
import { loadSchema, type Member } from '@buckthorndrift/protocol'

/** What this router knows about one incarnation of an endpoint process. */
interface EndpointState {
  report: LoadReport | undefined
  ownInFlight: number
  avoidUntilMs: number
  consecutiveFailures: number
}

/** Endpoints of one version of a service. */
interface EndpointGroup {
  readonly byKey: ReadonlyMap<string, Member>
  readonly subset: readonly string[]
  readonly ring: HashRing
}

export interface EndpointSelectorOptions {
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
  /** Keys of endpoints already tried, see `endpointKey`. */
  readonly tried: ReadonlySet<string>
}

/** Number of endpoints on the hash ring that are preferred for requests with the same prompt prefix. All other endpoints are compared by load only. */
const affinityCandidateCount = 3

/** Key of one incarnation of an endpoint process: after a restart the process is a new candidate. */
export function endpointKey (endpoint: Member): string {
  return `${endpoint.id}.${endpoint.incarnation}`
}

export class EndpointSelector {
  readonly #options: EndpointSelectorOptions
  readonly #states = new Map<string, EndpointState>()
  readonly #groups = new Map<string, EndpointGroup>()
  readonly #unsubscribe: Unsubscribe

  constructor (options: EndpointSelectorOptions) {
    this.#options = options
    this.#unsubscribe = options.membership.subscribe(() => { this.#refresh() })
  }

  /** Chooses the endpoint for a request; `undefined` when none can take it. */
  choose (request: ChoiceRequest): Member | undefined {
    const { membership, timers, random, hasher } = this.#options
    const group = this.#groupFor(request.service, request.version)
    const affinity = request.prefix === undefined ? [] : group.ring.successors(hasher(request.prefix), affinityCandidateCount)
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

  /** Counts a request of this router at the endpoint until the returned function is called. */
  trackRequest (endpoint: Member): () => void {
    const state = this.#stateOf(endpointKey(endpoint))
    state.ownInFlight += 1
    let isTracked = true
    return () => {
      if (isTracked) state.ownInFlight -= 1
      isTracked = false
    }
  }

  /** Records the load report of a `bd-load` header; a malformed header is ignored. */
  recordLoad (endpoint: Member, header: string | readonly string[] | undefined): void {
    if (typeof header !== 'string') return
    const load = parseLoad(header)
    if (load === undefined) return
    const state = this.#stateOf(endpointKey(endpoint))
    state.report = { ...load, atMs: this.#options.timers.monotonicMs(), ownInFlight: state.ownInFlight }
  }

  /** Avoids an endpoint for a short time after it refused a request because it was full. */
  recordFull (endpoint: Member): void {
    this.#avoid(this.#stateOf(endpointKey(endpoint)), this.#options.avoidFullMs)
  }

  /** Avoids an endpoint that fails repeatedly, for longer each time, even if it reports itself as healthy. */
  recordFailure (endpoint: Member): void {
    const state = this.#stateOf(endpointKey(endpoint))
    state.consecutiveFailures += 1
    this.#avoid(state, avoidanceMs(state.consecutiveFailures))
  }

  recordSuccess (endpoint: Member): void {
    this.#stateOf(endpointKey(endpoint)).consecutiveFailures = 0
  }

  /** Excludes an endpoint that has refused a request because it is leaving, before the registry shows this. */
  recordLeaving (endpoint: Member): void {
    const state = this.#stateOf(endpointKey(endpoint))
    const base = state.report ?? { inFlight: 0, limit: 1, queued: 0, healthy: true }
    state.report = { ...base, leaving: true, atMs: this.#options.timers.monotonicMs(), ownInFlight: state.ownInFlight }
  }

  close (): void {
    this.#unsubscribe()
  }

  /** Adds jitter to the duration, so that routers do not return to the endpoint all at once. */
  #avoid (state: EndpointState, durationMs: number): void {
    const { timers, random } = this.#options
    state.avoidUntilMs = Math.max(state.avoidUntilMs, timers.monotonicMs() + durationMs * (0.5 + random()))
  }

  #candidate (key: string, endpoint: Member, limit: number): Candidate {
    const state = this.#states.get(key)
    return {
      id: key,
      failureDomain: endpoint.failureDomain,
      limit,
      report: state?.report,
      ownInFlight: state?.ownInFlight ?? 0,
      avoidUntilMs: state?.avoidUntilMs ?? 0,
      isSuspected: this.#options.membership.isSuspected(endpoint.id)
    }
  }

  #stateOf (key: string): EndpointState {
    const existing = this.#states.get(key)
    if (existing !== undefined) return existing
    const state: EndpointState = { report: undefined, ownInFlight: 0, avoidUntilMs: 0, consecutiveFailures: 0 }
    this.#states.set(key, state)
    return state
  }

  #groupFor (service: string, version: string): EndpointGroup {
    const name = `${service} ${version}`
    const existing = this.#groups.get(name)
    if (existing !== undefined) return existing
    const { membership, hasher } = this.#options
    const endpoints = membership.endpoints(service).filter(endpoint => endpoint.version === version && !endpoint.leaving)
    const subset = subsetFor(hasher, membership.self.id, membership.self.failureDomain, endpoints)
    const local = endpoints.filter(endpoint => endpoint.failureDomain === membership.self.failureDomain)
    const group: EndpointGroup = {
      byKey: new Map(endpoints.map(endpoint => [endpointKey(endpoint), endpoint])),
      subset: subset.map(endpointKey),
      ring: new HashRing(hasher, (local.length > 0 ? local : endpoints).map(endpointKey))
    }
    this.#groups.set(name, group)
    return group
  }

  #refresh (): void {
    this.#groups.clear()
    const present = new Set(this.#options.membership.endpoints().map(endpointKey))
    for (const [key, state] of this.#states) {
      if (!present.has(key) && state.ownInFlight === 0) this.#states.delete(key)
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
