/** Exchange of documents with other routers: comparison at intervals, push of news, answers to peers. */
import type { Metrics, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import type { ExchangeInput, ExchangeOutput, Member } from '@buckthorndrift/protocol'
import type { DocumentTable } from './documentTable.ts'
import type { StoredObject } from './objectStore.ts'

export interface DocumentExchangeOptions {
  readonly table: DocumentTable
  readonly timers: TimerService
  readonly metrics: Metrics
  /** Numbers from 0 below 1. */
  readonly random: () => number
  /** Routers other than this process that are not suspected. */
  readonly peers: () => readonly Member[]
  /** Sends a message to a router; rejects when there is no answer in time. */
  readonly call: (peer: Member, input: ExchangeInput) => Promise<ExchangeOutput>
  readonly noteContact: (peer: Member, isReachable: boolean) => void
  /** Called for each document that is newer than the one held before. */
  readonly onNews: (document: StoredObject) => void
  /** Whether news from peers is passed on; true for routers that have started. */
  readonly relaysNews: () => boolean
  /** Interval of comparisons, 2000 ms. */
  readonly intervalMs: number
  /** How long news is gathered before it is pushed, 10 ms. */
  readonly gatherMs: number
  /** After a push, as many further peers are compared with after this time, 250 ms. */
  readonly secondWaveMs: number
}

/** Peers that receive news at once; comparisons reach the rest. */
const pushFanout = 3
/** Peers tried in one round when the first ones do not answer. */
const attemptsPerRound = 3
/** Messages to one peer in one round; bounds the time spent on a long list of documents. */
const messagesPerRound = 20

export class DocumentExchange {
  readonly #options: DocumentExchangeOptions
  readonly #news = new Set<string>()
  #gathering: Unsubscribe | undefined
  #nextRound: Unsubscribe | undefined
  #isStopped = false

  constructor (options: DocumentExchangeOptions) {
    this.#options = options
  }

  /**
   * Starts the comparisons; intervals vary by a quarter so that processes do
   * not act in step. `afterRound` is told whether a router answered.
   */
  start (afterRound: (isAnswered: boolean) => Promise<void>): void {
    if (this.#isStopped) return
    const delayMs = this.#options.intervalMs * (0.75 + this.#options.random() / 2)
    this.#nextRound = this.#options.timers.after(delayMs, () => {
      this.round().then(afterRound).catch(() => {}).finally(() => { this.start(afterRound) }).catch(() => {})
    })
  }

  stop (): void {
    this.#isStopped = true
    this.#nextRound?.()
    this.#gathering?.()
  }

  /** Compares with one random router; true when one answered. */
  async round (): Promise<boolean> {
    const candidates = this.#shuffled(this.#options.peers()).slice(0, attemptsPerRound)
    for (const peer of candidates) {
      if (await this.#compareWith(peer)) return true
    }
    return false
  }

  /** Takes a document learned here, for example by a write or a watch, and pushes it. */
  publish (document: StoredObject): void {
    if (this.#take(document)) this.#gather(document.name)
  }

  /** Takes a document without pushing it, while the process starts and everything is new to it. */
  load (document: StoredObject): void {
    this.#take(document)
  }

  /** Answers another process. */
  answer (input: ExchangeInput): ExchangeOutput {
    this.#takeFromPeer(input.documents)
    return this.#options.table.answer(input.digest)
  }

  #take (document: StoredObject): boolean {
    if (!this.#options.table.putIfNewer(document)) return false
    this.#options.metrics.increment('documents.learned')
    this.#options.onNews(document)
    return true
  }

  #takeFromPeer (documents: ExchangeInput['documents']): void {
    for (const { name, version, value } of documents) {
      if (this.#take({ name, version, value }) && this.#options.relaysNews()) this.#gather(name)
    }
  }

  async #compareWith (peer: Member): Promise<boolean> {
    let documents: readonly StoredObject[] = []
    for (let count = 0; count < messagesPerRound; count += 1) {
      const answer = await this.#send(peer, documents)
      if (answer === undefined) return false
      const isBehind = this.#options.table.isBehind(answer.digest)
      documents = this.#options.table.pack(this.#options.table.wantedBy(answer.digest))
      if (documents.length === 0 && !isBehind) return true
    }
    return true
  }

  async #send (peer: Member, documents: readonly StoredObject[]): Promise<ExchangeOutput | undefined> {
    try {
      const answer = await this.#options.call(peer, { digest: this.#options.table.digest(), documents: [...documents] })
      this.#options.noteContact(peer, true)
      this.#takeFromPeer(answer.documents)
      return answer
    } catch {
      this.#options.metrics.increment('documents.exchangeFailed')
      this.#options.noteContact(peer, false)
      return undefined
    }
  }

  #gather (name: string): void {
    this.#news.add(name)
    this.#gathering ??= this.#options.timers.after(this.#options.gatherMs, () => {
      this.#gathering = undefined
      this.#push().catch(() => {})
    })
  }

  async #push (): Promise<void> {
    const documents = this.#options.table.pack([...this.#news])
    this.#news.clear()
    const peers = this.#shuffled(this.#options.peers())
    const isSentTo = async (peer: Member): Promise<boolean> => await this.#send(peer, documents) !== undefined
    await this.#reach(peers, isSentTo)
    // Three pushes by each router leave out one in twenty of a large fleet, which would wait for its next comparison.
    this.#options.timers.after(this.#options.secondWaveMs, () => {
      this.#reach(peers, peer => this.#compareWith(peer)).catch(() => {})
    })
  }

  /** Takes peers off the list until as many as news goes to have answered; one that does not answer is replaced by the next. */
  async #reach (peers: Member[], contact: (peer: Member) => Promise<boolean>): Promise<void> {
    const reachOne = async (): Promise<void> => {
      for (let count = 0; count < attemptsPerRound; count += 1) {
        const peer = peers.pop()
        if (peer === undefined || this.#isStopped) return
        if (await contact(peer)) return
      }
    }
    await Promise.all(Array.from({ length: pushFanout }, reachOne))
  }

  #shuffled (members: readonly Member[]): Member[] {
    return members.map(member => ({ member, order: this.#options.random() }))
      .sort((left, right) => left.order - right.order)
      .map(({ member }) => member)
  }
}
