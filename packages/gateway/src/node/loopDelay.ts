/** Measures how late the event loop runs its timers, which is how long requests wait for this process unseen. */
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'

const sampleMs = 50
const reportMs = 1000
/** Delay from which a second is worth a log line. */
const notableDelayMs = 200

export interface LoopDelayOptions {
  readonly timers: TimerService
  readonly log: Log
  readonly openRequests: () => number
}

export class LoopDelay {
  readonly #options: LoopDelayOptions
  readonly #stopSampling: Unsubscribe
  #sampledMs: number
  #reportedMs: number
  #delayMs = 0
  #longestMs = 0

  constructor (options: LoopDelayOptions) {
    this.#options = options
    this.#sampledMs = options.timers.monotonicMs()
    this.#reportedMs = this.#sampledMs
    this.#stopSampling = options.timers.every(sampleMs, () => { this.#sample() })
  }

  /** The last delay, or the present one if it is longer already. */
  get delayMs (): number {
    return Math.max(this.#delayMs, this.#options.timers.monotonicMs() - this.#sampledMs - sampleMs)
  }

  stop (): void {
    this.#stopSampling()
  }

  #sample (): void {
    const nowMs = this.#options.timers.monotonicMs()
    this.#delayMs = Math.max(0, nowMs - this.#sampledMs - sampleMs)
    this.#longestMs = Math.max(this.#longestMs, this.#delayMs)
    this.#sampledMs = nowMs
    if (nowMs - this.#reportedMs < reportMs) return
    if (this.#longestMs >= notableDelayMs) {
      this.#options.log.event('eventLoopDelayed', { longestMs: Math.round(this.#longestMs), openRequests: this.#options.openRequests() })
    }
    this.#reportedMs = nowMs
    this.#longestMs = 0
  }
}
