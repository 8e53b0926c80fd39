/** Behaviour of the model engine: continuous batching, prefix cache, crashes. */
import type { TimerService } from '@buckthorndrift/kernel'
import { BadVersionSwitch } from './badVersion.ts'
import { EngineRequest, promptTokensOf, type EngineInput } from './engineRequest.ts'
import { Lagged } from './lagged.ts'
import { PrefixCache } from './prefixCache.ts'

export interface EngineSettings {
  /** Requests decoded at the same time; the others wait. */
  readonly batchLimit: number
  /** Requests held at the same time, waiting ones included; one more makes the engine fall over. */
  readonly hardLimit: number
  /** Duration of a decoding step, which gives each request in the batch one token, for an empty batch. */
  readonly stepMs: number
  /** Added to a step per request in the batch. */
  readonly stepMsPerRequest: number
  readonly prefillMsPerToken: number
  /** How long the engine answers nothing after it fell over. */
  readonly recoveryMs: number
  /** How long finished requests can be streamed again. */
  readonly retentionMs: number
  readonly loadLagMs: number
  readonly cacheBlocks: number
  readonly cacheEventLagMs: number
  readonly cacheEventGapShare: number
  /** A prompt with this text makes the engine fall over when it starts to run. */
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
  /** Called when the engine falls over, after its requests failed. */
  onFall (): void
}

export class EngineModel {
  readonly cache: PrefixCache
  readonly badVersion: BadVersionSwitch
  readonly #options: EngineModelOptions
  readonly #requests = new Map<string, EngineRequest>()
  readonly #active = new Set<EngineRequest>()
  readonly #executions = new Map<string, number>()
  readonly #load: Lagged<EngineLoad>
  #downUntilMs = Number.NEGATIVE_INFINITY
  #falls = 0
  #isStepping = false

  constructor (options: EngineModelOptions) {
    const { settings, random } = options
    this.#options = options
    this.cache = new PrefixCache({
      blocks: settings.cacheBlocks,
      eventLagMs: settings.cacheEventLagMs,
      eventGapShare: settings.cacheEventGapShare,
      random
    })
    this.badVersion = new BadVersionSwitch(random)
    this.#load = new Lagged(this.#presentLoad(), settings.loadLagMs)
  }

  get isDown (): boolean {
    return this.#nowMs() < this.#downUntilMs
  }

  /** How often the engine fell over. */
  get falls (): number {
    return this.#falls
  }

  /** Executions by request id, failed ones included. */
  executions (): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#executions)
  }

  find (id: string): EngineRequest | undefined {
    return this.#requests.get(id)
  }

  load (): EngineLoad {
    return this.#load.visible(this.#nowMs())
  }

  /** Takes a request; one beyond the hard limit makes the engine fall over. */
  submit (input: EngineInput, route: string): EngineRequest {
    const request = new EngineRequest(input)
    this.#requests.set(input.id, request)
    this.#active.add(request)
    this.#executions.set(input.id, (this.#executions.get(input.id) ?? 0) + 1)
    if (this.#active.size > this.#options.settings.hardLimit) {
      this.fall()
      return request
    }
    const effect = this.badVersion.effectOn(route, this.#active.size, this.#nowMs())
    request.slowdown = effect.slowdown
    if (effect.fails) this.#end(request, 'failed')
    else this.#admit()
    return request
  }

  cancel (id: string): EngineRequest | undefined {
    const request = this.#requests.get(id)
    if (request?.isActive === true) this.#end(request, 'cancelled')
    return request
  }

  /** A paused request keeps its place among the held ones and gives its place in the batch to another. */
  setPaused (id: string, isPaused: boolean): EngineRequest | undefined {
    const request = this.#requests.get(id)
    if (request !== undefined) request.isPaused = isPaused
    this.#admit()
    return request
  }

  /** Breaks all requests and answers nothing for `recoveryMs`. */
  fall (): void {
    this.#downUntilMs = this.#nowMs() + this.#options.settings.recoveryMs
    this.#falls += 1
    this.cache.clear()
    for (const request of [...this.#active]) {
      request.state = 'failed'
      request.notify()
    }
    this.#active.clear()
    this.#requests.clear()
    this.#noteLoad()
    this.#options.onFall()
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #running (): readonly EngineRequest[] {
    return [...this.#active].filter(request => request.state !== 'waiting' && !request.isPaused)
  }

  #admit (): void {
    const waiting = [...this.#active].filter(request => request.state === 'waiting' && !request.isPaused)
      .sort((left, right) => left.input.priority - right.input.priority)
    const free = this.#options.settings.batchLimit - this.#running().length
    for (const request of waiting.slice(0, Math.max(0, free))) {
      this.#start(request)
      if (this.isDown) return
    }
    this.#noteLoad()
    this.#step()
  }

  #start (request: EngineRequest): void {
    const { settings, timers } = this.#options
    if (request.input.prompt.includes(settings.crashMarker)) {
      this.fall()
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
      this.#step()
    })
  }

  /** Runs one step for all decoding requests and plans the next one. */
  #step (): void {
    if (this.#isStepping) return
    const batch = this.#running().filter(request => request.state === 'decoding')
    if (batch.length === 0) return
    this.#isStepping = true
    const { settings, timers } = this.#options
    timers.after(settings.stepMs + settings.stepMsPerRequest * batch.length, () => {
      this.#isStepping = false
      for (const request of batch) this.#advance(request)
      this.#step()
    })
  }

  #advance (request: EngineRequest): void {
    if (request.state !== 'decoding') return
    request.progress += 1 / request.slowdown
    if (request.generated >= request.input.tokens) this.#end(request, 'finished')
    else request.notify()
  }

  #end (request: EngineRequest, state: 'finished' | 'cancelled' | 'failed'): void {
    request.state = state
    this.#active.delete(request)
    request.notify()
    this.#options.timers.after(this.#options.settings.retentionMs, () => {
      if (this.#requests.get(request.input.id) === request) this.#requests.delete(request.input.id)
    })
    this.#admit()
  }

  #presentLoad (): EngineLoad {
    const { batchLimit, hardLimit } = this.#options.settings
    const held = [...this.#active]
    return {
      running: held.filter(request => request.state !== 'waiting' && !request.isPaused).length,
      waiting: held.filter(request => request.state === 'waiting').length,
      paused: held.filter(request => request.isPaused).length,
      batchLimit,
      hardLimit
    }
  }

  #noteLoad (): void {
    this.#load.set(this.#presentLoad(), this.#nowMs())
  }
}
