/**
 * Limits on the requests that an endpoint gets from all routers together, which it names
 * itself or which follow from a cold start: keeps this router to its share of each limit,
 * and exchanges what is known of named limits with other routers.
 */
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { coldShare, limitIntervalMs, participantCount, rankByRendezvous, ReturnTimes, type ColdLimit, type Hasher, type LimitReport, type LimitShare } from '@buckthorndrift/policy'
import type { RequestLimit } from '../shared/call.ts'
import type { ElapsedClock } from '../shared/elapsedClock.ts'
import type { EndpointEntry } from '../shared/fleet.ts'
import type { LimitMessage, LimitReply } from '../shared/limitMessages.ts'
import type { LimitClient } from './limitClient.ts'
import type { KnownRouter, RouterDirectory } from './routerDirectory.ts'
import type { TrackedEndpoint } from './trackedEndpoints.ts'

/** What an endpoint bears while it is cold. */
export interface ColdState extends ColdLimit {
  readonly untilMs: number
}

export interface EndpointLimitsOptions {
  readonly clock: ElapsedClock
  readonly timers: TimerService
  readonly log: Log
  readonly hasher: Hasher
  readonly nodeName: string
  readonly routers: Pick<RouterDirectory, 'routers' | 'isSettled' | 'requestList' | 'isReachable' | 'recordUnreachable'>
  readonly client: LimitClient
  endpoints (): Iterable<TrackedEndpoint>
  /** `undefined` for an endpoint that is not cold. */
  coldStateOf (entry: EndpointEntry): ColdState | undefined
}

/** Interval at which an observer asks a participant. */
const exchangeIntervalMs = 1500

interface RankedRouters {
  /** The set of routers that was ranked. */
  readonly routers: readonly KnownRouter[]
  readonly ranked: readonly KnownRouter[]
}

export class EndpointLimits {
  readonly #options: EndpointLimitsOptions
  readonly #ranks = new WeakMap<TrackedEndpoint, RankedRouters>()
  readonly #returnTimes = new Map<string, ReturnTimes>()
  readonly #stopExchanges: Unsubscribe

  constructor (options: EndpointLimitsOptions) {
    this.#options = options
    this.#stopExchanges = options.timers.every(exchangeIntervalMs, () => { this.#exchangeAll() })
  }

  stop (): void {
    this.#stopExchanges()
  }

