/** Exchanges the load of engines with the other routers of a large fleet, through one of them as aggregator. */
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { LoadSums, rankAggregators, SharedLoad, type EngineLoad, type EngineLoads, type Hasher, type OthersLoad } from '@buckthorndrift/policy'
import { decodeLoads, decodeReply, encodeLoads, type LoadMessage, type LoadReply } from '../shared/loadMessages.ts'
import type { LoadClient } from './loadClient.ts'
import type { KnownRouter, RouterDirectory } from './routerDirectory.ts'

export interface SharedEngineLoadsOptions {
  readonly timers: TimerService
  readonly log: Log
  readonly hasher: Hasher
  readonly nodeName: string
  readonly routers: Pick<RouterDirectory, 'routers'>
  readonly client: LoadClient
  /** Loads of this router at engines that have any of its requests. */
  ownLoads (nowMs: number): EngineLoads
}

const exchangeIntervalMs = 200
/** Part of the routers that the sums must count. A router that hears from few must not take engines for idle. */
const minReportShare = 0.25
/** Tokens of a prompt that the others are told at once, because it holds up what they send there until the next exchange. */
const longPromptTokens = 5000
/** Shortest time between two exchanges. */
const minIntervalMs = 50
/** Time after this router last chose an engine for which it goes on to ask for the others' loads. */
const idleAfterMs = 1000
/** Time for which a router that failed to sum up loads is passed by. */
const passByMs = 5000

export class SharedEngineLoads {
  readonly #options: SharedEngineLoadsOptions
  readonly #sums = new LoadSums()
  readonly #shared = new SharedLoad()
  readonly #passedByUntilMs = new Map<string, number>()
  readonly #stopExchanges: Unsubscribe
  #ranked: { readonly routers: readonly KnownRouter[], readonly ranked: readonly KnownRouter[] } | undefined
  #lastUseMs = -Infinity
  #ownReportMs = -Infinity
  #askedMs = -Infinity
  #isBusy = false

  constructor (options: SharedEngineLoadsOptions) {
    this.#options = options
    this.#stopExchanges = options.timers.every(exchangeIntervalMs, () => { void this.#exchange() })
  }

  stop (): void {
    this.#stopExchanges()
  }

  /** Load of the other routers at an engine to which a request may be sent now; `undefined` without recent news. Keeps the exchange going. */
  othersAt (endpoint: string, tokensPerMs: number): EngineLoad | undefined {
    const nowMs = this.#nowMs()
    this.#lastUseMs = nowMs
    return this.#shared.at(endpoint, tokensPerMs, nowMs)
  }

  /** Tells the others of a prompt with many tokens to read, as soon as the caller of this function has sent it. */
  recordPlaced (uncachedTokens: number): void {
    if (uncachedTokens < longPromptTokens || this.#nowMs() - this.#askedMs < minIntervalMs) return
    queueMicrotask(() => { void this.#exchange() })
  }

  /** Age of the shared loads; `Infinity` without any. */
  ageMs (): number {
    return this.#shared.ageMs(this.#nowMs())
  }

  /** Takes the report of another router, and returns the sums of the others. */
  receive ({ from, loads }: LoadMessage): LoadReply {
    const nowMs = this.#nowMs()
    if (nowMs - this.#ownReportMs >= exchangeIntervalMs) this.#exchangeOwn(nowMs)
    const others = this.#sums.exchange(from, decodeLoads(loads), nowMs)
    return { ageMs: Math.round(others.ageMs), routers: others.routers, loads: encodeLoads(others.loads) }
  }

  /** Adds the load of this router to the sums that it keeps, and returns those of the others. */
  #exchangeOwn (nowMs: number): OthersLoad {
    this.#ownReportMs = nowMs
    return this.#sums.exchange(this.#options.nodeName, this.#options.ownLoads(nowMs), nowMs)
  }

  #take (others: OthersLoad, sentMs: number): void {
    const fleet = this.#options.routers.routers?.length ?? Infinity
    if (others.routers >= (fleet - 1) * minReportShare) this.#shared.receive(others, sentMs)
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #aggregator (): KnownRouter | undefined {
    const { routers: { routers }, hasher, nodeName } = this.#options
    if (routers === undefined) return undefined
    if (this.#ranked?.routers !== routers) this.#ranked = { routers, ranked: rankAggregators(hasher, routers) }
    const nowMs = this.#nowMs()
    return this.#ranked.ranked.find(({ id, address }) => id === nodeName || (address !== undefined && nowMs >= (this.#passedByUntilMs.get(id) ?? -Infinity)))
  }

  async #exchange (): Promise<void> {
    const { client, log, nodeName, ownLoads } = this.#options
    const sentMs = this.#nowMs()
    if (this.#isBusy || sentMs - this.#lastUseMs > idleAfterMs) return
    this.#askedMs = sentMs
    const aggregator = this.#aggregator()
    if (aggregator === undefined) return
    if (aggregator.id === nodeName) {
      this.#take(this.#exchangeOwn(sentMs), sentMs)
      return
    }
    this.#isBusy = true
    const exchange = await client.exchange(aggregator.address!, { from: nodeName, loads: encodeLoads(ownLoads(sentMs)) })
    this.#isBusy = false
    switch (exchange.kind) {
      case 'known':
        this.#take(decodeReply(exchange.reply), sentMs)
        return
      case 'failed':
        this.#passedByUntilMs.set(aggregator.id, this.#nowMs() + passByMs)
        log.event('loadExchangeFailed', { router: aggregator.id, detail: exchange.detail })
    }
  }
}
