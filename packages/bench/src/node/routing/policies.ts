/** Policies by which a simulated router chooses an endpoint. */
import { chooseEndpoint, HashRing, subsetFor, type Candidate, type Hasher, type LoadReport } from '@buckthorndrift/policy'
import type { SimulatedEndpoint } from './simulatedEndpoint.ts'

/** State of one endpoint as known to one router. */
export interface EndpointView {
  readonly endpoint: SimulatedEndpoint
  /** Latest load report, which comes with responses of the endpoint. */
  report: LoadReport | undefined
  /** Requests in flight from this router. */
  ownInFlight: number
  avoidUntilMs: number
}

export interface PolicyInput {
  readonly views: readonly EndpointView[]
  /** Identifies the prompt prefix of the request. */
  readonly prefix: number
  readonly triedIds: ReadonlySet<string>
  readonly nowMs: number
  /** Returns uniformly distributed numbers in [0, 1). */
  readonly random: () => number
}

/** Returns the endpoint for the next attempt, or `undefined` when there is none. */
export type Policy = (input: PolicyInput) => EndpointView | undefined
export type PolicyName = 'roundRobin' | 'leastInFlight' | 'chosen'

/** Chooses by the router's own requests in flight, without load reports. */
function chooseLeastInFlight ({ views, triedIds, random }: PolicyInput): EndpointView | undefined {
  const untried = views.filter(view => !triedIds.has(view.endpoint.id))
  const least = Math.min(...untried.map(view => view.ownInFlight))
  const best = untried.filter(view => view.ownInFlight === least)
  return best[Math.floor(random() * best.length)]
}

function createRoundRobin (start: number): Policy {
  let next = start
  return ({ views, triedIds }) => {
    for (let step = 0; step < views.length; step++) {
      const view = views[next++ % views.length]
      if (view !== undefined && !triedIds.has(view.endpoint.id)) return view
    }
    return undefined
  }
}

function toCandidate (view: EndpointView): Candidate {
  return {
    id: view.endpoint.id,
    failureDomain: view.endpoint.failureDomain,
    limit: view.endpoint.model.concurrencyLimit,
    report: view.report,
    ownInFlight: view.ownInFlight,
    avoidUntilMs: view.avoidUntilMs,
    isSuspected: false
  }
}

/** Number of endpoints to which requests with the same prompt prefix are preferably sent, so that the prefix is found in their cache. */
const affinityEndpointCount = 3

/** The endpoint selection of @buckthorndrift/policy. */
function createChosenPolicy (hasher: Hasher, routerId: string, failureDomain: string, endpoints: readonly SimulatedEndpoint[]): Policy {
  const subset = new Set(subsetFor(hasher, routerId, failureDomain, endpoints).map(endpoint => endpoint.id))
  const local = endpoints.filter(endpoint => endpoint.failureDomain === failureDomain)
  const ring = new HashRing(hasher, local.map(endpoint => endpoint.id))
  return ({ views, prefix, triedIds, nowMs, random }) => {
    const affinity = ring.successors(hasher(String(prefix)), affinityEndpointCount)
    const usable = views.filter(view => subset.has(view.endpoint.id) || affinity.includes(view.endpoint.id))
    const id = chooseEndpoint({ candidates: usable.map(toCandidate), failureDomain, affinity, tried: triedIds, nowMs, random })
    return usable.find(view => view.endpoint.id === id)
  }
}

export interface PolicyContext {
  readonly hasher: Hasher
  readonly routerId: string
  readonly routerIndex: number
  readonly failureDomain: string
  readonly endpoints: readonly SimulatedEndpoint[]
}

/** Creates the policy of one router. */
export function createPolicy (name: PolicyName, { hasher, routerId, routerIndex, failureDomain, endpoints }: PolicyContext): Policy {
  switch (name) {
    case 'roundRobin': return createRoundRobin(routerIndex)
    case 'leastInFlight': return chooseLeastInFlight
    case 'chosen': return createChosenPolicy(hasher, routerId, failureDomain, endpoints)
  }
}
