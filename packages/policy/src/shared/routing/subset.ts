/** The endpoints that one router uses, so that connections do not grow with routers times endpoints. */
import type { Hasher } from './hasher.ts'
import { rankByRendezvous } from './rendezvous.ts'

/** Endpoints of the own failure domain in a subset; with 370 routers each endpoint is in about 20 to 30 subsets. */
export const localSubsetSize = 24
/** Endpoints of other failure domains in a subset. */
export const remoteSubsetSize = 12

/** The router's subset, chosen by rendezvous hashing so that few members change when an endpoint comes or goes. */
export function subsetFor<Endpoint extends { readonly id: string, readonly failureDomain: string }> (
  hasher: Hasher, routerId: string, failureDomain: string, endpoints: readonly Endpoint[]
): readonly Endpoint[] {
  if (endpoints.length <= localSubsetSize) return endpoints
  const ranked = rankByRendezvous(hasher, routerId, endpoints)
  return [
    ...ranked.filter(endpoint => endpoint.failureDomain === failureDomain).slice(0, localSubsetSize),
    ...ranked.filter(endpoint => endpoint.failureDomain !== failureDomain).slice(0, remoteSubsetSize)
  ]
}
