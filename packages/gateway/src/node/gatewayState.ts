/** State that all requests of a gateway share: its view of the fleet, and the routing decisions that depend on it. */
import type { Log } from '@buckthorndrift/kernel'
import { canEndBeforeStop, ColdEndpoints, KnownEvacuations, placeCall, placeGeneration, rankByRendezvous, RecentDurations, socketShares, standingOf, type Hasher, type HeldMemory, type OverloadGuard } from '@buckthorndrift/policy'
import { isRepeatable } from '../shared/attemptRules.ts'
import type { Deployment } from '../shared/deployment.ts'
import type { ResponseAttributes } from '../shared/call.ts'
import type { Dialect } from '../shared/dialect.ts'
import type { ElapsedClock } from '../shared/elapsedClock.ts'
import { EndpointDirectory } from '../shared/endpointDirectory.ts'
import type { EndpointEntry, Route, RouteTarget, Service } from '../shared/fleet.ts'
import type { LimitMessage, LimitReply } from '../shared/limitMessages.ts'
import { RetryQuota } from '../shared/retryQuota.ts'
import type { RouteTable } from '../shared/routeTable.ts'
import type { BudgetLedger } from './budgetLedger.ts'
import type { CallInput } from './callInput.ts'
import { reportOutcome, type CallOutcome } from './callOutcome.ts'
import type { CallContent, CrashTracker } from './crashTracker.ts'
import type { EndpointAttempt } from './endpointAttempt.ts'
import type { ColdState, EndpointLimits } from './endpointLimits.ts'
import { TrackedEndpoints, type TrackedEndpoint } from './trackedEndpoints.ts'
import type { Rollouts } from './rollouts.ts'
import type { SharedEngineLoads } from './sharedEngineLoads.ts'
import type { GatewayMetrics } from './gatewayMetrics.ts'
import type { LimitReports } from './limitReports.ts'
import type { LoadMeter } from './loadMeter.ts'

/** The endpoint chosen for one attempt. */
export interface Placement {
  readonly endpoint: TrackedEndpoint
  readonly placedMs: number
  /** Expected time to the first token in ms; 0 for services without an engine. */
  readonly estimateMs: number
  /** Expected time in which the engine reads the prompt, without the time that it waits; 0 for services without an engine. */
  readonly prefillMs: number
  /** Prompt tokens that the endpoint is not expected to have in its prefix cache. */
  readonly uncachedTokens: number
  /** Tokens that the engine has to read before them; `undefined` if only those of this router are known. */
  readonly backlogTokens: number | undefined
  /** Whether this is the endpoint that rendezvous hashing assigns to the shared part of the prompt, which is the same at all routers. */
  readonly isHome: boolean
}

export interface GatewayStateOptions {
  readonly deployment: Deployment
  readonly dialect: Dialect
  readonly clock: ElapsedClock
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly ledger: BudgetLedger
  readonly crashes: CrashTracker
  readonly guard: OverloadGuard
  readonly load: LoadMeter
  readonly rollouts: Rollouts
  readonly limits: EndpointLimits
  readonly engineLoads: SharedEngineLoads
  readonly memory: HeldMemory
  readonly limitReports: LimitReports
  readonly hasher: Hasher
  readonly random: () => number
}

const retryAfterMs = 400
const minJitter = 0.75
/** Part of the latency objective above which the expected time to the first token keeps a request away from a version under trial. A trial is no reason to answer late. */
const maxTrialEstimatePart = 0.5
const unavailableStatus = 503
const misdirectedStatus = 421
/** Share of the allowed retries that routers use. The rest is a margin for requests that moved between windows and are counted only once. */
const usableRetryShare = 0.75

