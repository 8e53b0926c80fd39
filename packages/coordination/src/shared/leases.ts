/** Leases of a process: campaigns of the highest-ranked routers for each duty. */
import { serviceKey, type Log, type TimerService } from '@buckthorndrift/kernel'
import { campaignForLease, type Lease, type LeaseTuning } from './lease.ts'
import type { Membership } from './membership.ts'
import type { ObjectStore } from './objectStore.ts'
import { rankByHash } from './ranking.ts'

export interface Leases {
  /** Campaigns for `leases/<duty>` while this process is among the highest-ranked reachable routers; one campaign per duty. */
  campaign (duty: string): Lease
}

export const leasesKey = serviceKey<Leases>('leases')

/** Routers that look for a lease; the other ones make no calls. */
export const leaseCandidates = 3

export interface LeasesServiceOptions {
  readonly membership: Membership
  readonly store: ObjectStore
  readonly timers: TimerService
  readonly log: Log
  /** Numbers from 0 below 1. */
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
    const running = this.#campaigns.get(duty)
    if (running !== undefined) return running
    const { self } = this.#options.membership
    const lease = campaignForLease({ ...this.#options, duty, holder: `${self.id}.${self.incarnation}`, isCandidate: () => this.#isCandidate(duty) })
    this.#campaigns.set(duty, lease)
    return lease
  }

  /** Gives back all leases. */
  async close (): Promise<void> {
    await Promise.all([...this.#campaigns.values()].map(lease => lease.release()))
  }

  #isCandidate (duty: string): boolean {
    const { membership } = this.#options
    const ids = membership.routers({ isReachable: true }).filter(router => !router.leaving).map(router => router.id)
    return rankByHash(`lease ${duty}`, ids).slice(0, leaseCandidates).includes(membership.self.id)
  }
}
