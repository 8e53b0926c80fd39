/** Pauses between the calls of one update of a ledger after a conflict or a failed call. */
import type { TimerService } from '@buckthorndrift/kernel'

/** First pause; doubled each time. */
const initialPauseMs = 3
const maxPauseMs = 50

export interface ConflictBackoffOptions {
  readonly timers: TimerService
  /** Uniform in [0, 1). */
  readonly random: () => number
}

export class ConflictBackoff {
  readonly #options: ConflictBackoffOptions
  #nextMs = initialPauseMs

  constructor (options: ConflictBackoffOptions) {
    this.#options = options
  }

  async pause (): Promise<void> {
    const { timers, random } = this.#options
    const pauseMs = this.#nextMs * (0.5 + random())
    this.#nextMs = Math.min(maxPauseMs, this.#nextMs * 2)
    await new Promise<void>(resolve => { timers.after(pauseMs, resolve) })
  }
}
