/** A model endpoint in simulated time: a bounded queue, a concurrency limit and a prompt-prefix cache. */
import { LRUCache } from 'lru-cache'
import type { EventQueue } from '../../shared/eventQueue.ts'

export interface EndpointModel {
  readonly limit: number
  readonly queueLimit: number
  /** Prefixes that fit into the cache. */
  readonly cachedPrefixes: number
  readonly prefillMs: number
  readonly cachedPrefillMs: number
}

export interface Job {
  readonly prefix: number
  readonly decodeMs: number
  onFirstToken (isCacheHit: boolean): void
  onEnd (): void
}

export class SimulatedEndpoint {
  readonly id: string
  readonly failureDomain: string
  readonly model: EndpointModel
  /** Factor on all times; above 1 for a slow endpoint. */
  readonly slowness: number
  readonly #events: EventQueue
  readonly #cache: LRUCache<number, true>
  readonly #queue: Job[] = []
  #running = 0

  constructor (events: EventQueue, id: string, failureDomain: string, model: EndpointModel, slowness: number) {
    this.#events = events
    this.id = id
    this.failureDomain = failureDomain
    this.model = model
    this.slowness = slowness
    this.#cache = new LRUCache({ max: model.cachedPrefixes })
  }

  get inFlight (): number {
    return this.#running
  }

  get queued (): number {
    return this.#queue.length
  }

  /** False when the queue is full. */
  offer (job: Job): boolean {
    if (this.#running < this.model.limit) {
      this.#start(job)
      return true
    }
    if (this.#queue.length >= this.model.queueLimit) return false
    this.#queue.push(job)
    return true
  }

  #start (job: Job): void {
    this.#running += 1
    const isHit = this.#cache.get(job.prefix) === true
    this.#cache.set(job.prefix, true)
    const prefillMs = this.slowness * (isHit ? this.model.cachedPrefillMs : this.model.prefillMs)
    this.#events.after(prefillMs, () => { job.onFirstToken(isHit) })
    this.#events.after(prefillMs + this.slowness * job.decodeMs, () => {
      this.#running -= 1
      job.onEnd()
      const next = this.#queue.shift()
      if (next !== undefined) this.#start(next)
    })
  }
}
