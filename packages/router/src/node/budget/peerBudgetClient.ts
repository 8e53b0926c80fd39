/** Calls the budget handlers of other routers. Reservations that are made in the same event loop iteration share one call. */
import { LRUCache } from 'lru-cache'
import { createRouterClient, type Member, type ReserveItemOutput, type RouterClient, type SettleInput } from '@buckthorndrift/protocol'

export interface PeerBudgetClientOptions {
  readonly fleetSecret: string
  readonly timeoutMs: number
}

interface PendingReservation {
  readonly budget: string
  readonly tokens: number
  resolve (answer: ReserveItemOutput): void
  reject (error: unknown): void
}

/** Maximum number of clients kept; larger than the planned number of routers. */
const maxClients = 500

/** Maximum number of items of one call; the receiver rejects more. */
const maxItemsPerCall = 1000

export class PeerBudgetClient {
  readonly #clients: LRUCache<string, RouterClient>
  readonly #batches = new Map<string, PendingReservation[]>()

  constructor ({ fleetSecret, timeoutMs }: PeerBudgetClientOptions) {
    this.#clients = new LRUCache({ max: maxClients, memoMethod: url => createRouterClient({ url, fleetSecret, timeoutMs }) })
  }

  /** Reserves at another router; rejects if the call fails. */
  reserve (peer: Member, shard: number, budget: string, tokens: number): Promise<ReserveItemOutput> {
    const key = `${peer.controlUrl} ${shard}`
    return new Promise((resolve, reject) => {
      const item = { budget, tokens, resolve, reject }
      const batch = this.#batches.get(key)
      if (batch !== undefined && batch.length < maxItemsPerCall) {
        batch.push(item)
        return
      }
      const newBatch = [item]
      this.#batches.set(key, newBatch)
      setImmediate(() => {
        if (this.#batches.get(key) === newBatch) this.#batches.delete(key)
        this.#sendBatch(peer, shard, newBatch)
      })
    })
  }

  async settle (peer: Member, items: SettleInput['items']): Promise<void> {
    await this.#clients.memo(peer.controlUrl).budget.settle.mutate({ items })
  }

  async recall (peer: Member, shard: number, budgets: readonly string[]): Promise<void> {
    await this.#clients.memo(peer.controlUrl).budget.recall.mutate({ shard, budgets })
  }

  #sendBatch (peer: Member, shard: number, batch: readonly PendingReservation[]): void {
    const items = batch.map(({ budget, tokens }) => ({ budget, tokens }))
    this.#clients.memo(peer.controlUrl).budget.reserve.mutate({ shard, items }).then(answers => {
      batch.forEach((item, index) => {
        const answer = answers[index]
        if (answer === undefined) item.reject(new Error('the home router answered fewer reservations than were requested'))
        else item.resolve(answer)
      })
    }, (error: unknown) => { for (const item of batch) item.reject(error) })
  }
}
