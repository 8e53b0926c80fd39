/** State that the calls of a gateway share: what it believes of the fleet, and the decisions on top of it. */
import type { Log } from '@buckthorndrift/kernel'
import { placeCall, placeGeneration, rankByRendezvous, type FailureReason, type Hasher, type OverloadGuard } from '@buckthorndrift/policy'
import type { Deployment } from '../shared/deployment.ts'
import type { Dialect } from '../shared/dialect.ts'
import type { ElapsedClock } from '../shared/elapsedClock.ts'
import { EndpointDirectory } from '../shared/endpointDirectory.ts'
import type { EndpointEntry, Organisation, Route, RouteTarget } from '../shared/fleet.ts'
import { RetryQuota } from '../shared/retryQuota.ts'
import type { RouteTable } from '../shared/routeTable.ts'
import type { BudgetLedger } from './budgetLedger.ts'
import type { CallInput } from './callInput.ts'
import type { CallContent, CrashWatch } from './crashWatch.ts'
import { EndpointPeers, type EndpointPeer } from './endpointPeers.ts'
import type { GatewayMetrics } from './gatewayMetrics.ts'
import type { LoadMeter } from './loadMeter.ts'

export interface Place {
  readonly peer: EndpointPeer
  readonly estimateMs: number
  /** Tokens of the prompt that the endpoint has to read. */
  readonly uncachedTokens: number
  /** Whether it is the endpoint that all routers prefer for the shared part of the prompt. */
  readonly isHome: boolean
}

export interface CallOutcome {
  readonly outcome: 'finished' | 'failed' | 'refused' | 'abandoned'
  readonly status: number
  readonly reason: FailureReason | undefined
  readonly detail: string
  readonly endpointIds: readonly string[]
  readonly runs: number
  readonly events: number
  /** Longest pause between two events of a stream. */
  readonly longestGapMs: number
  readonly firstByteMs: number | undefined
  /** The last place of the call; `undefined` when it was not sent. */
  readonly place: Place | undefined
}

export interface GatewayStateOptions {
  readonly deployment: Deployment
  readonly dialect: Dialect
  readonly clock: ElapsedClock
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly ledger: BudgetLedger
  readonly crashes: CrashWatch
  readonly guard: OverloadGuard
  readonly load: LoadMeter
  readonly hasher: Hasher
  readonly random: () => number
}

/** Least urgent rank that an engine knows. */
const maxUrgency = 9
/** Ranks of an engine for each priority of an organisation. */
const ranksPerPriority = 3
const retryAfterMs = 400
/** Part of the share that routers use, because requests that moved between windows are counted once only. */
const retryShareUse = 0.75

export class GatewayState {
  readonly deployment: Deployment
  readonly dialect: Dialect
  readonly clock: ElapsedClock
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly ledger: BudgetLedger
  readonly crashes: CrashWatch
  readonly directory = new EndpointDirectory()
  readonly peers: EndpointPeers
  readonly guard: OverloadGuard
  readonly load: LoadMeter
  readonly #hasher: Hasher
  readonly #random: () => number
  readonly #quotas = new Map<string, RetryQuota>()
  table: RouteTable | undefined
  isStopping = false
  openRequests = 0

  constructor (options: GatewayStateOptions) {
    this.deployment = options.deployment
    this.dialect = options.dialect
    this.clock = options.clock
    this.log = options.log
    this.metrics = options.metrics
    this.ledger = options.ledger
    this.crashes = options.crashes
    this.guard = options.guard
    this.load = options.load
    this.peers = new EndpointPeers(socket => { this.load.track(socket) })
    this.#hasher = options.hasher
    this.#random = options.random
  }

  /** Whether answers tell callers to connect to another router for their next request. */
  get closesConnections (): boolean {
    return this.isStopping || this.guard.isDiverting
  }

  quotaOf (service: string): RetryQuota {
    let quota = this.#quotas.get(service)
    if (quota === undefined) {
      const { retryShare, retrySlack, retryWindowMs } = this.deployment
      quota = new RetryQuota({ share: retryShare * retryShareUse, slack: () => retrySlack * retryShareUse / this.ledger.routerCount(), windowMs: retryWindowMs })
      this.#quotas.set(service, quota)
    }
    return quota
  }

  /** Service for a request, by the weights of the route's targets. */
  chooseService (targets: readonly RouteTarget[]): string | undefined {
    const total = targets.reduce((sum, target) => sum + target.weight, 0)
    let point = this.#random() * total
    for (const target of targets) {
      point -= target.weight
      if (point < 0) return target.service
    }
    return targets.at(-1)?.service
  }

  /** Rank that engines are told: the organisation's goes before the route's, which decides among equals. */
  urgencyOf (route: Route, organisation: Organisation | undefined): number {
    const first = organisation?.priority ?? route.priority
    return Math.min(maxUrgency, first * ranksPerPriority + Math.min(route.priority, ranksPerPriority - 1))
  }

