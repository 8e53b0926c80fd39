/** A model endpoint in simulated time: a bounded queue, a concurrency limit and a prompt-prefix cache. */
import { LRUCache } from 'lru-cache'
import type { EventQueue } from '../../shared/eventQueue.ts'

export interface EndpointModel {
  readonly concurrencyLimit: number
  readonly queueLimit: number
  /** Capacity of the prompt-prefix cache. */
  readonly cachedPrefixes: number
  /** Prefill time of a prompt prefix that is not cached. */
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
  /** Multiplier of all durations; above 1 for a slow endpoint. */
  readonly latencyFactor: number
  readonly #events: EventQueue
  readonly #cache: LRUCache<number, true>
  readonly #queue: Job[] = []
  #running = 0

  constructor (events: EventQueue, id: string, failureDomain: string, model: EndpointModel, latencyFactor: number) {
    this.#events = events
    this.id = id
    this.failureDomain = failureDomain
    this.model = model
    this.latencyFactor = latencyFactor
    this.#cache = new LRUCache({ max: model.cachedPrefixes })
  }

  get inFlight (): number {
    return this.#running
  }

  get queued (): number {
    return this.#queue.length
  }

  /** Starts or queues a job; returns false when the queue is full. */
  offer (job: Job): boolean {
    if (this.#running < this.model.concurrencyLimit) {
      this.#start(job)
      return true
    }
    if (this.#queue.length >= this.model.queueLimit) return false
    this.#queue.push(job)
    return true
  }

  #start (job: Job): void {
    this.#running += 1
    const isCacheHit = this.#cache.get(job.prefix) === true
    this.#cache.set(job.prefix, true)
    const prefillMs = this.latencyFactor * (isCacheHit ? this.model.cachedPrefillMs : this.model.prefillMs)
    this.#events.after(prefillMs, () => { job.onFirstToken(isCacheHit) })
    this.#events.after(prefillMs + this.latencyFactor * job.decodeMs, () => {
      this.#running -= 1
      job.onEnd()
      const next = this.#queue.shift()
      if (next !== undefined) this.#start(next)
    })
  }
}
