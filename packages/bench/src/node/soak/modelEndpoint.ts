/** An endpoint process in the budget model: entries, fences, and what truly ran. */
import type { FenceEntry, ReclaimEndpoint } from '@buckthorndrift/policy'
import type { Truth } from './truth.ts'

export interface ModelCall {
  readonly requestId: string
  readonly holder: string
  readonly shard: number
  readonly budget: string
  readonly seq: number
  readonly tokens: number
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
  readonly ref: ReclaimEndpoint
  /** False until the endpoint has read the fences. */
  isAccepting = false
  readonly #truth: Truth
  readonly #fences = new Set<string>()
  readonly #refused = new Set<string>()
  readonly #entries = new Map<string, Entry>()
  readonly #running = new Map<string, Entry>()

  constructor (id: string, truth: Truth) {
    this.ref = { id, incarnation: 'a', vm: id }
    this.#truth = truth
  }

  get running (): readonly string[] {
    return [...this.#running.keys()]
  }

  accept (fences: Iterable<string>): void {
    for (const holder of fences) this.#fences.add(holder)
    this.isAccepting = true
  }

  call (call: ModelCall, respond: (answer: CallAnswer) => void): void {
    const present = this.#entries.get(call.requestId)
    if (present !== undefined) return this.#attach(present, respond)
    if (!this.isAccepting || this.#fences.has(call.holder) || this.#refused.has(call.requestId)) {
      this.#refused.add(call.requestId)
      return respond({ kind: 'notRun' })
    }
    this.#dropSettled(call)
    const entry: Entry = { call, state: 'reserved', tokens: call.tokens, listeners: [respond] }
    this.#entries.set(call.requestId, entry)
    this.#running.set(call.requestId, entry)
    this.#truth.start(call.requestId, call.budget, call.tokens)
  }

  /** A router asks what became of a request; one that never came is refused for good. */
  attach (requestId: string, respond: (answer: CallAnswer) => void): void {
    const entry = this.#entries.get(requestId) ?? this.#running.get(requestId)
    if (entry !== undefined) return this.#attach(entry, respond)
    this.#refused.add(requestId)
    respond({ kind: 'notRun' })
  }

  finish (requestId: string, tokens: number): void {
    const entry = this.#running.get(requestId)
    if (entry === undefined) return
    this.#running.delete(requestId)
    entry.state = 'settled'
    entry.tokens = Math.min(tokens, entry.call.tokens)
    this.#truth.finish(requestId, entry.tokens)
    for (const respond of entry.listeners) respond({ kind: 'settled', tokens: entry.tokens })
  }

  fence (holder: string): readonly FenceEntry[] {
    this.#fences.add(holder)
    return [...this.#entries.values()].filter(entry => entry.call.holder === holder).map(({ call, state, tokens }) => (
      { shard: call.shard, budget: call.budget, seq: call.seq, state, tokens }))
  }

  forget (holder: string): void {
    this.#dropWhere(entry => entry.call.holder === holder)
  }

  #attach (entry: Entry, respond: (answer: CallAnswer) => void): void {
    if (entry.state === 'settled') respond({ kind: 'settled', tokens: entry.tokens })
    else entry.listeners.push(respond)
  }

  #dropSettled ({ holder, shard, settledSeq }: ModelCall): void {
    this.#dropWhere(entry => entry.call.holder === holder && entry.call.shard === shard && entry.call.seq <= settledSeq)
  }

  #dropWhere (isDropped: (entry: Entry) => boolean): void {
    for (const [requestId, entry] of this.#entries) {
      if (!isDropped(entry)) continue
      this.#entries.delete(requestId)
      // An id that comes back after its entry is dropped must not run again.
      this.#refused.add(requestId)
    }
  }
}
