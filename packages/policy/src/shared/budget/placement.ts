/** Selects the routers at which tokens of a budget are reserved, and names their holders. */
import { rankCandidates } from './hashing.ts'

export interface PlacementRouter {
  readonly id: string
  readonly failureDomain: string
}

/** Ids of the preferred routers of a shard. Rendezvous hashing gives all routers the same result. */
export interface Homes {
  /** Preferred router of the shard in the asking router's failure domain. */
  readonly domainHome: string | undefined
  /** Preferred router of the shard in the whole fleet; reservations of all failure domains may go there. */
  readonly collector: string | undefined
}

/** Homes of a shard among `routers`, which should be registered and reachable. */
export function homesOf (shard: number, failureDomain: string, routers: readonly PlacementRouter[]): Homes {
  const key = `budgets/${shard}`
  const own = routers.filter(router => router.failureDomain === failureDomain)
  return {
    domainHome: rankCandidates(key, own.map(router => router.id))[0],
    collector: rankCandidates(key, routers.map(router => router.id))[0]
  }
}

export interface SelectRoutersInput {
  readonly homes: Homes
  /** Rate at which this router reserves from the budget. */
  readonly requestsPerSecond: number
  /** Number of routers in the own failure domain. */
  readonly domainRouterCount: number
  /** Whether a home reported the budget as exhausted a short time ago, so that few tokens may be left. */
  readonly isScarce: boolean
}

/**
 * Request rate in a failure domain from which a budget is reserved at the preferred
 * router of that domain. At lower rates a slice per domain would cost more writes
 * of the shard than it saves calls between domains.
 */
export const spreadRequestsPerSecond = 20

/**
 * Selects the routers to ask for a reservation, in order. A budget with few
 * requests is reserved at the collector, so that its tokens are not split over
 * several slices. A busy one is reserved in the own failure domain, until its
 * tokens become scarce.
 */
export function selectRouters (input: SelectRoutersInput): readonly string[] {
  const { domainHome, collector } = input.homes
  const isSpread = !input.isScarce && input.requestsPerSecond * input.domainRouterCount >= spreadRequestsPerSecond
  const order = isSpread ? [domainHome, collector] : [collector, domainHome]
  return [...new Set(order.filter(id => id !== undefined))]
}

/** Whether the holder belongs to this process of the router: `<routerId>.<incarnation>` or `<routerId>.<incarnation>-<number>`. */
export function isHolderOf (holder: string, router: { readonly id: string, readonly incarnation: string }): boolean {
  const base = `${router.id}.${router.incarnation}`
  return holder === base || (holder.startsWith(`${base}-`) && /^\d+$/.test(holder.slice(base.length + 1)))
}

/** Name of the `number`-th holder of a router process; the first has no suffix. A process takes a new holder when the last one is fenced. */
export function holderName (router: { readonly id: string, readonly incarnation: string }, number: number): string {
  const base = `${router.id}.${router.incarnation}`
  return number === 1 ? base : `${base}-${number}`
}
