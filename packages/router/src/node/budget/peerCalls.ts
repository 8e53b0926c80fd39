/** Calls to the budget handlers of other routers; reservations of the same moment travel together. */
import { LRUCache } from 'lru-cache'
import { createRouterClient, type Member, type ReserveItemOutput, type RouterClient, type SettleInput } from '@buckthorndrift/protocol'

export interface PeerCallsOptions {
  readonly fleetSecret: string
  readonly timeoutMs: number
}

interface WaitingItem {
  readonly budget: string
  readonly tokens: number
  resolve (answer: ReserveItemOutput): void
  reject (error: unknown): void
}

/** Clients kept for other routers, above the planned number of routers. */
const maxClients = 500

/** Most items of one call; the receiver rejects more. */
const maxItems = 1000

export class PeerCalls {
  readonly #clients: LRUCache<string, RouterClient>
  readonly #batches = new Map<string, WaitingItem[]>()

  constructor ({ fleetSecret, timeoutMs }: PeerCallsOptions) {
    this.#clients = new LRUCache({ max: maxClients, memoMethod: url => createRouterClient({ url, fleetSecret, timeoutMs }) })
  }

  /** Reserves at another router; rejects when it does not answer. */
  reserve (peer: Member, shard: number, budget: string, tokens: number): Promise<ReserveItemOutput> {
    const key = `${peer.controlUrl} ${shard}`
    return new Promise((resolve, reject) => {
      const item = { budget, tokens, resolve, reject }
      const batch = this.#batches.get(key)
      if (batch !== undefined && batch.length < maxItems) {
        batch.push(item)
        return
      }
      const started = [item]
      this.#batches.set(key, started)
      setImmediate(() => {
        if (this.#batches.get(key) === started) this.#batches.delete(key)
        this.#send(peer, shard, started)
      })
    })
  }

  async settle (peer: Member, items: SettleInput['items']): Promise<void> {
    await this.#clients.memo(peer.controlUrl).budget.settle.mutate({ items })
  }

  async recall (peer: Member, shard: number, budgets: readonly string[]): Promise<void> {
    await this.#clients.memo(peer.controlUrl).budget.recall.mutate({ shard, budgets })
  }

  #send (peer: Member, shard: number, batch: readonly WaitingItem[]): void {
    const items = batch.map(({ budget, tokens }) => ({ budget, tokens }))
    this.#clients.memo(peer.controlUrl).budget.reserve.mutate({ shard, items }).then(answers => {
      batch.forEach((item, index) => {
        const answer = answers[index]
        if (answer === undefined) item.reject(new Error('the home router left a reservation unanswered'))
        else item.resolve(answer)
      })
    }, (error: unknown) => { for (const item of batch) item.reject(error) })
  }
}
