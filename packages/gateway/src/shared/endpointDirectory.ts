/** The endpoints that are registered, as far as this router knows. */
import type { EndpointEntry } from './fleet.ts'

export interface DirectoryChange {
  readonly kind: 'added' | 'draining' | 'ready' | 'replaced' | 'removed'
  readonly endpoint: EndpointEntry
}

/** Entries that lapsed during an outage of the store are back within this time of its return, if the endpoint lives. */
export const reappearMs = 2100

export class EndpointDirectory {
  readonly #endpoints = new Map<string, EndpointEntry>()
  /** Times at which entries that lapsed in an outage are taken as gone. */
  readonly #lapsing = new Map<string, number>()
  readonly #byService = new Map<string, readonly EndpointEntry[]>()

  /** Endpoints of a service that take new requests. */
  ready (service: string): readonly EndpointEntry[] {
    let found = this.#byService.get(service)
    if (found === undefined) {
      found = [...this.#endpoints.values()].filter(endpoint => endpoint.service === service && !endpoint.isDraining)
      this.#byService.set(service, found)
    }
    return found
  }

  all (): Iterable<EndpointEntry> {
    return this.#endpoints.values()
  }

  get size (): number {
    return this.#endpoints.size
  }

  put (endpoint: EndpointEntry): DirectoryChange | undefined {
    const before = this.#endpoints.get(endpoint.id)
    this.#endpoints.set(endpoint.id, endpoint)
    this.#lapsing.delete(endpoint.id)
    this.#byService.clear()
    if (before === undefined) return { kind: 'added', endpoint }
    if (before.startedAtMs !== endpoint.startedAtMs || before.address !== endpoint.address) return { kind: 'replaced', endpoint }
    if (before.isDraining === endpoint.isDraining) return undefined
    return { kind: endpoint.isDraining ? 'draining' : 'ready', endpoint }
  }

  remove (id: string): DirectoryChange | undefined {
    const endpoint = this.#endpoints.get(id)
    if (endpoint === undefined) return undefined
    this.#endpoints.delete(id)
    this.#lapsing.delete(id)
    this.#byService.clear()
    return { kind: 'removed', endpoint }
  }

  /** Keeps an entry that disappeared during an outage until the endpoint had time to register again. */
  lapse (id: string, untilMs: number): void {
    if (this.#endpoints.has(id)) this.#lapsing.set(id, untilMs)
  }

  /** Removes lapsed entries whose time is over. */
  expire (nowMs: number): readonly DirectoryChange[] {
    const changes: DirectoryChange[] = []
    for (const [id, untilMs] of this.#lapsing) {
      if (nowMs < untilMs) continue
      const change = this.remove(id)
      if (change !== undefined) changes.push(change)
    }
    return changes
  }

  /** Ids that are known but missing from a full list. */
  missingFrom (listed: ReadonlySet<string>): readonly string[] {
    return [...this.#endpoints.keys()].filter(id => !listed.has(id))
  }
}
