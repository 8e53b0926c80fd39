/** Limits the endpoints of a request by their version while a version of their service is rolled out. */
import type { EndpointEntry, RolloutOrder } from './fleet.ts'

/** Time for which an endpoint of an unknown version waits for an order of a rollout, which may arrive after its entry. */
const unknownVersionHoldMs = 2000

/** The rollout of a service as it concerns placement. */
export interface GatedRollout {
  readonly order: RolloutOrder
  /** Share of the requests that the target gets now. */
  readonly targetShare: number
}

export interface VersionGateInput {
  readonly service: string
  readonly endpoints: readonly EndpointEntry[]
  readonly rollout: GatedRollout | undefined
  /** Whether the request was already sent to an endpoint. It is not repeated at a version under trial. */
  readonly isRepeated: boolean
  /** Uniform in [0, 1). */
  readonly random: number
  readonly nowMs: number
}

export class VersionGate {
  /** Versions of each service that get requests without a rollout. */
  readonly #established = new Map<string, Set<string>>()
  /** Time at which a version without a rollout was first seen, by service and version. */
  readonly #firstSeenMs = new Map<string, number>()

  /** Endpoints that may get the request. */
  eligible (input: VersionGateInput): readonly EndpointEntry[] {
    const { endpoints, rollout } = input
    const known = this.#knownVersions(input)
    if (rollout === undefined) return known
    const { target, state } = rollout.order
    const ofTarget = endpoints.filter(endpoint => endpoint.version === target)
    const others = known.filter(endpoint => endpoint.version !== target)
    switch (state) {
      case 'completed':
        this.#established.get(input.service)?.add(target)
        return ofTarget.length > 0 ? ofTarget : others
      case 'rolledBack':
        return others
      case 'ordered':
      case 'running':
        if (others.length === 0) return ofTarget
        return !input.isRepeated && input.random < rollout.targetShare && ofTarget.length > 0 ? ofTarget : others
    }
  }

  /** Without the endpoints whose version is neither established nor under a rollout, for as long as an order may follow. */
  #knownVersions ({ service, endpoints, rollout, nowMs }: VersionGateInput): readonly EndpointEntry[] {
    const target = rollout?.order.target
    let established = this.#established.get(service)
    if (established === undefined) {
      if (endpoints.length === 0) return endpoints
      established = new Set(endpoints.map(endpoint => endpoint.version).filter(version => version !== target))
      this.#established.set(service, established)
    }
    for (const { version } of endpoints) {
      if (established.has(version) || version === target) continue
      const key = JSON.stringify([service, version])
      const firstSeenMs = this.#firstSeenMs.get(key) ?? nowMs
      this.#firstSeenMs.set(key, firstSeenMs)
      if (nowMs - firstSeenMs >= unknownVersionHoldMs) established.add(version)
    }
    const known = endpoints.filter(({ version }) => established.has(version) || version === target)
    return known.length > 0 ? known : endpoints
  }
}
