/** Simulation of a model engine: continuous batching, prefix cache and crashes. */
import type { TimerService } from '@buckthorndrift/kernel'
import { BadVersionFault } from './badVersion.ts'
import { EngineRequest, promptTokensOf, type EngineRequestInput } from './engineRequest.ts'
import { LaggedValue } from './laggedValue.ts'
import { PrefixCache } from './prefixCache.ts'

export interface EngineSettings {
  /** Maximum of requests in the batch; the others wait. */
  readonly batchLimit: number
  /** Maximum of requests in progress, including waiting ones; one more crashes the engine. */
  readonly hardLimit: number
  /** Duration of a decoding step before `stepMsPerRequest` is added. A step generates one token for each decoding request. */
  readonly stepMs: number
  /** Added to the duration of a step for each decoding request. */
  readonly stepMsPerRequest: number
  readonly prefillMsPerToken: number
  /** Time after a crash during which the engine is down. */
  readonly recoveryMs: number
  /** Time for which an ended request can still be found and streamed. */
  readonly retentionMs: number
  /** Delay until a change of the load becomes visible. */
  readonly loadLagMs: number
  /** Capacity of the prefix cache in blocks. */
  readonly cacheBlocks: number
  /** Delay until a cache event becomes visible. */
  readonly cacheEventLagMs: number
  /** Share of cache events that are never published. */
  readonly cacheEventGapShare: number
  /** Text in a prompt that crashes the engine when the request joins the batch. */
  readonly crashMarker: string
}

export const defaultEngineSettings: EngineSettings = {
  batchLimit: 16,
  hardLimit: 32,
  stepMs: 10,
  stepMsPerRequest: 1,
  prefillMsPerToken: 0.2,
  recoveryMs: 3000,
  retentionMs: 60_000,
  loadLagMs: 500,
  cacheBlocks: 512,
  cacheEventLagMs: 1000,
  cacheEventGapShare: 0.05,
  crashMarker: '[[crash]]'
}

export interface EngineLoad {
  readonly running: number
  readonly waiting: number
  readonly paused: number
  readonly batchLimit: number
  readonly hardLimit: number
}

export interface EngineModelOptions {
  readonly settings: EngineSettings
  readonly timers: TimerService
  readonly random: () => number
  /** Called on a crash, after the requests in progress have been marked as failed. */
  onCrash (): void
}

export class EngineModel {
  readonly cache: PrefixCache
  readonly badVersion: BadVersionFault
  readonly #options: EngineModelOptions
  readonly #requests = new Map<string, EngineRequest>()
  readonly #active = new Set<EngineRequest>()
  readonly #executions = new Map<string, number>()
  readonly #load: LaggedValue<EngineLoad>
  #downUntilMs = Number.NEGATIVE_INFINITY
  #crashCount = 0
  #isStepScheduled = false

  constructor (options: EngineModelOptions) {
    const { settings, random } = options
    this.#options = options
    this.cache = new PrefixCache({
      blocks: settings.cacheBlocks,
      eventLagMs: settings.cacheEventLagMs,
      eventGapShare: settings.cacheEventGapShare,
      random
    })
    this.badVersion = new BadVersionFault(random)
    this.#load = new LaggedValue(this.#currentLoad(), settings.loadLagMs)
  }

  get isDown (): boolean {
    return this.#nowMs() < this.#downUntilMs
  }

  /** Number of crashes so far. */
  get crashCount (): number {
    return this.#crashCount
  }

