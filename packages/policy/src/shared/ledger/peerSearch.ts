/**
 * Which other router a router that is cut off from the store asks for tokens. It answers
 * the load that meets a router whose own slice is empty and whose lender has ended, is
 * cut off as well, or was never known.
 */
import type { LenderEntry } from './ledgerValue.ts'

/** Routers asked at once whether they reach the store. */
const askedPeers = 3
/** Time between two searches while no router was found. */
const searchIntervalMs = 300
/** Time for which a router that failed is not chosen. */
const avoidMs = 2000

export class PeerSearch {
  readonly #random: () => number
  #found: LenderEntry | undefined
  #searchedMs = -Infinity
  readonly #avoidedUntilMs = new Map<string, number>()

  /** `random` returns a number that is uniformly distributed in [0, 1). */
  constructor (random: () => number) {
    this.#random = random
  }

  /** Router that reached the store when it last replied. */
  get found (): LenderEntry | undefined {
    return this.#found
  }

  /** Whether another search may succeed. */
  maySearch (nowMs: number): boolean {
    return nowMs - this.#searchedMs >= searchIntervalMs
  }

  /** Addresses of the routers to ask. They are drawn at random, so that routers that are cut off together spread over the others. */
  nextAddresses (addresses: readonly string[], nowMs: number): readonly string[] {
    this.#searchedMs = nowMs
    const usable = addresses.filter(address => nowMs >= (this.#avoidedUntilMs.get(address) ?? -Infinity))
    return usable.map(address => ({ address, order: this.#random() })).toSorted((left, right) => left.order - right.order).slice(0, askedPeers).map(({ address }) => address)
  }

  recordContact (peer: LenderEntry): void {
    this.#found = peer
  }

  /** Records that a router does not respond, or does not reach the store. */
  recordFailure (address: string, nowMs: number): void {
    this.#avoidedUntilMs.set(address, nowMs + avoidMs)
    if (this.#found?.address === address) this.#found = undefined
  }
}
