/** Limits the endpoints of a request by their version while a version of their service is rolled out. */
import type { EndpointEntry, RolloutOrder } from './fleet.ts'

/** Time for which an endpoint of an unknown version waits for an order of a rollout, which may arrive after its entry. */
const unknownVersionHoldMs = 2000

/** The rollout of a service as it concerns placement. */
export interface GatedRollout {
  readonly order: RolloutOrder
  /** Whether this router knows that the target is bad, which the store may not show yet. */
  readonly isStopped: boolean
  /** Endpoints of the target that get the request; empty if it goes to another version. */
  chooseTargets (ofTarget: readonly EndpointEntry[]): readonly EndpointEntry[]
}

export interface VersionGateInput {
  readonly service: string
  readonly endpoints: readonly EndpointEntry[]
  readonly rollout: GatedRollout | undefined
  /** Whether the request was already sent to an endpoint. It is not repeated at a version under trial. */
  readonly isRepeated: boolean
  readonly nowMs: number
}

export class VersionGate {
  /** Versions of each service that get requests without a rollout. */
  readonly #established = new Map<string, Set<string>>()
  /** Versions of each service whose rollout was rolled back. They get no requests until a new order names them. */
  readonly #rolledBack = new Map<string, Set<string>>()
  /** Time at which a version without a rollout was first seen, by service and version. */
  readonly #firstSeenMs = new Map<string, number>()

  /** Endpoints that may get the request. */
  eligible (input: VersionGateInput): readonly EndpointEntry[] {
    const { service, endpoints, rollout } = input
    if (rollout !== undefined) this.#applyState(service, rollout)
    const known = this.#knownVersions(input)
    if (rollout === undefined) return known
    const { target, state } = rollout.order
    const ofTarget = endpoints.filter(endpoint => endpoint.version === target)
    const others = known.filter(endpoint => endpoint.version !== target)
    if (rollout.isStopped) return others
    switch (state) {
      case 'completed':
        return ofTarget.length > 0 ? ofTarget : others
      case 'rolledBack':
        return others
      case 'ordered':
      case 'running': {
        if (others.length === 0) return ofTarget
        const chosen = input.isRepeated ? [] : rollout.chooseTargets(ofTarget)
        return chosen.length > 0 ? chosen : others
      }
    }
  }

  /** Keeps what an order says about its target for the time when another order has replaced it. */
  #applyState (service: string, { order, isStopped }: GatedRollout): void {
    const isBad = isStopped || order.state === 'rolledBack'
    const rolledBack = setOf(this.#rolledBack, service)
    if (isBad) rolledBack.add(order.target)
    else rolledBack.delete(order.target)
    // A router that started before it read the order took the target for established.
    const established = this.#established.get(service)
    if (order.state === 'completed') established?.add(order.target)
    else established?.delete(order.target)
  }

  /** Without the endpoints whose version is neither established nor under a rollout, for as long as an order may follow. */
  #knownVersions ({ service, endpoints: all, rollout, nowMs }: VersionGateInput): readonly EndpointEntry[] {
    const target = rollout?.order.target
    const rolledBack = setOf(this.#rolledBack, service)
    const endpoints = rolledBack.size === 0 ? all : all.filter(({ version }) => version === target || !rolledBack.has(version))
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

function setOf (sets: Map<string, Set<string>>, key: string): Set<string> {
  const set = sets.get(key) ?? new Set<string>()
  sets.set(key, set)
  return set
}
