/**
 * Endpoint processes that vanished without a handover while this router
 * watched. What they ran is not known, so a reclaim counts slices wholly.
 */
import type { Membership } from '@buckthorndrift/platform'
import type { ReclaimEndpoint, ReclaimHandover } from '@buckthorndrift/policy'

/** How long a loss is remembered; longer than a holder needs to flush what was running then. */
export const lossMemoryMs = 3_600_000

interface Vanished {
  readonly endpoint: ReclaimEndpoint
  readonly atMs: number
}

export class EndpointLosses {
  #known = new Map<string, ReclaimEndpoint & { readonly leaving: boolean }>()
  #vanished: Vanished[] = []

  /** Compares the registry with the last look at it. */
  look (membership: Membership, nowMs: number): void {
    const present = new Map(membership.endpoints().map(member => [`${member.id}.${member.incarnation}`, member]))
    for (const [key, endpoint] of this.#known) {
      // A leaving endpoint finishes what runs and hands its entries over.
      if (!present.has(key) && !endpoint.leaving) this.#vanished.push({ endpoint, atMs: nowMs })
    }
    this.#vanished = this.#vanished.filter(({ atMs }) => nowMs - atMs < lossMemoryMs)
    this.#known = present
  }

  /** An endpoint that took itself out of the registry leaves its VM alive and its id free. */
  hasLoss (registered: readonly ReclaimEndpoint[], liveVms: ReadonlySet<string>, handovers: readonly ReclaimHandover[]): boolean {
    return this.#vanished.some(({ endpoint }) => {
      const isHandedOver = handovers.some(({ endpointId, incarnation }) => endpointId === endpoint.id && incarnation === endpoint.incarnation)
      const isReplaced = registered.some(other => other.id === endpoint.id && other.incarnation !== endpoint.incarnation)
      return !isHandedOver && (isReplaced || !liveVms.has(endpoint.vm))
    })
  }
}
