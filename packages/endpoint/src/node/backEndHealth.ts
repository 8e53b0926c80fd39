/** Detects crashes of the back end, and probes it until it responds again. */
import type { Log, TimerService } from '@buckthorndrift/kernel'

export interface BackEndHealthOptions {
  readonly timers: TimerService
  readonly log: Log
  readonly probe: () => Promise<boolean>
  readonly probeIntervalMs: number
  /** Called when the back end has crashed, with the content hashes of the requests that were running there. */
  readonly onCrash: (contentHashes: readonly string[]) => void
  /** Called when requests may be sent to the back end again. */
  readonly onRecovered: () => void
}

/** A request that was running at the back end when a request failed; this includes the failed request itself. */
export interface RunningRequest {
  readonly contentHash: string
  readonly hasFailed: () => boolean
}

type HealthState = 'up' | 'checking' | 'down'

export class BackEndHealth {
  readonly #options: BackEndHealthOptions
  #state: HealthState = 'up'
  #isClosed = false

  constructor (options: BackEndHealthOptions) {
    this.#options = options
  }

  /** False from a crash of the back end until it responds again. */
  get isHealthy (): boolean { return this.#state !== 'down' }
  /** Like `isHealthy`, but also false while a failure is being checked. */
  get canStartRequests (): boolean { return this.#state === 'up' }

  /**
   * Checks after a failed request whether the back end crashed.
   *
   * It counts as crashed if it does not respond to a probe. It also counts as
   * crashed if several requests were running and all have failed by the end of
   * the probe, because it may have restarted before the probe. A single broken
   * connection is not a crash: otherwise its content would be reported as the
   * cause.
   */
  async checkAfterFailure (runningRequests: readonly RunningRequest[]): Promise<void> {
    if (this.#state !== 'up') return
    this.#state = 'checking'
    const isAnswering = await this.#options.probe()
    const haveAllFailed = runningRequests.length > 1 && runningRequests.every(request => request.hasFailed())
    if (isAnswering && !haveAllFailed) {
      this.#state = 'up'
      this.#options.onRecovered()
      return
    }
    this.#state = 'down'
    this.#options.log.event('backEndFellOver', { running: runningRequests.length })
    this.#options.onCrash(runningRequests.map(request => request.contentHash))
    await this.#probeUntilRecovered(isAnswering)
  }

  close (): void {
    this.#isClosed = true
  }

  async #probeUntilRecovered (isAnswering: boolean): Promise<void> {
    if (this.#isClosed) return
    if (isAnswering) {
      this.#state = 'up'
      this.#options.log.event('backEndRecovered')
      this.#options.onRecovered()
      return
    }
    this.#options.timers.after(this.#options.probeIntervalMs, () => {
      this.#options.probe().then(hasAnswered => this.#probeUntilRecovered(hasAnswered))
    })
  }
}
