/** The documents held by one process: initial load, choice of the processes that watch the platform, exchanges with peers, and subscriptions. */
import type { Result } from 'ts-results-es'
import type { Log, Metrics, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import type { ExchangeInput, ExchangeOutput, Member } from '@buckthorndrift/protocol'
import { DocumentExchange } from './documentExchange.ts'
import { DocumentTable } from './documentTable.ts'
import { membersOf, membersPrefix } from './memberList.ts'
import type { Documents, ObjectStore, StoredObject, StoreFailure } from './objectStore.ts'
import { PlatformWatch } from './platformWatch.ts'
import { rankByHash } from './ranking.ts'
import type { Suspicions } from './suspicions.ts'

/** Name prefixes of the documents that all processes of a fleet hold. */
export const documentPrefixes: readonly string[] = ['config/', 'directory/', membersPrefix, 'fences', 'claims/', 'rollouts/', 'crashes']

export const defaultWatchersPerDomain = 2

export interface DocumentsTuning {
  /** Interval at which this process compares versions with a random router; 2000 ms by default. */
  readonly intervalMs: number
  /** How long updates are collected into one message before they are pushed; 10 ms by default. */
  readonly pushDelayMs: number
  /** Delay from a push until this process compares versions with more routers; their number is that of the routers it pushed to. 250 ms by default. */
  readonly followUpDelayMs: number
  /** Longest time that one watch call waits for a change; 30 000 ms by default. */
  readonly maxWatchWaitMs: number
  /** Longest backoff between attempts to load the documents at start, before jitter; 10 000 ms by default. */
  readonly maxRetryDelayMs: number
  /** Interval at which a process that reaches no router reads changes from the platform; 20 000 ms by default. */
  readonly isolatedReadIntervalMs: number
  /** Number of routers per failure domain that watch the platform; 2 by default. `Infinity` makes every process watch. */
  readonly watchersPerDomain: number
}

export const defaultDocumentsTuning: DocumentsTuning = {
  intervalMs: 2000,
  pushDelayMs: 10,
  followUpDelayMs: 250,
  maxWatchWaitMs: 30_000,
  maxRetryDelayMs: 10_000,
  isolatedReadIntervalMs: 20_000,
  watchersPerDomain: defaultWatchersPerDomain
}

export interface DocumentsServiceOptions {
  readonly self: Member
  readonly store: ObjectStore
  readonly timers: TimerService
  readonly log: Log
  readonly metrics: Metrics
  readonly suspicions: Suspicions
  /** Returns a random number in [0, 1). */
  readonly random: () => number
  /** Sends a message to a router; rejects if there is no answer in time. */
  readonly call: (peer: Member, input: ExchangeInput) => Promise<ExchangeOutput>
  readonly prefixes: readonly string[]
  readonly tuning: DocumentsTuning
}

interface Subscription {
  readonly prefix: string
  readonly listener: (document: StoredObject) => void
}

const initialRetryDelayMs = 250

export class DocumentsService implements Documents {
  readonly #options: DocumentsServiceOptions
  readonly #table: DocumentTable
  readonly #exchange: DocumentExchange
  readonly #watches: readonly PlatformWatch[]
  readonly #subscriptions = new Set<Subscription>()
  /** Members by name of the list document, parsed once per version. */
  readonly #members = new Map<string, readonly Member[]>()
  #cancelReview: Unsubscribe | undefined
  #unansweredRounds = 0
  #nextCatchUpMs = Number.NEGATIVE_INFINITY
  #isLoaded = false
  #isStopped = false

  constructor (options: DocumentsServiceOptions) {
    this.#options = options
    this.#table = new DocumentTable(options.prefixes)
    this.#exchange = new DocumentExchange({
      table: this.#table,
      timers: options.timers,
      metrics: options.metrics,
      random: options.random,
      peers: () => this.#reachableRouters(),
      call: options.call,
      reportContact: (peer, isReachable) => { this.#reportContact(peer, isReachable) },
      onUpdate: document => { this.#notify(document) },
      relaysPeerUpdates: () => this.#isLoaded && options.self.role === 'router',
      intervalMs: options.tuning.intervalMs,
      pushDelayMs: options.tuning.pushDelayMs,
      followUpDelayMs: options.tuning.followUpDelayMs
    })
    this.#watches = options.prefixes.map(prefix => this.#createWatch(prefix))
  }

  get (name: string): StoredObject | undefined {
    return this.#table.get(name)
  }

  subscribe (prefix: string, listener: (document: StoredObject) => void): Unsubscribe {
    const subscription = { prefix, listener }
    this.#subscriptions.add(subscription)
    return () => { this.#subscriptions.delete(subscription) }
  }

  learn (document: StoredObject): void {
    this.#exchange.publish(document)
  }

  async refresh (name: string): Promise<Result<StoredObject | undefined, StoreFailure>> {
    const result = await this.#options.store.read(name)
    if (result.isOk() && result.value !== undefined) this.learn(result.value)
    return result
  }

  /** Answers an exchange message of another process. */
  answer (input: ExchangeInput): ExchangeOutput {
    return this.#exchange.answer(input)
  }

  /** Loads the documents from a router or the platform, and retries until that succeeds. Then starts exchanges and watches. */
  async start (): Promise<void> {
    for (let failures = 0; !this.#isStopped && !await this.#load(); failures += 1) {
      if (failures === 0) this.#options.log.event('documentsStartDelayed')
      const retryMs = Math.min(this.#options.tuning.maxRetryDelayMs, initialRetryDelayMs * 2 ** failures)
      await new Promise<void>(resolve => { this.#options.timers.after(retryMs * (0.5 + this.#options.random()), resolve) })
    }
    if (this.#isStopped) return
    this.#isLoaded = true
    this.#options.log.event('documentsLoaded', { documents: this.#table.names('').length })
    this.#exchange.start(isAnswered => this.#afterRound(isAnswered))
    this.#updateWatches()
    this.#cancelReview = this.#options.timers.every(this.#options.tuning.intervalMs / 2, () => { this.#updateWatches() })
  }

  stop (): void {
    this.#isStopped = true
    this.#cancelReview?.()
    this.#exchange.stop()
    for (const watch of this.#watches) watch.setActive(false)
  }

  /** Whether this process watches the platform for its failure domain. */
  isWatcher (): boolean {
    const { self, tuning } = this.#options
    if (tuning.watchersPerDomain === Number.POSITIVE_INFINITY) return true
    if (self.role !== 'router') return false
    const domain = this.#reachableRouters().filter(member => member.failureDomain === self.failureDomain && !member.leaving)
    const ranked = rankByHash(`watch ${self.failureDomain}`, [self.id, ...domain.map(member => member.id)])
    return ranked.indexOf(self.id) < tuning.watchersPerDomain
  }

  /**
   * Falls back to the platform if no router answered the periodic comparison.
   * After the first such comparison, the process reads the member lists to find
   * other routers. After later ones it reads all changes. It does so at a low
   * rate, because all processes may be in this state at the same time.
   */
  async #afterRound (isAnswered: boolean): Promise<void> {
    this.#unansweredRounds = isAnswered ? 0 : this.#unansweredRounds + 1
    if (this.#unansweredRounds === 0 || this.isWatcher()) return
    if (this.#unansweredRounds === 1) {
      await this.#watches.find(watch => watch.prefix === membersPrefix)?.catchUp()
      return
    }
    const nowMs = this.#options.timers.monotonicMs()
    if (nowMs < this.#nextCatchUpMs) return
    this.#nextCatchUpMs = nowMs + this.#options.tuning.isolatedReadIntervalMs * (0.75 + this.#options.random() / 2)
    for (const watch of this.#watches) await watch.catchUp()
  }

  /** Reads the member lists from the platform, then all documents from a router, or from the platform if no router answers. */
  async #load (): Promise<boolean> {
    try {
      if (this.#members.size === 0) await this.#createWatch(membersPrefix).readAll()
      if (await this.#exchange.compareWithRandomPeer()) return true
      // Prefixes that were read in earlier attempts are not read again, and a failed read of one prefix does not stop the others.
      // Otherwise a process might never start while calls to the platform fail often.
      const missing = this.#watches.filter(watch => !watch.isLoaded)
      const reads = await Promise.allSettled(missing.map(watch => watch.readAll()))
      return reads.every(read => read.status === 'fulfilled')
    } catch {
      return false
    }
  }

  #createWatch (prefix: string): PlatformWatch {
    const { store, timers, random, log, tuning } = this.#options
    return new PlatformWatch({
      prefix,
      store,
      timers,
      random,
      versionOf: name => this.#table.versionOf(name),
      onObject: object => {
        if (this.#isLoaded) this.#exchange.publish(object)
        else this.#exchange.load(object)
      },
      onFailure: detail => { log.event('platformWatchFailed', { prefix, detail }) },
      maxWaitMs: tuning.maxWatchWaitMs
    })
  }

  #updateWatches (): void {
    const isWatcher = !this.#isStopped && this.isWatcher()
    for (const watch of this.#watches) watch.setActive(isWatcher)
  }

  #reachableRouters (): readonly Member[] {
    return [...this.#members.values()].flat().filter(member => member.role === 'router' &&
      member.id !== this.#options.self.id && !this.#options.suspicions.isSuspected(member.id))
  }

  #reportContact (peer: Member, isReachable: boolean): void {
    if (isReachable) this.#options.suspicions.noteAlive(peer.id)
    else this.#options.suspicions.noteUnreachable(peer.id)
  }

  #notify (document: StoredObject): void {
    if (document.name.startsWith(membersPrefix)) this.#members.set(document.name, membersOf(document))
    for (const { prefix, listener } of [...this.#subscriptions]) {
      if (document.name.startsWith(prefix)) listener(document)
    }
  }
}
