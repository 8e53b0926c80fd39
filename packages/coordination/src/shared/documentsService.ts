/** Documents of one process: start, choice of watchers, exchange, subscriptions. */
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

/** Documents of a fleet; all its processes hold the same ones. */
export const documentPrefixes: readonly string[] = ['config/', 'directory/', membersPrefix, 'fences', 'claims/', 'rollouts/', 'crashes']

/** Routers per failure domain that watch the platform. */
export const watchersPerDomain = 2

export interface DocumentsTuning {
  /** Interval of comparisons with a random router, 2000 ms. */
  readonly intervalMs: number
  /** How long news is gathered before it is pushed, 10 ms. */
  readonly gatherMs: number
  /** After a push, as many further routers are compared with after this time, 250 ms. */
  readonly secondWaveMs: number
  /** Longest wait of one watch call, 30 000 ms. */
  readonly watchMs: number
  /** Longest pause between attempts to start, 10 000 ms. */
  readonly longestRetryMs: number
  /** Interval in which a process that reaches no router reads changes from the platform, 20 000 ms. */
  readonly isolatedReadMs: number
  /** Routers per failure domain that watch the platform, 2; `Infinity` makes every process watch. */
  readonly watchersPerDomain: number
}

export const defaultDocumentsTuning: DocumentsTuning = {
  intervalMs: 2000,
  gatherMs: 10,
  secondWaveMs: 250,
  watchMs: 30_000,
  longestRetryMs: 10_000,
  isolatedReadMs: 20_000,
  watchersPerDomain: watchersPerDomain
}

export interface DocumentsServiceOptions {
  readonly self: Member
  readonly store: ObjectStore
  readonly timers: TimerService
  readonly log: Log
  readonly metrics: Metrics
  readonly suspicions: Suspicions
  /** Numbers from 0 below 1. */
  readonly random: () => number
  readonly call: (peer: Member, input: ExchangeInput) => Promise<ExchangeOutput>
  readonly prefixes: readonly string[]
  readonly tuning: DocumentsTuning
}

interface Subscription {
  readonly prefix: string
  readonly listener: (document: StoredObject) => void
}

const firstRetryMs = 250

export class DocumentsService implements Documents {
  readonly #options: DocumentsServiceOptions
  readonly #table: DocumentTable
  readonly #exchange: DocumentExchange
  readonly #watches: readonly PlatformWatch[]
  readonly #subscriptions = new Set<Subscription>()
  /** Members by object, parsed once per version. */
  readonly #members = new Map<string, readonly Member[]>()
  #review: Unsubscribe | undefined
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
      noteContact: (peer, isReachable) => { this.#noteContact(peer, isReachable) },
      onNews: document => { this.#notify(document) },
      relaysNews: () => this.#isLoaded && options.self.role === 'router',
      intervalMs: options.tuning.intervalMs,
      gatherMs: options.tuning.gatherMs,
      secondWaveMs: options.tuning.secondWaveMs
    })
    this.#watches = options.prefixes.map(prefix => this.#watchOf(prefix))
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

  /** Answers another process; the handler of the control listener. */
  answer (input: ExchangeInput): ExchangeOutput {
    return this.#exchange.answer(input)
  }

  /** Resolves once the documents are known from a router or the platform; retries until then. */
  async start (): Promise<void> {
    for (let failures = 0; !this.#isStopped && !await this.#load(); failures += 1) {
      if (failures === 0) this.#options.log.event('documentsStartDelayed')
      const retryMs = Math.min(this.#options.tuning.longestRetryMs, firstRetryMs * 2 ** failures)
      await new Promise<void>(resolve => { this.#options.timers.after(retryMs * (0.5 + this.#options.random()), resolve) })
    }
    if (this.#isStopped) return
    this.#isLoaded = true
    this.#options.log.event('documentsLoaded', { documents: this.#table.names('').length })
    this.#exchange.start(isAnswered => this.#afterRound(isAnswered))
    this.#reviewWatches()
    this.#review = this.#options.timers.every(this.#options.tuning.intervalMs / 2, () => { this.#reviewWatches() })
  }

  stop (): void {
    this.#isStopped = true
    this.#review?.()
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
   * A process that reaches no router looks for others in the registry, then
   * reads changes from the platform at a low rate: all processes may be in
   * this state at once.
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
    this.#nextCatchUpMs = nowMs + this.#options.tuning.isolatedReadMs * (0.75 + this.#options.random() / 2)
    for (const watch of this.#watches) await watch.catchUp()
  }

  /** Members first, then everything from a router; from the platform when no router answers. */
  async #load (): Promise<boolean> {
    try {
      if (this.#members.size === 0) await this.#watchOf(membersPrefix).readAll()
      if (await this.#exchange.round()) return true
      // What was read stays, and one failure does not stop the others, so that a platform that often fails does not keep a process from starting.
      const missing = this.#watches.filter(watch => !watch.isLoaded)
      const reads = await Promise.allSettled(missing.map(watch => watch.readAll()))
      return reads.every(read => read.status === 'fulfilled')
    } catch {
      return false
    }
  }

  #watchOf (prefix: string): PlatformWatch {
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
      waitMs: tuning.watchMs
    })
  }

  #reviewWatches (): void {
    const isWatcher = !this.#isStopped && this.isWatcher()
    for (const watch of this.#watches) watch.setActive(isWatcher)
  }

  #reachableRouters (): readonly Member[] {
    return [...this.#members.values()].flat().filter(member => member.role === 'router' &&
      member.id !== this.#options.self.id && !this.#options.suspicions.isSuspected(member.id))
  }

  #noteContact (peer: Member, isReachable: boolean): void {
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
