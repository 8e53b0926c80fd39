/** Endpoint process of the budget model: it records requests and fences, and reports what it executed to the ground truth. */
import type { FenceEntry, ReclaimEndpoint } from '@buckthorndrift/policy'
import type { GroundTruth } from './groundTruth.ts'

/** A request that a router sends under a reservation. */
export interface ModelCall {
  readonly requestId: string
  readonly holder: string
  readonly shard: number
  readonly budget: string
  readonly seq: number
  readonly tokens: number
  /** The holder has settled all reservations up to this number, so that the endpoint may evict them. */
  readonly settledSeq: number
}

export type CallAnswer =
  | { readonly kind: 'notRun' }
  | { readonly kind: 'settled', readonly tokens: number }

interface Entry {
  readonly call: ModelCall
  state: 'reserved' | 'settled'
  tokens: number
  readonly listeners: ((answer: CallAnswer) => void)[]
}

export class ModelEndpoint {
  readonly reclaimEndpoint: ReclaimEndpoint
  /** False until the endpoint has read the fences. */
  isAccepting = false
  readonly #groundTruth: GroundTruth
  readonly #fencedHolders = new Set<string>()
  readonly #rejectedRequestIds = new Set<string>()
  readonly #entries = new Map<string, Entry>()
  readonly #running = new Map<string, Entry>()

  constructor (id: string, groundTruth: GroundTruth) {
    this.reclaimEndpoint = { id, incarnation: 'a', vm: id }
    this.#groundTruth = groundTruth
  }

  get running (): readonly string[] {
    return [...this.#running.keys()]
  }

  startAccepting (fences: Iterable<string>): void {
    for (const holder of fences) this.#fencedHolders.add(holder)
    this.isAccepting = true
  }

  call (call: ModelCall, respond: (answer: CallAnswer) => void): void {
    const present = this.#entries.get(call.requestId)
    if (present !== undefined) return this.#addListener(present, respond)
    if (!this.isAccepting || this.#fencedHolders.has(call.holder) || this.#rejectedRequestIds.has(call.requestId)) {
      this.#rejectedRequestIds.add(call.requestId)
      return respond({ kind: 'notRun' })
    }
    this.#evictSettled(call)
    const entry: Entry = { call, state: 'reserved', tokens: call.tokens, listeners: [respond] }
    this.#entries.set(call.requestId, entry)
    this.#running.set(call.requestId, entry)
    this.#groundTruth.start(call.requestId, call.budget, call.tokens)
  }

  /** Answers a router that asks for the outcome of a request. If the request is unknown, the endpoint rejects its call should it arrive later. */
  attach (requestId: string, respond: (answer: CallAnswer) => void): void {
    const entry = this.#entries.get(requestId) ?? this.#running.get(requestId)
    if (entry !== undefined) return this.#addListener(entry, respond)
    this.#rejectedRequestIds.add(requestId)
    respond({ kind: 'notRun' })
  }

  /** Ends a running request; `tokens` is limited to its reservation. */
  finish (requestId: string, tokens: number): void {
    const entry = this.#running.get(requestId)
    if (entry === undefined) return
    this.#running.delete(requestId)
    entry.state = 'settled'
    entry.tokens = Math.min(tokens, entry.call.tokens)
    this.#groundTruth.finish(requestId, entry.tokens)
    for (const respond of entry.listeners) respond({ kind: 'settled', tokens: entry.tokens })
  }

  /** Refuses further calls under reservations of the holder, and returns the entries of calls that it accepted under them. */
  fence (holder: string): readonly FenceEntry[] {
    this.#fencedHolders.add(holder)
    return [...this.#entries.values()].filter(entry => entry.call.holder === holder).map(({ call, state, tokens }) => (
      { shard: call.shard, budget: call.budget, seq: call.seq, state, tokens }))
  }

  /** Evicts the entries of a holder whose slices have been reclaimed. */
  forget (holder: string): void {
    this.#evictWhere(entry => entry.call.holder === holder)
  }

  #addListener (entry: Entry, respond: (answer: CallAnswer) => void): void {
    if (entry.state === 'settled') respond({ kind: 'settled', tokens: entry.tokens })
    else entry.listeners.push(respond)
  }

  #evictSettled ({ holder, shard, settledSeq }: ModelCall): void {
    this.#evictWhere(entry => entry.call.holder === holder && entry.call.shard === shard && entry.call.seq <= settledSeq)
  }

  #evictWhere (shouldEvict: (entry: Entry) => boolean): void {
    for (const [requestId, entry] of this.#entries) {
      if (!shouldEvict(entry)) continue
      this.#entries.delete(requestId)
      // A repeated call that arrives after the eviction must not run again.
      this.#rejectedRequestIds.add(requestId)
    }
  }
}
