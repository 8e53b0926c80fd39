/** Finds connections on which nothing arrives any more, by one sweep over all of them. */
import type { TimerService, Unsubscribe } from '@buckthorndrift/kernel'

export interface Watched {
  /** Monotonic time in ms of the last byte; `undefined` while nothing is expected. */
  readonly lastReceivedMs: number | undefined
  /** Called once when the connection has been silent for too long. */
  onSilence (): void
}

/** Sweeps per silence time; a silent connection is found at most a quarter late. */
const sweepsPerSilence = 4

export class SilenceWatch {
  readonly #timers: TimerService
  readonly #silenceMs: number
  readonly #watched = new Set<Watched>()
  readonly #stop: Unsubscribe

  constructor (timers: TimerService, silenceMs: number) {
    this.#timers = timers
    this.#silenceMs = silenceMs
    this.#stop = timers.every(silenceMs / sweepsPerSilence, () => { this.#sweep() })
  }

  add (watched: Watched): void {
    this.#watched.add(watched)
  }

  remove (watched: Watched): void {
    this.#watched.delete(watched)
  }

  close (): void {
    this.#stop()
  }

  #sweep (): void {
    const oldestMs = this.#timers.monotonicMs() - this.#silenceMs
    for (const watched of this.#watched) {
      if (watched.lastReceivedMs === undefined || watched.lastReceivedMs > oldestMs) continue
      this.#watched.delete(watched)
      watched.onSilence()
    }
  }
}
