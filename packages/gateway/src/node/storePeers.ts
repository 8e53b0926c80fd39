/** Finds another router that reaches the store, for the budgets of a router that does not. */
import { Agent } from 'undici'
import type { TimerService } from '@buckthorndrift/kernel'
import { PeerSearch, type LenderEntry } from '@buckthorndrift/policy'
import { storeContactSchema, type StoreContact } from '../shared/storeContact.ts'

export const storeContactPath = '/store-contact'
/** Longest wait for the answer of a router. */
const contactTimeoutMs = 200

export interface StorePeersOptions {
  readonly timers: TimerService
  readonly random: () => number
  /** Addresses of the other routers of the fleet. */
  addresses (): readonly string[]
  /** Asks the router at an address; `undefined` if it does not respond. */
  ask (address: string): Promise<StoreContact | undefined>
}

export class StorePeers {
  readonly #options: StorePeersOptions
  readonly #search: PeerSearch
  #pending: Promise<void> | undefined

  constructor (options: StorePeersOptions) {
    this.#options = options
    this.#search = new PeerSearch(options.random)
  }

  /** A router that reached the store when it last replied. */
  get current (): LenderEntry | undefined {
    return this.#search.found
  }

  /** Returns the known router, or asks some others. Concurrent callers share one search. */
  async find (): Promise<LenderEntry | undefined> {
    if (this.#search.found === undefined && (this.#pending !== undefined || this.#search.maySearch(this.#nowMs()))) {
      this.#pending ??= this.#ask().finally(() => { this.#pending = undefined })
      await this.#pending
    }
    return this.#search.found
  }

  /** Records that the router does not respond, or does not reach the store any more. */
  recordFailure ({ address }: LenderEntry): void {
    this.#search.recordFailure(address, this.#nowMs())
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  /** Resolves with the first router that reaches the store, or when all that were asked have replied. */
  async #ask (): Promise<void> {
    const asked = this.#search.nextAddresses(this.#options.addresses(), this.#nowMs()).map(async address => {
      const contact = await this.#options.ask(address)
      if (contact === undefined || contact.isStoreAway) {
        this.#search.recordFailure(address, this.#nowMs())
        throw new Error(`${address} does not reach the store`)
      }
      return { holder: contact.holder, address }
    })
    try {
      this.#search.recordContact(await Promise.any(asked))
    } catch {
      // None of them reaches the store; the next search asks others.
    }
  }
}

/** Asks the router at `address` (`HOST:PORT`) whether it reaches the store. */
export async function askStoreContact (address: string): Promise<StoreContact | undefined> {
  const agent = new Agent({ connect: { timeout: contactTimeoutMs } })
  try {
    const response = await agent.request({ origin: `http://${address}`, path: storeContactPath, method: 'GET', signal: AbortSignal.timeout(contactTimeoutMs) })
    return storeContactSchema.safeParse(await response.body.json()).data
  } catch {
    return undefined
  } finally {
    void agent.destroy()
  }
}
