/** Order in which routers are asked to sum up the loads. All routers that know the same fleet derive the same order, so that no agreement is needed. */
import { rankByRendezvous, type Hasher } from '../routing/index.ts'

export interface AggregatorCandidate {
  readonly id: string
  /** Processor cores of its VM; `undefined` if it did not tell. */
  readonly processorCores: number | undefined
}

/** Number of routers from which loads are shared. With fewer, the requests of one router say enough of an engine. */
const minRouters = 16
/** Key of the rendezvous hash. */
const rankKey = 'engine-load'
/** Part of the most cores from which a VM counts as large. */
const largeShare = 0.5

/** Returns the routers in the order in which they are asked, those on large VMs first; none where loads are not worth sharing. */
export function rankAggregators <Router extends AggregatorCandidate> (hasher: Hasher, routers: readonly Router[]): readonly Router[] {
  if (routers.length < minRouters) return []
  const mostCores = Math.max(...routers.map(({ processorCores }) => processorCores ?? 0))
  const isLarge = ({ processorCores }: Router): boolean => (processorCores ?? 0) >= mostCores * largeShare
  const ranked = rankByRendezvous(hasher, rankKey, routers)
  return [...ranked.filter(isLarge), ...ranked.filter(router => !isLarge(router))]
}
