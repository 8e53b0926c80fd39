/** Which router reserves for a budget. */
import { rankCandidates } from './hashing.ts'

export interface PlacementRouter {
  readonly id: string
  readonly failureDomain: string
}

export interface Homes {
  /** Home of the shard in the own failure domain. */
  readonly domainHome: string | undefined
  /** Home of the shard in the whole fleet; reservations concentrate there. */
  readonly collector: string | undefined
}

/** Homes of a shard among the routers that are registered and not suspected. */
export function homesOf (shard: number, failureDomain: string, routers: readonly PlacementRouter[]): Homes {
  const key = `budgets/${shard}`
  const own = routers.filter(router => router.failureDomain === failureDomain)
  return {
    domainHome: rankCandidates(key, own.map(router => router.id))[0],
    collector: rankCandidates(key, routers.map(router => router.id))[0]
  }
}

export interface RouteInput {
  readonly homes: Homes
  /** Rate of reservations of this router for the budget, in requests per second. */
  readonly requestsPerSecond: number
  /** Routers of the own failure domain. */
  readonly domainRouters: number
  /** The domain's home refused a short time ago, so the end of the budget may be near. */
  readonly isTight: boolean
}

/**
 * Requests per second and failure domain from which a budget gets a slice in
 * each domain. Below, a slice per domain would cost more writes of the shard
 * than it saves calls between domains.
 */
export const spreadRequestsPerSecond = 20

/**
 * Routers to ask, in order. A budget drawn on seldom is reserved at the
 * collector, so that its tokens are not split; a busy one in its own domain,
 * until its end is near.
 */
export function selectRouters (input: RouteInput): readonly string[] {
  const { domainHome, collector } = input.homes
  const isSpread = !input.isTight && input.requestsPerSecond * input.domainRouters >= spreadRequestsPerSecond
  const order = isSpread ? [domainHome, collector] : [collector, domainHome]
  return [...new Set(order.filter(id => id !== undefined))]
}

/** The router of a holder `<routerId>.<incarnation>`, which may have a number of its own after the incarnation. */
export function isHolderOf (holder: string, router: { readonly id: string, readonly incarnation: string }): boolean {
  const base = `${router.id}.${router.incarnation}`
  return holder === base || (holder.startsWith(`${base}-`) && /^\d+$/.test(holder.slice(base.length + 1)))
}

/** Name of a router's `number`-th holder in one incarnation; the first has the plain name. */
export function holderName (router: { readonly id: string, readonly incarnation: string }, number: number): string {
  const base = `${router.id}.${router.incarnation}`
  return number === 1 ? base : `${base}-${number}`
}
