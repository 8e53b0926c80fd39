/** Replicates documents by exchanges with routers: periodic comparison of versions (anti-entropy), push of updates, and answers to peers. */
import type { Metrics, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import type { ExchangeInput, ExchangeOutput, Member } from '@buckthorndrift/protocol'
import type { DocumentTable } from './documentTable.ts'
import type { StoredObject } from './objectStore.ts'

export interface DocumentExchangeOptions {
  readonly table: DocumentTable
  readonly timers: TimerService
  readonly metrics: Metrics
  /** Returns a random number in [0, 1). */
  readonly random: () => number
  /** Returns the routers other than this process that are not suspected. */
  readonly peers: () => readonly Member[]
  /** Sends a message to a router; rejects if there is no answer in time. */
  readonly call: (peer: Member, input: ExchangeInput) => Promise<ExchangeOutput>
  /** Called after each message to a router; `isReachable` is false if it did not answer. */
  readonly reportContact: (peer: Member, isReachable: boolean) => void
  /** Called for each document that is newer than the one held before. */
  readonly onUpdate: (document: StoredObject) => void
  /** Whether updates received from peers are pushed on to others; true for routers that have loaded their documents. */
  readonly relaysPeerUpdates: () => boolean
  /** Interval between comparisons of versions with a random peer. */
  readonly intervalMs: number
  /** How long updates are collected into one message before they are pushed. */
  readonly pushDelayMs: number
  /** Delay from a push until this process compares versions with more peers; their number is that of the peers it pushed to. */
  readonly followUpDelayMs: number
}

/** Number of peers that each update is pushed to; the other processes get it through comparisons of versions. */
const pushFanout = 3
/** Maximum number of peers tried, one after the other, until one answers. */
const maxPeersPerRound = 3
/** Maximum number of messages to one peer in one comparison; bounds the time spent on a long list of documents. */
const maxMessagesPerRound = 20

export class DocumentExchange {
  readonly #options: DocumentExchangeOptions
  /** Names of documents that are waiting for the next push. */
  readonly #pendingNames = new Set<string>()
  #cancelPush: Unsubscribe | undefined
  #cancelNextRound: Unsubscribe | undefined
  #isStopped = false

  constructor (options: DocumentExchangeOptions) {
    this.#options = options
  }

  /**
   * Starts the periodic comparisons. Intervals have a jitter of up to a quarter,
   * so that processes do not synchronise. `afterRound` is called after each
   * comparison and receives whether a router answered.
   */
  start (afterRound: (isAnswered: boolean) => Promise<void>): void {
    if (this.#isStopped) return
    const delayMs = this.#options.intervalMs * (0.75 + this.#options.random() / 2)
    this.#cancelNextRound = this.#options.timers.after(delayMs, () => {
      this.compareWithRandomPeer().then(afterRound).catch(() => {}).finally(() => { this.start(afterRound) }).catch(() => {})
    })
  }

  stop (): void {
    this.#isStopped = true
    this.#cancelNextRound?.()
    this.#cancelPush?.()
  }

  /** Compares versions with one random router, and tries others if it does not answer. Returns whether one answered. */
  async compareWithRandomPeer (): Promise<boolean> {
    const candidates = this.#shuffled(this.#options.peers()).slice(0, maxPeersPerRound)
    for (const peer of candidates) {
      if (await this.#compareWith(peer)) return true
    }
    return false
  }

  /** Stores a document that this process read from or wrote to the platform, and pushes it to peers if it is newer than the one held. */
  publish (document: StoredObject): void {
    if (this.#apply(document)) this.#schedulePush(document.name)
  }

  /** Stores a document without pushing it. Used at start, when every document is new to this process but not to its peers. */
  load (document: StoredObject): void {
    this.#apply(document)
  }

  /** Stores the documents in a message of another process, and answers it. */
  answer (input: ExchangeInput): ExchangeOutput {
    this.#applyFromPeer(input.documents)
    return this.#options.table.answer(input.digest)
  }

  #apply (document: StoredObject): boolean {
    if (!this.#options.table.putIfNewer(document)) return false
    this.#options.metrics.increment('documents.learned')
    this.#options.onUpdate(document)
    return true
  }

  #applyFromPeer (documents: ExchangeInput['documents']): void {
    for (const { name, version, value } of documents) {
      if (this.#apply({ name, version, value }) && this.#options.relaysPeerUpdates()) this.#schedulePush(name)
    }
  }

  /** Exchanges messages with a peer until both hold the same versions, or the limit of messages is reached. Returns false if a message is not answered. */
  async #compareWith (peer: Member): Promise<boolean> {
    let documents: readonly StoredObject[] = []
    for (let count = 0; count < maxMessagesPerRound; count += 1) {
      const answer = await this.#send(peer, documents)
      if (answer === undefined) return false
      const isBehind = this.#options.table.isBehind(answer.digest)
      documents = this.#options.table.selectForMessage(this.#options.table.namesNewerThan(answer.digest))
      if (documents.length === 0 && !isBehind) return true
    }
    return true
  }

  async #send (peer: Member, documents: readonly StoredObject[]): Promise<ExchangeOutput | undefined> {
    try {
      const answer = await this.#options.call(peer, { digest: this.#options.table.digest(), documents: [...documents] })
      this.#options.reportContact(peer, true)
      this.#applyFromPeer(answer.documents)
      return answer
    } catch {
      this.#options.metrics.increment('documents.exchangeFailed')
      this.#options.reportContact(peer, false)
      return undefined
    }
  }

  #schedulePush (name: string): void {
    this.#pendingNames.add(name)
    this.#cancelPush ??= this.#options.timers.after(this.#options.pushDelayMs, () => {
      this.#cancelPush = undefined
      this.#push().catch(() => {})
    })
  }

  async #push (): Promise<void> {
    const documents = this.#options.table.selectForMessage([...this.#pendingNames])
    this.#pendingNames.clear()
    const peers = this.#shuffled(this.#options.peers())
    const pushTo = async (peer: Member): Promise<boolean> => await this.#send(peer, documents) !== undefined
    await this.#contactPeers(peers, pushTo)
    // If each router pushes an update to three peers, about one in twenty routers of a large fleet does not get it.
    // Without these follow-up comparisons, those routers would get it only at their next periodic comparison.
    this.#options.timers.after(this.#options.followUpDelayMs, () => {
      this.#contactPeers(peers, peer => this.#compareWith(peer)).catch(() => {})
    })
  }

  /** Removes peers from the list and contacts them in parallel until `pushFanout` of them have answered. A peer that does not answer is replaced by the next. */
  async #contactPeers (peers: Member[], contact: (peer: Member) => Promise<boolean>): Promise<void> {
    const contactOne = async (): Promise<void> => {
      for (let count = 0; count < maxPeersPerRound; count += 1) {
        const peer = peers.pop()
        if (peer === undefined || this.#isStopped) return
        if (await contact(peer)) return
      }
    }
    await Promise.all(Array.from({ length: pushFanout }, contactOne))
  }

  #shuffled (members: readonly Member[]): Member[] {
    return members.map(member => ({ member, order: this.#options.random() }))
      .sort((left, right) => left.order - right.order)
      .map(({ member }) => member)
  }
}
