/** Ways to choose an endpoint, as one simulated router uses them. */
import { chooseEndpoint, HashRing, subsetFor, type Candidate, type Hasher, type LoadReport } from '@buckthorndrift/policy'
import type { SimulatedEndpoint } from './simulatedEndpoint.ts'

/** What one router knows about one endpoint. */
export interface EndpointView {
  readonly endpoint: SimulatedEndpoint
  report: LoadReport | undefined
  ownInFlight: number
  avoidUntilMs: number
}

export interface PolicyInput {
  readonly views: readonly EndpointView[]
  readonly prefix: number
  readonly tried: ReadonlySet<string>
  readonly nowMs: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

export type Policy = (input: PolicyInput) => EndpointView | undefined
export type PolicyName = 'roundRobin' | 'leastInFlight' | 'chosen'

/** Own requests in flight only, without reports. */
function leastInFlight ({ views, tried, random }: PolicyInput): EndpointView | undefined {
  const open = views.filter(view => !tried.has(view.endpoint.id))
  const least = Math.min(...open.map(view => view.ownInFlight))
  const best = open.filter(view => view.ownInFlight === least)
  return best[Math.floor(random() * best.length)]
}

function roundRobin (start: number): Policy {
  let next = start
  return ({ views, tried }) => {
    for (let step = 0; step < views.length; step++) {
      const view = views[next++ % views.length]
      if (view !== undefined && !tried.has(view.endpoint.id)) return view
    }
    return undefined
  }
}

function candidateOf (view: EndpointView): Candidate {
  return {
    id: view.endpoint.id,
    failureDomain: view.endpoint.failureDomain,
    limit: view.endpoint.model.limit,
    report: view.report,
    ownInFlight: view.ownInFlight,
    avoidUntilMs: view.avoidUntilMs,
    isSuspected: false
  }
}

const affinityDepth = 3

function chosen (hasher: Hasher, routerId: string, failureDomain: string, endpoints: readonly SimulatedEndpoint[]): Policy {
  const subset = new Set(subsetFor(hasher, routerId, failureDomain, endpoints).map(endpoint => endpoint.id))
  const local = endpoints.filter(endpoint => endpoint.failureDomain === failureDomain)
  const ring = new HashRing(hasher, local.map(endpoint => endpoint.id))
  return ({ views, prefix, tried, nowMs, random }) => {
    const affinity = ring.successors(hasher(String(prefix)), affinityDepth)
    const usable = views.filter(view => subset.has(view.endpoint.id) || affinity.includes(view.endpoint.id))
    const id = chooseEndpoint({ candidates: usable.map(candidateOf), failureDomain, affinity, tried, nowMs, random })
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
    case 'roundRobin': return roundRobin(routerIndex)
    case 'leastInFlight': return leastInFlight
    case 'chosen': return chosen(hasher, routerId, failureDomain, endpoints)
  }
}
