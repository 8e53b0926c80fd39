/** Local state of each endpoint: its connections, and the load, health and latency that this router has observed with its own requests. */
import type { Socket } from 'node:net'
import { EndpointHealth, KnownLimit, PrefillBacklog, PrefillSpeed, PrefixHistory, type CallCandidate, type EngineLoad, type GenerationCandidate, type PrefixPart } from '@buckthorndrift/policy'
import type { EndpointEntry } from '../shared/fleet.ts'
import { EndpointConnections, type ConnectionQuota } from './endpointConnections.ts'

/** Weight of a new sample in the moving averages. */
const smoothingWeight = 0.15
/** Mean response time that is assumed before the first sample. */
const initialMeanResponseMs = 20
/** Time constant of the exponential decay of `excessMs`, the time by which first tokens arrive later than estimated, while there are no new samples. */
const excessDecayMs = 1500

export class TrackedEndpoint {
  readonly entry: EndpointEntry
  readonly connections: EndpointConnections
  readonly health: EndpointHealth
  readonly prefixes = new PrefixHistory()
  /** Limit that the endpoint puts on the requests of all routers together. */
  readonly limit = new KnownLimit()
  /** When a participant of the limit last told that it holds, or when the limit became known; `-Infinity` without a limit. */
  limitNewsMs = -Infinity
  /** When this router last sent the endpoint a request. */
  lastSentMs = -Infinity
  /** Requests of this router that are in flight. */
  running = 0
  /** Prompt tokens of this router's requests that the engine still has to read. */
  readonly backlog = new PrefillBacklog()
  /** Prefill speed of the engines of the service. */
  readonly prefillSpeed: PrefillSpeed
  /** Estimated tokens that the requests in flight hold in the memory of the engine. */
  heldTokens = 0
  /** Until this time the endpoint asked to get no requests. */
  pausedUntilMs = -Infinity
  #meanResponseMs = initialMeanResponseMs
  #excessMs = 0
  #excessUpdatedMs: number

  constructor (entry: EndpointEntry, nowMs: number, onSocket: (socket: Socket) => void, quota: ConnectionQuota, prefillSpeed = new PrefillSpeed()) {
    this.entry = entry
    this.prefillSpeed = prefillSpeed
    this.connections = new EndpointConnections(entry.address, onSocket, quota)
    this.health = new EndpointHealth(nowMs)
    this.#excessUpdatedMs = nowMs
  }

  recordResponseMs (durationMs: number): void {
    this.#meanResponseMs += smoothingWeight * (durationMs - this.#meanResponseMs)
  }

  /** Records how much later than estimated the first token of a response arrived. */
  recordExcessMs (excessMs: number, nowMs: number): void {
    const current = this.excessMs(nowMs)
    this.#excessMs = current + smoothingWeight * 2 * (Math.max(0, excessMs) - current)
    this.#excessUpdatedMs = nowMs
  }

  excessMs (nowMs: number): number {
    return this.#excessMs * Math.exp(-(nowMs - this.#excessUpdatedMs) / excessDecayMs)
  }

  callCandidate (failureDomain: string, nowMs: number): CallCandidate {
    return {
      id: this.entry.id,
      slots: this.entry.slots,
      running: this.running,
      meanMs: this.#meanResponseMs,
      failureShare: this.health.failureShare(nowMs),
      isAvoided: this.health.isAvoided(nowMs),
      isLocal: this.entry.failureDomain === failureDomain
    }
  }

  /** Load that the requests of this router put on the endpoint's engine. */
  engineLoad (nowMs: number): EngineLoad {
    return { pendingTokens: this.backlog.tokens(this.prefillSpeed.tokensPerMs, nowMs), running: this.running, heldTokens: this.heldTokens }
  }

  /** `others` is the load of the other routers; `undefined` if it is not known. */
  generationCandidate (parts: readonly PrefixPart[], capacityTokens: number, others: EngineLoad | undefined, nowMs: number): GenerationCandidate {
    const load = this.engineLoad(nowMs)
    return {
      id: this.entry.id,
      cachedTokens: this.prefixes.cachedTokens(parts, nowMs),
      ...load,
      others,
      capacityTokens,
      failureShare: this.health.failureShare(nowMs),
      isAvoided: this.health.isAvoided(nowMs),
      excessMs: this.excessMs(nowMs)
    }
  }
}

export class TrackedEndpoints {
  readonly #endpoints = new Map<string, TrackedEndpoint>()
  /** By service. */
  readonly #prefillSpeeds = new Map<string, PrefillSpeed>()
  readonly #onSocket: (socket: Socket) => void
  readonly #quota: ConnectionQuota

  /** `onSocket` is called with each socket that is opened to an endpoint. */
  constructor (onSocket: (socket: Socket) => void, maxConnections: number) {
    this.#onSocket = onSocket
    this.#quota = { limit: maxConnections, openCount: 0 }
  }

  /** Returns the state of an endpoint. A new incarnation or address starts with empty state. */
  getOrCreate (entry: EndpointEntry, nowMs: number): TrackedEndpoint {
    const known = this.#endpoints.get(entry.id)
    if (known !== undefined && known.entry.address === entry.address && known.entry.startedAtMs === entry.startedAtMs) return known
    known?.connections.destroy()
    const endpoint = new TrackedEndpoint(entry, nowMs, this.#onSocket, this.#quota, this.prefillSpeedOf(entry.service))
    this.#endpoints.set(entry.id, endpoint)
    return endpoint
  }

  /** Speed at which engines of a service read prompts. */
  prefillSpeedOf (service: string): PrefillSpeed {
    let speed = this.#prefillSpeeds.get(service)
    if (speed === undefined) this.#prefillSpeeds.set(service, speed = new PrefillSpeed())
    return speed
  }

  /** Whether a request can be sent to the endpoint. An idle connection to another endpoint is closed if there would be too many. */
  mayConnect ({ connections }: TrackedEndpoint, isRepeatable: boolean): boolean {
    if (connections.mayAcquire(isRepeatable)) return true
    for (const other of this.#endpoints.values()) if (other.connections.closeIdle()) return true
    return false
  }

  all (): Iterable<TrackedEndpoint> {
    return this.#endpoints.values()
  }

  /** Loads of the endpoints that run generations of this router. */
  engineLoads (nowMs: number): ReadonlyMap<string, EngineLoad> {
    return new Map([...this.#endpoints].filter(([, endpoint]) => endpoint.heldTokens > 0).map(([id, endpoint]) => [id, endpoint.engineLoad(nowMs)]))
  }

  get (id: string): TrackedEndpoint | undefined {
    return this.#endpoints.get(id)
  }

  forget (id: string): void {
    this.#endpoints.get(id)?.connections.destroy()
    this.#endpoints.delete(id)
  }
}