  /** Number of executions of each request id, including failed ones. */
  executions (): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#executions)
  }

  find (id: string): EngineRequest | undefined {
    return this.#requests.get(id)
  }

  /** The load as it was `loadLagMs` ago. */
  load (): EngineLoad {
    return this.#load.visible(this.#nowMs())
  }

  /** Starts or queues a request. A request above the hard limit crashes the engine. */
  submit (input: EngineRequestInput, route: string): EngineRequest {
    const request = new EngineRequest(input)
    this.#requests.set(input.id, request)
    this.#active.add(request)
    this.#executions.set(input.id, (this.#executions.get(input.id) ?? 0) + 1)
    if (this.#active.size > this.#options.settings.hardLimit) {
      this.crash()
      return request
    }
    const effect = this.badVersion.effectOn(route, this.#active.size, this.#nowMs())
    request.slowdown = effect.slowdown
    if (effect.shouldFail) this.#end(request, 'failed')
    else this.#admitWaiting()
    return request
  }

  cancel (id: string): EngineRequest | undefined {
    const request = this.#requests.get(id)
    if (request?.isActive === true) this.#end(request, 'cancelled')
    return request
  }

  /** Pauses or resumes a request. A paused request still counts towards the hard limit, but not towards the batch limit. */
  setPaused (id: string, isPaused: boolean): EngineRequest | undefined {
    const request = this.#requests.get(id)
    if (request !== undefined) request.isPaused = isPaused
    this.#admitWaiting()
    return request
  }

  /** Fails all requests in progress, forgets ended ones, clears the prefix cache, and stays down for `recoveryMs`. */
  crash (): void {
    this.#downUntilMs = this.#nowMs() + this.#options.settings.recoveryMs
    this.#crashCount += 1
    this.cache.clear()
    for (const request of [...this.#active]) {
      request.state = 'failed'
      request.notifyListeners()
    }
    this.#active.clear()
    this.#requests.clear()
    this.#recordLoad()
    this.#options.onCrash()
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #runningRequests (): readonly EngineRequest[] {
    return [...this.#active].filter(request => request.state !== 'waiting' && !request.isPaused)
  }

  /** Starts waiting requests, lowest priority number first, while the batch has room. */
  #admitWaiting (): void {
    const waiting = [...this.#active].filter(request => request.state === 'waiting' && !request.isPaused)
      .sort((left, right) => left.input.priority - right.input.priority)
    const free = this.#options.settings.batchLimit - this.#runningRequests().length
    for (const request of waiting.slice(0, Math.max(0, free))) {
      this.#start(request)
      if (this.isDown) return
    }
    this.#recordLoad()
    this.#scheduleStep()
  }

  #start (request: EngineRequest): void {
    const { settings, timers } = this.#options
    if (request.input.prompt.includes(settings.crashMarker)) {
      this.crash()
      return
    }
    request.state = 'prefill'
    const cachedTokens = promptTokensOf(request.input.prompt.slice(0, this.cache.cachedCharacters(request.blocks)))
    request.cachedTokens = Math.min(cachedTokens, request.promptTokens)
    this.cache.store(request.blocks, this.#nowMs())
    const prefillMs = (request.promptTokens - request.cachedTokens) * settings.prefillMsPerToken * request.slowdown
    timers.after(prefillMs, () => {
      if (request.state !== 'prefill') return
      request.state = 'decoding'
      this.#scheduleStep()
    })
  }

  /** Schedules the next decoding step, unless one is scheduled already or no request is decoding. */
  #scheduleStep (): void {
    if (this.#isStepScheduled) return
    const batch = this.#runningRequests().filter(request => request.state === 'decoding')
    if (batch.length === 0) return
    this.#isStepScheduled = true
    const { settings, timers } = this.#options
    timers.after(settings.stepMs + settings.stepMsPerRequest * batch.length, () => {
      this.#isStepScheduled = false
      for (const request of batch) this.#decodeStep(request)
      this.#scheduleStep()
    })
  }

  #decodeStep (request: EngineRequest): void {
    if (request.state !== 'decoding') return
    request.progress += 1 / request.slowdown
    if (request.generatedTokens >= request.input.tokens) this.#end(request, 'finished')
    else request.notifyListeners()
  }

  #end (request: EngineRequest, state: 'finished' | 'cancelled' | 'failed'): void {
    request.state = state
    this.#active.delete(request)
    request.notifyListeners()
    this.#options.timers.after(this.#options.settings.retentionMs, () => {
      if (this.#requests.get(request.input.id) === request) this.#requests.delete(request.input.id)
    })
    this.#admitWaiting()
  }

  #currentLoad (): EngineLoad {
    const { batchLimit, hardLimit } = this.#options.settings
    const active = [...this.#active]
    return {
      running: active.filter(request => request.state !== 'waiting' && !request.isPaused).length,
      waiting: active.filter(request => request.state === 'waiting').length,
      paused: active.filter(request => request.isPaused).length,
      batchLimit,
      hardLimit
    }
  }

  #recordLoad (): void {
    this.#load.set(this.#currentLoad(), this.#nowMs())
  }
}
