/**
 * What a router knows of the load that all other routers put on engines. It has an age,
 * and without news the router goes back to its own requests, because an old figure would
 * send requests to engines that have become busy since, and away from idle ones.
 */
import { noLoad, type EngineLoad } from './engineLoad.ts'
import type { OthersLoad } from './loadSums.ts'

/** Age from which the loads are not used any more. */
const maxAgeMs = 1000

export class SharedLoad {
  #known: OthersLoad | undefined
  #receivedMs = -Infinity

  /** Takes an answer of the aggregator to a report that was sent at `sentMs`. Answers that a later one has overtaken are dropped. */
  receive (others: OthersLoad, sentMs: number): void {
    if (sentMs < this.#receivedMs) return
    this.#known = others
    this.#receivedMs = sentMs
  }

  /** Age of the loads; `Infinity` without any. */
  ageMs (nowMs: number): number {
    return this.#known === undefined ? Infinity : nowMs - this.#receivedMs + this.#known.ageMs
  }

  /** Load of the other routers at an engine; `undefined` without recent news. Meanwhile the engine has read part of the prompts. */
  at (endpoint: string, tokensPerMs: number, nowMs: number): EngineLoad | undefined {
    const ageMs = this.ageMs(nowMs)
    if (ageMs >= maxAgeMs) return undefined
    const load = this.#known!.loads.get(endpoint) ?? noLoad
    return { ...load, pendingTokens: Math.max(0, load.pendingTokens - ageMs * tokensPerMs) }
  }
}
