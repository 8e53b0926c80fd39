/** Finds out whether the back end fell over, and when it answers again. */
import type { Log, TimerService } from '@buckthorndrift/kernel'

export interface HealthOptions {
  readonly timers: TimerService
  readonly log: Log
  readonly probe: () => Promise<boolean>
  readonly probeIntervalMs: number
  /** The back end fell over while requests with these content hashes were running there. */
  readonly onDown: (contentHashes: readonly string[]) => void
  /** Requests may be handed over again. */
  readonly onUp: () => void
}

/** A request at the back end when trouble began. */
export interface Suspect {
  readonly contentHash: string
  readonly hasFailed: () => boolean
}

type HealthState = 'up' | 'checking' | 'down'

export class BackEndHealth {
  readonly #options: HealthOptions
  #state: HealthState = 'up'
  #isClosed = false

  constructor (options: HealthOptions) {
    this.#options = options
  }

  /** False after the back end fell over, until it answers again. */
  get isHealthy (): boolean { return this.#state !== 'down' }
  /** False also while a failure is being looked into. */
  get canStart (): boolean { return this.#state === 'up' }

  /**
   * Looks into a failed request. The back end fell over when it does not
   * answer a probe, or when several requests ran there and all failed at the
   * same time: a restart can be faster than the probe. One broken connection
   * alone is no crash, or its content would be blamed for it.
   */
  async check (suspects: readonly Suspect[]): Promise<void> {
    if (this.#state !== 'up') return
    this.#state = 'checking'
    const isAnswering = await this.#options.probe()
    const haveAllFailed = suspects.length > 1 && suspects.every(suspect => suspect.hasFailed())
    if (isAnswering && !haveAllFailed) {
      this.#state = 'up'
      this.#options.onUp()
      return
    }
    this.#state = 'down'
    this.#options.log.event('backEndFellOver', { running: suspects.length })
    this.#options.onDown(suspects.map(suspect => suspect.contentHash))
    await this.#probeAgain(isAnswering)
  }

  close (): void {
    this.#isClosed = true
  }

  async #probeAgain (isAnswering: boolean): Promise<void> {
    if (this.#isClosed) return
    if (isAnswering) {
      this.#state = 'up'
      this.#options.log.event('backEndRecovered')
      this.#options.onUp()
      return
    }
    this.#options.timers.after(this.#options.probeIntervalMs, () => {
      this.#options.probe().then(answer => this.#probeAgain(answer))
    })
  }
}
