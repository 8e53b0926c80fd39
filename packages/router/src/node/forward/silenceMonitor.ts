/** Detects connections on which no byte has arrived for too long, by periodic sweeps over all of them. */
import type { TimerService, Unsubscribe } from '@buckthorndrift/kernel'

export interface MonitoredConnection {
  /** Monotonic time in ms of the last byte; `undefined` while no byte is expected. */
  readonly lastReceivedMs: number | undefined
  /** Called once when the connection has been silent for too long. */
  onSilence (): void
}

/** Sweeps per silence limit: a silent connection is detected at most a quarter of the limit late. */
const sweepsPerSilenceLimit = 4

export class SilenceMonitor {
  readonly #timers: TimerService
  readonly #silenceMs: number
  readonly #connections = new Set<MonitoredConnection>()
  readonly #stopSweeping: Unsubscribe

  constructor (timers: TimerService, silenceMs: number) {
    this.#timers = timers
    this.#silenceMs = silenceMs
    this.#stopSweeping = timers.every(silenceMs / sweepsPerSilenceLimit, () => { this.#sweep() })
  }

  add (connection: MonitoredConnection): void {
    this.#connections.add(connection)
  }

  remove (connection: MonitoredConnection): void {
    this.#connections.delete(connection)
  }

  close (): void {
    this.#stopSweeping()
  }

  #sweep (): void {
    const oldestMs = this.#timers.monotonicMs() - this.#silenceMs
    for (const connection of this.#connections) {
      if (connection.lastReceivedMs === undefined || connection.lastReceivedMs > oldestMs) continue
      this.#connections.delete(connection)
      connection.onSilence()
    }
  }
}
