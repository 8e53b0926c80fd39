/** Leases of a process. For each duty, only the highest-ranked routers campaign. */
import { serviceKey, type Log, type TimerService } from '@buckthorndrift/kernel'
import { campaignForLease, type Lease, type LeaseTuning } from './lease.ts'
import type { Membership } from './membership.ts'
import type { ObjectStore } from './objectStore.ts'
import { rankByHash } from './ranking.ts'

export interface Leases {
  /** Campaigns for `leases/<duty>` while this process is among the highest-ranked reachable routers. Later calls for the same duty return the same lease. */
  campaign (duty: string): Lease
}

export const leasesKey = serviceKey<Leases>('leases')

/** Routers that try to acquire a lease; the others make no API calls for it. */
export const maxLeaseCandidates = 3

export interface LeasesServiceOptions {
  readonly membership: Membership
  readonly store: ObjectStore
  readonly timers: TimerService
  readonly log: Log
  /** Returns a random number in [0, 1). */
  readonly random: () => number
  readonly tuning: LeaseTuning
}

export class LeasesService implements Leases {
  readonly #options: LeasesServiceOptions
  readonly #campaigns = new Map<string, Lease>()

  constructor (options: LeasesServiceOptions) {
    this.#options = options
  }

  campaign (duty: string): Lease {
    const existing = this.#campaigns.get(duty)
    if (existing !== undefined) return existing
    const { self } = this.#options.membership
    const lease = campaignForLease({ ...this.#options, duty, holder: `${self.id}.${self.incarnation}`, isCandidate: () => this.#isCandidate(duty) })
    this.#campaigns.set(duty, lease)
    return lease
  }

  /** Releases all leases. */
  async close (): Promise<void> {
    await Promise.all([...this.#campaigns.values()].map(lease => lease.release()))
  }

  #isCandidate (duty: string): boolean {
    const { membership } = this.#options
    const ids = membership.routers({ isReachable: true }).filter(router => !router.leaving).map(router => router.id)
    return rankByHash(`lease ${duty}`, ids).slice(0, maxLeaseCandidates).includes(membership.self.id)
  }
}