  retryAfterMs (): number {
    return retryAfterMs * (0.75 + this.#random() / 2)
  }

  /** Notes how a request at an endpoint ended; `down` concerns every request, such as a refused connection. */
  noteHealth (peer: EndpointPeer | undefined, outcome: 'served' | 'failed' | 'down'): void {
    if (peer === undefined) return
    const nowMs = this.clock.nowMs()
    const wasAvoided = peer.health.isAvoided(nowMs)
    if (outcome === 'down') {
      peer.health.recordUnreachable(nowMs)
      this.crashes.noteDeath(peer.entry)
    }
    if (outcome !== 'down') peer.health.recordOutcome(outcome === 'failed', nowMs)
    if (wasAvoided || !peer.health.isAvoided(nowMs)) return
    const { id, service, address } = peer.entry
    this.log.event('endpointAvoided', { endpoint: id, service, address, outcome, failureShare: Number(peer.health.failureShare(nowMs).toFixed(2)) })
  }

  /** Notes that a connection broke while the endpoint may have been running a request, and finds out whether it died. */
  noteBroken (peer: EndpointPeer | undefined, content: CallContent): void {
    if (peer === undefined) return
    this.noteHealth(peer, 'failed')
    this.crashes.noteBroken(peer.entry, content)
    void peer.connections.isListening().then(isListening => {
      if (!isListening) this.noteHealth(peer, 'down')
    })
  }

  /** Chooses an endpoint among those not tried yet; `undefined` when there is none. */
  place (input: CallInput, tried: ReadonlySet<string>): Place | undefined {
    const endpoints = this.directory.ready(input.service.name)
    const nowMs = this.clock.nowMs()
    if (input.service.engine !== undefined && input.attributes.generation !== undefined) return this.#placeGeneration(input, endpoints, tried, nowMs)
    const candidates = endpoints.map(endpoint => this.peers.of(endpoint, nowMs).callCandidate(this.deployment.failureDomain, nowMs))
    const id = placeCall(candidates, tried, this.#random)
    const peer = id === undefined ? undefined : this.peers.get(id)
    return peer === undefined ? undefined : { peer, estimateMs: 0, uncachedTokens: 0, isHome: false }
  }

  #placeGeneration (input: CallInput, endpoints: readonly EndpointEntry[], tried: ReadonlySet<string>, nowMs: number): Place | undefined {
    const { prompt, promptTokens } = input.attributes.generation!
    const capacityTokens = input.service.engine!.kvTokens
    // The last part belongs to this request alone.
    const shared = prompt.slice(0, -1)
    const key = shared.at(-1)?.id
    const homeId = key === undefined ? undefined : rankByRendezvous(this.#hasher, key, endpoints)[0]?.id
    const candidates = endpoints.map(endpoint => this.peers.of(endpoint, nowMs).generationCandidate(prompt, capacityTokens, nowMs))
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0)
    const choice = { candidates, promptTokens, homeId, sharedTokens, tried }
    const place = placeGeneration(choice)
    const peer = place === undefined ? undefined : this.peers.get(place.id)
    if (place === undefined || peer === undefined) return undefined
    const cachedTokens = candidates.find(candidate => candidate.id === place.id)?.cachedTokens ?? 0
    return { peer, estimateMs: place.estimateMs, uncachedTokens: Math.max(0, promptTokens - cachedTokens), isHome: place.id === homeId }
  }

  /** Accounts for a finished request in log and metrics. */
  noteOutcome (input: CallInput, result: CallOutcome): void {
    const { route, service, organisation, attributes, configurationVersion } = input
    const durationMs = Math.round(this.clock.nowMs() - input.arrivedMs)
    this.metrics.requests.inc({ service: service.name, outcome: result.outcome })
    this.metrics.durationMs.observe({ service: service.name }, durationMs)
    if (result.firstByteMs !== undefined) this.metrics.firstByteMs.observe({ service: service.name }, result.firstByteMs)
    if (result.events > 1) this.metrics.eventGapMs.observe({ service: service.name }, result.longestGapMs)
    if (result.reason !== undefined) this.metrics.refusals.inc({ reason: result.reason })
    const event = ({ finished: 'requestFinished', failed: 'requestFailed', refused: 'requestRefused', abandoned: 'requestAbandoned' } as const)[result.outcome]
    this.log.event(event, {
      attemptId: attributes.attemptId ?? '',
      route: route.name,
      service: service.name,
      organisation: organisation?.name ?? '',
      configurationVersion,
      status: result.status,
      reason: result.reason ?? '',
      detail: result.detail,
      endpoints: result.endpointIds.join(' '),
      runs: result.runs,
      events: result.events,
      longestGapMs: Math.round(result.longestGapMs),
      firstByteMs: Math.round(result.firstByteMs ?? -1),
      estimateMs: Math.round(result.place?.estimateMs ?? -1),
      uncachedTokens: result.place?.uncachedTokens ?? 0,
      isHome: result.place?.isHome ?? false,
      durationMs,
      leftMs: Math.round(input.deadlineAtMs - this.clock.nowMs()),
      promptTokens: attributes.generation?.promptTokens ?? 0
    })
  }
}
