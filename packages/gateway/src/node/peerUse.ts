/** One attempt at an endpoint: what it takes up there, and what its times tell about the endpoint. */
import type { Generation } from '../shared/call.ts'
import type { EndpointPeer } from './endpointPeers.ts'

export interface PeerUseOptions {
  readonly generation: Generation | undefined
  /** Tokens of the prompt that the endpoint has to read. */
  readonly uncachedTokens: number
  /** Expected time to the first token in ms. */
  readonly estimateMs: number
  readonly nowMs: number
}

/** Longer prompts take long by themselves, so their times say little about what waits at the endpoint. */
const maxProbeTokens = 4000

/** Tokens in an engine's memory; half of the largest output is the average over the time of a call. */
function heldTokensOf (generation: Generation | undefined): number {
  return generation === undefined ? 0 : generation.promptTokens + generation.maxOutputTokens / 2
}

export class PeerUse {
  readonly peer: EndpointPeer
  readonly sentMs: number
  readonly estimateMs: number
  readonly #generation: Generation | undefined
  readonly #uncachedTokens: number
  #pendingTokens: number
  #hasFirstByte = false
  #isEnded = false

  constructor (peer: EndpointPeer, options: PeerUseOptions) {
    this.peer = peer
    this.sentMs = options.nowMs
    this.estimateMs = options.estimateMs
    this.#generation = options.generation
    this.#uncachedTokens = options.uncachedTokens
    this.#pendingTokens = options.uncachedTokens
    peer.running++
    peer.heldTokens += heldTokensOf(options.generation)
    peer.pendingTokens += options.uncachedTokens
  }

  /** Notes the first byte of the answer; an engine has read the prompt by then. */
  noteFirstByte (nowMs: number): void {
    if (this.#hasFirstByte) return
    this.#hasFirstByte = true
    this.#clearPending()
    if (this.#generation === undefined) return
    if (this.#uncachedTokens <= maxProbeTokens) this.peer.noteExcessMs(nowMs - this.sentMs - this.estimateMs, nowMs)
    this.peer.prefixes.recordUse(this.#generation.prompt, nowMs)
  }

  end (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#clearPending()
    this.peer.running--
    this.peer.heldTokens -= heldTokensOf(this.#generation)
  }

  #clearPending (): void {
    this.peer.pendingTokens -= this.#pendingTokens
    this.#pendingTokens = 0
  }
}