  /** Time until this router may send the endpoint a request; 0 if it may now. */
  waitMs (endpoint: TrackedEndpoint): number {
    return Math.max(this.#namedWaitMs(endpoint), this.#coldWaitMs(endpoint))
  }

  /** Time until a cold endpoint may get a request of this router. Routers beyond its share wait until it is warm, and so does one that does not know the others yet. */
  #coldWaitMs (endpoint: TrackedEndpoint): number {
    const cold = this.#options.coldStateOf(endpoint.entry)
    if (cold === undefined) return 0
    const leftMs = Math.max(0, cold.untilMs - this.#nowMs())
    const ranked = this.#rank(endpoint)
    if (ranked === undefined || !this.#options.routers.isSettled) return leftMs
    const { participants, intervalMs } = coldShare(cold, ranked.length)
    const isParticipant = ranked.slice(0, participants).some(({ id }) => id === this.#options.nodeName)
    return isParticipant ? Math.min(leftMs, Math.max(0, endpoint.lastSentMs + intervalMs - this.#nowMs())) : leftMs
  }

  #namedWaitMs (endpoint: TrackedEndpoint): number {
    const { requestsPerSecond } = endpoint.limit
    if (requestsPerSecond === undefined) return 0
    const share = this.#shareOf(endpoint, requestsPerSecond)
    if (share === undefined) return Infinity
    const sinceMs = share.kind === 'participant' ? endpoint.lastSentMs : Math.max(endpoint.lastSentMs, endpoint.limitNewsMs)
    return Math.max(0, sinceMs + limitIntervalMs(requestsPerSecond, share) - this.#nowMs())
  }

  /** Time until a refused caller of a service may come back, if all its endpoints have limits that are used up. `endpoints` are those that accept requests otherwise. */
  returnDelayMs (service: string, endpoints: readonly TrackedEndpoint[]): number | undefined {
    const firstMs = Math.min(...endpoints.map(endpoint => this.waitMs(endpoint)))
    if (endpoints.length === 0 || firstMs === 0) return undefined
    const requestsPerSecond = endpoints.reduce((sum, { limit, entry }) => sum + (limit.requestsPerSecond ?? this.#options.coldStateOf(entry)?.requestsPerSecond ?? 0), 0)
    let times = this.#returnTimes.get(service)
    if (times === undefined) this.#returnTimes.set(service, times = new ReturnTimes())
    return times.nextDelayMs({ nowMs: this.#nowMs(), firstMs, requestsPerSecond, routers: this.#options.routers.routers?.length ?? 1 })
  }

  /** Applies what a response to a request sent at `sentMs` says of the limit. */
  recordResponse (endpoint: TrackedEndpoint, requestLimit: RequestLimit, sentMs: number): void {
    switch (requestLimit.kind) {
      case 'malformed': return
      case 'none':
        if (endpoint.limit.recordUnlimited(sentMs)) this.#onChange(endpoint, 'response')
        return
      case 'named':
        if (endpoint.limit.recordNamed(requestLimit.requestsPerSecond, this.#nowMs())) this.#onChange(endpoint, 'response')
    }
  }

  /** Takes over what another router knows, if it is newer, and returns what this one knows then. */
  receive (endpoint: TrackedEndpoint, { report }: LimitMessage): LimitReply {
    this.#merge(endpoint, report)
    const { requestsPerSecond, ageMs } = endpoint.limit.report(this.#nowMs())
    return { requestsPerSecond: requestsPerSecond ?? null, ageMs }
  }

  #nowMs (): number {
    return this.#options.clock.nowMs()
  }

  #merge (endpoint: TrackedEndpoint, { requestsPerSecond, ageMs }: LimitReply): void {
    const report: LimitReport = { requestsPerSecond: requestsPerSecond ?? undefined, ageMs }
    if (endpoint.limit.merge(report, this.#nowMs())) this.#onChange(endpoint, 'router')
  }

  #onChange (endpoint: TrackedEndpoint, source: 'response' | 'router'): void {
    const { id, service, address } = endpoint.entry
    const { requestsPerSecond } = endpoint.limit
    if (requestsPerSecond === undefined) endpoint.limitNewsMs = -Infinity
    else if (endpoint.limitNewsMs === -Infinity) this.#onFirstNamed(endpoint)
    const share = requestsPerSecond === undefined ? undefined : this.#shareOf(endpoint, requestsPerSecond)
    this.#options.log.event('endpointLimitChanged', { endpoint: id, service, address, source, requestsPerSecond: requestsPerSecond ?? null, share: share?.kind ?? null, routers: this.#options.routers.routers?.length ?? null })
  }

  #onFirstNamed (endpoint: TrackedEndpoint): void {
    endpoint.limitNewsMs = this.#nowMs()
    this.#options.routers.requestList()
  }

  #rank (endpoint: TrackedEndpoint): readonly KnownRouter[] | undefined {
    const { routers } = this.#options.routers
    if (routers === undefined) return undefined
    let ranks = this.#ranks.get(endpoint)
    if (ranks?.routers !== routers) {
      ranks = { routers, ranked: rankByRendezvous(this.#options.hasher, endpoint.entry.id, routers) }
      this.#ranks.set(endpoint, ranks)
    }
    return ranks.ranked
  }

  /** The routers that send to the endpoint are the first ranks. `undefined` before the routers of the fleet are known. */
  #shareOf (endpoint: TrackedEndpoint, requestsPerSecond: number): LimitShare | undefined {
    const ranked = this.#rank(endpoint)
    if (ranked === undefined) return undefined
    const { routers, nodeName } = this.#options
    const participants = participantCount(requestsPerSecond, ranked.length)
    let before = 0
    for (const { id } of ranked) {
      if (before === participants) break
      if (id === nodeName) return { kind: 'participant', participants }
      if (routers.isReachable(id)) before++
    }
    return { kind: 'observer', routers: ranked.length }
  }

  #exchangeAll (): void {
    for (const endpoint of this.#options.endpoints()) {
      const { requestsPerSecond } = endpoint.limit
      if (requestsPerSecond !== undefined && this.#shareOf(endpoint, requestsPerSecond)?.kind === 'observer') void this.#exchange(endpoint, requestsPerSecond)
    }
  }

  /** Asks the first participant whether the limit still holds. */
  async #exchange (endpoint: TrackedEndpoint, requestsPerSecond: number): Promise<void> {
    const { client, routers, log } = this.#options
    const participant = this.#rank(endpoint)?.find(each => each.address !== undefined && routers.isReachable(each.id))
    if (participant?.address === undefined) return
    const { id, startedAtMs } = endpoint.entry
    const { ageMs } = endpoint.limit.report(this.#nowMs())
    const exchange = await client.exchange(participant.address, { endpoint: id, startedAtMs: startedAtMs ?? null, report: { requestsPerSecond, ageMs } })
    switch (exchange.kind) {
      case 'unreachable':
        routers.recordUnreachable(participant.id)
        log.event('limitExchangeFailed', { endpoint: id, router: participant.id, detail: exchange.detail })
        return
      case 'unknown': return
      case 'known':
        endpoint.limitNewsMs = this.#nowMs()
        this.#merge(endpoint, exchange.reply)
    }
  }
}