export class GatewayState {
  readonly deployment: Deployment
  readonly dialect: Dialect
  readonly clock: ElapsedClock
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly ledger: BudgetLedger
  readonly crashes: CrashTracker
  readonly evacuations: KnownEvacuations
  readonly directory: EndpointDirectory
  readonly coldEndpoints = new ColdEndpoints()
  readonly endpoints: TrackedEndpoints
  readonly guard: OverloadGuard
  readonly load: LoadMeter
  readonly rollouts: Rollouts
  readonly limits: EndpointLimits
  readonly engineLoads: SharedEngineLoads
  /** Memory that requests of callers and messages of other routers hold. */
  readonly memory: HeldMemory
  readonly limitReports: LimitReports
  readonly #hasher: Hasher
  readonly #random: () => number
  readonly #retryQuotas = new Map<string, RetryQuota>()
  readonly #durations = new RecentDurations()
  routeTable: RouteTable | undefined
  /** When this router ends the requests that are still open; `undefined` while no planned stop has begun. */
  stopAtMs: number | undefined
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
    this.rollouts = options.rollouts
    this.limits = options.limits
    this.evacuations = new KnownEvacuations({ isOffered: options.deployment.hasEvacuations })
    this.directory = new EndpointDirectory(this.evacuations)
    this.engineLoads = options.engineLoads
    this.endpoints = new TrackedEndpoints(socket => { this.load.track(socket) }, socketShares(this.deployment.maxSockets).endpoints)
    this.memory = options.memory
    this.limitReports = options.limitReports
    this.#hasher = options.hasher
    this.#random = options.random
  }

  /** Whether a planned stop has begun. */
  get isStopping (): boolean {
    return this.stopAtMs !== undefined
  }

  /** Whether a request may still be sent to an endpoint: always, unless a planned stop would cut it off. */
  mayStart (route: Route, deadlineAtMs: number): boolean {
    if (this.stopAtMs === undefined) return true
    const nowMs = this.clock.nowMs()
    return canEndBeforeStop({ untilStopMs: this.stopAtMs - nowMs, untilDeadlineMs: deadlineAtMs - nowMs, isRepeatable: isRepeatable(route), durations: this.#durations.of(route.name, nowMs) })
  }

  /** Whether responses close their connection, so that callers connect to another router for their next request. */
  get shouldCloseConnections (): boolean {
    return this.isStopping || this.guard.isDiverting
  }

  retryQuotaOf (service: string): RetryQuota {
    let quota = this.#retryQuotas.get(service)
    if (quota === undefined) {
      const { retryShare, retrySlack, retryWindowMs } = this.deployment
      quota = new RetryQuota({ share: retryShare * usableRetryShare, slack: () => retrySlack * usableRetryShare / this.ledger.routerCount(), windowMs: retryWindowMs })
      this.#retryQuotas.set(service, quota)
    }
    return quota
  }

  /** Chooses the service for a request at random, by the weights of the targets of the route. */
  chooseService (targets: readonly RouteTarget[]): string | undefined {
    const total = targets.reduce((sum, target) => sum + target.weight, 0)
    let point = this.#random() * total
    for (const target of targets) {
      point -= target.weight
      if (point < 0) return target.service
    }
    return targets.at(-1)?.service
  }

  /** Rank that is sent to engines: by the priority of the organisation, that of the route, and by how long the prompt holds up others. */
  urgencyOf ({ route, organisation, arrivedMs, deadlineAtMs }: CallInput, placement: Placement): number | undefined {
    const standing = standingOf({ prefillMs: placement.prefillMs, objectiveMs: route.objectiveMs, timeoutMs: deadlineAtMs - arrivedMs, waitedMs: this.clock.nowMs() - arrivedMs })
    return this.routeTable?.engineRanks.rankOf({ base: organisation?.priority ?? route.priority, route: route.priority }, standing)
  }

  /** Retry delay for refused callers, with jitter. While all endpoints of the service have asked for a pause, it lasts until the first pause ends; while all have limits that are used up, until one takes a request of this caller. */
  retryAfterMs (service?: string): number {
    const jitter = minJitter + this.#random() / 2
    const waitMs = service === undefined ? 0 : this.#shortestWaitMs(service)
    return Math.max(retryAfterMs * jitter, waitMs + retryAfterMs * (jitter - minJitter))
  }

  /** Why no endpoint of a service takes a request. */
  absenceDetail (service: string): string {
    return this.directory.isEvacuated(service) ? 'the failure domains of all endpoints of the service are evacuated' : 'no endpoint takes the request'
  }

  /** Time until the first endpoint of a service accepts requests again; 0 if one accepts them now or there is none. */
  #shortestWaitMs (service: string): number {
    const nowMs = this.clock.nowMs()
    const ready = this.directory.ready(service)
    if (ready.length === 0) return 0
    const pauseMs = Math.min(...ready.map(entry => (this.endpoints.get(entry.id)?.pausedUntilMs ?? nowMs) - nowMs))
    if (pauseMs > 0) return pauseMs
    const unpaused = ready.map(entry => this.endpoints.getOrCreate(entry, nowMs)).filter(endpoint => nowMs >= endpoint.pausedUntilMs)
    return this.limits.returnDelayMs(service, unpaused) ?? 0
  }

  /** Applies what an endpoint says of itself in a response: that it shuts down, that it takes a limited number of requests, or that it wants none for a while. */
  recordNotice ({ endpoint, sentMs }: EndpointAttempt, status: number, { isLeaving, retryAfterMs: pauseMs, requestLimit }: ResponseAttributes): void {
    const { id, service, address, version } = endpoint.entry
    // Another endpoint that has the same address now sends this status.
    if (status !== misdirectedStatus) this.limits.recordResponse(endpoint, requestLimit, sentMs)
    if (isLeaving && this.directory.markLeaving(endpoint.entry)) this.log.event('endpointChanged', { change: 'leaving', endpoint: id, service, address, version })
    if (status !== unavailableStatus || pauseMs === undefined) return
    endpoint.pausedUntilMs = Math.max(endpoint.pausedUntilMs, this.clock.nowMs() + pauseMs)
    this.log.event('endpointPaused', { endpoint: id, service, address, pauseMs })
  }

  /** Takes what another router knows of the limit of an endpoint. Returns `undefined` if this router does not know the endpoint. */
  receiveLimit (message: LimitMessage): LimitReply | undefined {
    const entry = this.directory.get(message.endpoint)
    if (entry === undefined || (entry.startedAtMs ?? null) !== message.startedAtMs) return undefined
    return this.limits.receive(this.endpoints.getOrCreate(entry, this.clock.nowMs()), message)
  }

  /** What an endpoint bears while it is cold, and until when it is; `undefined` if it is not. */
  coldStateOf ({ id, service }: EndpointEntry): ColdState | undefined {
    const { coldBound } = this.deployment
    const untilMs = coldBound === undefined ? -Infinity : this.coldEndpoints.untilMs(id)
    if (coldBound === undefined || untilMs <= this.clock.nowMs()) return undefined
    // An endpoint whose service names no pace gets as few requests as under the lowest limit.
    return { ...coldBound, untilMs, requestsPerSecond: this.routeTable?.service(service)?.coldRequestsPerSecond ?? 0 }
  }

  /** Counts an attempt at an endpoint in the metrics. */
  countAttempt ({ entry, limit }: TrackedEndpoint, service: string): void {
    this.metrics.attempts.inc({ service })
    if (limit.requestsPerSecond !== undefined) this.metrics.limitedAttempts.inc({ service })
    if (this.coldStateOf(entry) !== undefined) this.metrics.coldAttempts.inc({ service })
  }

  /** Whether an endpoint takes a request now. */
  #isAccepting (entry: EndpointEntry, nowMs: number): boolean {
    const tracked = this.endpoints.getOrCreate(entry, nowMs)
    return nowMs >= tracked.pausedUntilMs && this.limits.waitMs(tracked) === 0
  }

  /** Requests of this router in flight at an endpoint; `undefined` if the endpoint takes none now or is avoided. */
  runningAt (entry: EndpointEntry): number | undefined {
    const nowMs = this.clock.nowMs()
    const tracked = this.endpoints.getOrCreate(entry, nowMs)
    return this.#isAccepting(entry, nowMs) && !tracked.health.isAvoided(nowMs) ? tracked.running : undefined
  }

  /** Endpoints that take the next attempt of a request now. A version under trial gets its share also while no endpoint of another version takes requests. */
  #accepting ({ name, engine }: Service, isRepeated: boolean, nowMs: number): readonly EndpointEntry[] {
    const endpoints = this.directory.ready(name)
    const input = { service: name, endpoints, hasEngine: engine !== undefined }
    const accepting = this.rollouts.eligible({ ...input, isRepeated }).filter(entry => this.#isAccepting(entry, nowMs))
    if (accepting.length > 0 || isRepeated) return accepting
    return this.rollouts.eligible({ ...input, isRepeated: true }).filter(entry => this.#isAccepting(entry, nowMs))
  }

  /** Whether a request can be sent to an endpoint within the connections that this router may have to endpoints. */
  #mayConnect ({ endpoint }: Placement, route: Route): boolean {
    const mayConnect = this.endpoints.mayConnect(endpoint, isRepeatable(route))
    if (!mayConnect) this.limitReports.record('endpointConnections')
    return mayConnect
  }

  /** Records how an attempt at an endpoint ended. `down` means that the endpoint fails every request, for example because it refuses connections. */
  recordHealth (endpoint: TrackedEndpoint | undefined, outcome: 'served' | 'failed' | 'down'): void {
    if (endpoint === undefined) return
    const nowMs = this.clock.nowMs()
    const wasAvoided = endpoint.health.isAvoided(nowMs)
    if (outcome === 'down') {
      endpoint.health.recordUnreachable(nowMs)
      this.crashes.recordEndpointDown(endpoint.entry)
    }
    if (outcome !== 'down') endpoint.health.recordOutcome(outcome === 'failed', nowMs)
    if (wasAvoided || !endpoint.health.isAvoided(nowMs)) return
    const { id, service, address } = endpoint.entry
    this.log.event('endpointAvoided', { endpoint: id, service, address, outcome, failureShare: Number(endpoint.health.failureShare(nowMs).toFixed(2)) })
  }

  /** Records that a connection broke while the endpoint may have been running a request, and probes whether the endpoint crashed. `content` is `undefined` if the request cannot be the cause of a crash. */
  recordInterrupted (endpoint: TrackedEndpoint | undefined, content: CallContent | undefined, events: number): void {
    if (endpoint === undefined) return
    this.recordHealth(endpoint, 'failed')
    if (content !== undefined) this.crashes.recordInterrupted(endpoint.entry, content, events)
    void endpoint.connections.mayListen().then(mayListen => {
      if (!mayListen) this.recordHealth(endpoint, 'down')
    })
  }

  /** Chooses an endpoint for the next attempt among those not tried yet; `undefined` when there is none, or no connection for it is left. */
  place (input: CallInput, tried: ReadonlySet<string>): Placement | undefined {
    const isRepeated = tried.size > 0
    const placement = this.#placeAmong(input, tried, isRepeated)
    if (placement === undefined) return undefined
    const chosen = isRepeated ? placement : this.#avoidLateTrial(input, tried, placement)
    if (!this.#mayConnect(chosen, input.route)) return undefined
    this.engineLoads.recordPlaced(chosen.uncachedTokens)
    if (isRepeated) return chosen
    this.rollouts.countPlacement(chosen.endpoint.entry)
    return chosen
  }

  /** Moves a request away from a version under trial that is expected to answer it late. */
  #avoidLateTrial (input: CallInput, tried: ReadonlySet<string>, placement: Placement): Placement {
    const mayBeLate = placement.estimateMs > maxTrialEstimatePart * input.route.objectiveMs
    if (!mayBeLate || !this.rollouts.isInTrial(placement.endpoint.entry)) return placement
    const other = this.#placeAmong(input, tried, true)
    return other !== undefined && other.estimateMs < placement.estimateMs ? other : placement
  }

  #placeAmong (input: CallInput, tried: ReadonlySet<string>, isRepeated: boolean): Placement | undefined {
    const nowMs = this.clock.nowMs()
    const endpoints = this.#accepting(input.service, isRepeated, nowMs)
    if (input.service.engine !== undefined && input.attributes.generation !== undefined) return this.#placeGeneration(input, endpoints, tried, nowMs)
    const candidates = endpoints.map(entry => this.endpoints.getOrCreate(entry, nowMs).callCandidate(this.deployment.failureDomain, nowMs))
    const id = placeCall(candidates, tried, this.#random)
    const endpoint = id === undefined ? undefined : this.endpoints.get(id)
    return endpoint === undefined ? undefined : { endpoint, placedMs: nowMs, estimateMs: 0, prefillMs: 0, uncachedTokens: 0, backlogTokens: undefined, isHome: false }
  }

  #placeGeneration (input: CallInput, endpoints: readonly EndpointEntry[], tried: ReadonlySet<string>, nowMs: number): Placement | undefined {
    const { prompt, promptTokens } = input.attributes.generation!
    const capacityTokens = input.service.engine!.kvTokens
    const { tokensPerMs } = this.endpoints.prefillSpeedOf(input.service.name)
    // The last part of a prompt is unique to its request.
    const shared = prompt.slice(0, -1)
    const key = shared.at(-1)?.id
    const [homeId, secondHomeId] = key === undefined ? [] : rankByRendezvous(this.#hasher, key, endpoints).map(({ id }) => id)
    const candidates = endpoints.map(entry => this.endpoints.getOrCreate(entry, nowMs).generationCandidate(prompt, capacityTokens, this.engineLoads.othersAt(entry.id, tokensPerMs), nowMs))
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0)
    const placementInput = { candidates, promptTokens, homeId, secondHomeId, sharedTokens, tried, objectiveMs: input.route.objectiveMs, tokensPerMs, random: this.#random }
    const choice = placeGeneration(placementInput)
    const endpoint = choice === undefined ? undefined : this.endpoints.get(choice.id)
    if (choice === undefined || endpoint === undefined) return undefined
    const { estimateMs, readTokens, backlogTokens } = choice
    return { endpoint, placedMs: nowMs, estimateMs, prefillMs: readTokens / tokensPerMs, uncachedTokens: readTokens, backlogTokens, isHome: choice.id === homeId }
  }

  /** Records a finished request in the log and the metrics. */
  recordOutcome (input: CallInput, outcome: CallOutcome): void {
    const nowMs = this.clock.nowMs()
    if (outcome.outcome === 'finished') this.#durations.record(input.route.name, Math.round(nowMs - input.arrivedMs), nowMs)
    reportOutcome(this, input, outcome, nowMs)
  }
}
