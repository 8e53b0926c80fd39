/** Measures how late the event loop runs its timers. Requests wait as long, and no other metric shows this wait. */
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { MeanWait } from '@buckthorndrift/policy'

const sampleIntervalMs = 50
const reportIntervalMs = 1000
/** A report interval is logged if its longest delay is at least this long. */
const minLoggedDelayMs = 200

export interface LoopDelayOptions {
  readonly timers: TimerService
  readonly log: Log
  readonly openRequests: () => number
}

export class LoopDelay {
  readonly #options: LoopDelayOptions
  readonly #stopSampling: Unsubscribe
  readonly #mean: MeanWait
  #sampledMs: number
  #reportedMs: number
  #delayMs = 0
  #longestMs = 0

  constructor (options: LoopDelayOptions) {
    this.#options = options
    this.#sampledMs = options.timers.monotonicMs()
    this.#reportedMs = this.#sampledMs
    this.#mean = new MeanWait(this.#sampledMs)
    this.#stopSampling = options.timers.every(sampleIntervalMs, () => { this.#sample() })
  }

  /** The last measured delay, or the delay of the overdue sample if that is already longer. */
  get delayMs (): number {
    return Math.max(this.#delayMs, this.#options.timers.monotonicMs() - this.#sampledMs - sampleIntervalMs)
  }

  /** Mean delay of late. */
  get meanMs (): number {
    return this.#mean.waitMs
  }

  stop (): void {
    this.#stopSampling()
  }

  #sample (): void {
    const nowMs = this.#options.timers.monotonicMs()
    this.#delayMs = Math.max(0, nowMs - this.#sampledMs - sampleIntervalMs)
    this.#mean.addSample(this.#delayMs, nowMs)
    this.#longestMs = Math.max(this.#longestMs, this.#delayMs)
    this.#sampledMs = nowMs
    if (nowMs - this.#reportedMs < reportIntervalMs) return
    if (this.#longestMs >= minLoggedDelayMs) {
      this.#options.log.event('eventLoopDelayed', { longestMs: Math.round(this.#longestMs), openRequests: this.#options.openRequests() })
    }
    this.#reportedMs = nowMs
    this.#longestMs = 0
  }
}
