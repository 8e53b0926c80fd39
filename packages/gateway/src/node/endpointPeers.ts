/** What this router knows of each endpoint from its own requests, and the connections to it. */
import type { Socket } from 'node:net'
import { EndpointHealth, PrefixHistory, type CallCandidate, type GenerationCandidate, type PrefixPart } from '@buckthorndrift/policy'
import type { EndpointEntry } from '../shared/fleet.ts'
import { EndpointConnections } from './endpointConnections.ts'

const meanWeight = 0.15
const firstMeanMs = 20
/** Time constant in which the excess over the estimated first token is forgotten without news. */
const excessDecayMs = 1500

export class EndpointPeer {
  readonly entry: EndpointEntry
  readonly connections: EndpointConnections
  readonly health: EndpointHealth
  readonly prefixes = new PrefixHistory()
  running = 0
  /** Tokens of prompts that were sent and whose first event has not come. */
  pendingTokens = 0
  /** Tokens that the requests which run there hold in memory. */
  heldTokens = 0
  #meanMs = firstMeanMs
  #excessMs = 0
  #excessUpdatedMs: number

  constructor (entry: EndpointEntry, nowMs: number, onSocket: (socket: Socket) => void) {
    this.entry = entry
    this.connections = new EndpointConnections(entry.address, onSocket)
    this.health = new EndpointHealth(nowMs)
    this.#excessUpdatedMs = nowMs
  }

  noteAnswerMs (durationMs: number): void {
    this.#meanMs += meanWeight * (durationMs - this.#meanMs)
  }

  /** Notes how much later than estimated the first token came. */
  noteExcessMs (excessMs: number, nowMs: number): void {
    const current = this.excessMs(nowMs)
    this.#excessMs = current + meanWeight * 2 * (Math.max(0, excessMs) - current)
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
      meanMs: this.#meanMs,
      failureShare: this.health.failureShare(nowMs),
      isAvoided: this.health.isAvoided(nowMs),
      isLocal: this.entry.failureDomain === failureDomain
    }
  }

  generationCandidate (parts: readonly PrefixPart[], capacityTokens: number, nowMs: number): GenerationCandidate {
    return {
      id: this.entry.id,
      cachedTokens: this.prefixes.cachedTokens(parts, nowMs),
      pendingTokens: this.pendingTokens,
      running: this.running,
      heldTokens: this.heldTokens,
      capacityTokens,
      failureShare: this.health.failureShare(nowMs),
      isAvoided: this.health.isAvoided(nowMs),
      excessMs: this.excessMs(nowMs)
    }
  }
}

export class EndpointPeers {
  readonly #peers = new Map<string, EndpointPeer>()
  readonly #onSocket: (socket: Socket) => void

  /** `onSocket` is told of each connection to an endpoint. */
  constructor (onSocket: (socket: Socket) => void) {
    this.#onSocket = onSocket
  }

  /** The peer of an incarnation; another incarnation or address starts anew. */
  of (entry: EndpointEntry, nowMs: number): EndpointPeer {
    const known = this.#peers.get(entry.id)
    if (known !== undefined && known.entry.address === entry.address && known.entry.startedAtMs === entry.startedAtMs) return known
    known?.connections.destroy()
    const peer = new EndpointPeer(entry, nowMs, this.#onSocket)
    this.#peers.set(entry.id, peer)
    return peer
  }

  get (id: string): EndpointPeer | undefined {
    return this.#peers.get(id)
  }

  forget (id: string): void {
    this.#peers.get(id)?.connections.destroy()
    this.#peers.delete(id)
  }
}
