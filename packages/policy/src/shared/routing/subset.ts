/** Selects the endpoints that a router uses, so that the number of connections does not grow with routers times endpoints. */
import type { Hasher } from './hasher.ts'
import { rankByRendezvous } from './rendezvous.ts'

/** Maximum number of endpoints of the router's own failure domain in its subset. With 370 routers, each endpoint is in about 20 to 30 subsets. */
export const localSubsetSize = 24
/** Maximum number of endpoints of other failure domains in the subset. */
export const remoteSubsetSize = 12

/** Selects a router's subset by rendezvous hashing, so that few of its endpoints change when an endpoint joins or leaves. */
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
