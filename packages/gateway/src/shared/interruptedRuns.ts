/** Requests that endpoints were running when the connection broke. They are kept until it is known whether the endpoint crashed. */

/** A run of a request whose connection broke. */
export interface InterruptedRun {
  readonly attemptId: string
  readonly contentHash: string
  /** Ids of the parts of the prompt that other requests may share. */
  readonly sharedParts: readonly string[]
  /** Events that the endpoint had sent. */
  readonly events: number
  readonly atMs: number
}

/** Time after a broken connection within which routers detect a crash of the endpoint, because it refuses connections or its entry in the store is replaced. */
const crashDetectionWindowMs = 6000
const maxRunsPerEndpoint = 100

export class InterruptedRuns {
  readonly #runs = new Map<string, InterruptedRun[]>()

  /** Whether no interrupted run is kept. */
  get isEmpty (): boolean {
    return this.#runs.size === 0
  }

  add (endpointId: string, run: InterruptedRun): void {
    const runs = this.#recent(endpointId, run.atMs)
    runs.push(run)
    this.#runs.set(endpointId, runs.slice(-maxRunsPerEndpoint))
  }

  /** Removes all runs of a crashed endpoint, and returns those interrupted within `crashDetectionWindowMs`. */
  take (endpointId: string, nowMs: number): readonly InterruptedRun[] {
    const runs = this.#recent(endpointId, nowMs)
    this.#runs.delete(endpointId)
    return runs
  }

  #recent (endpointId: string, nowMs: number): InterruptedRun[] {
    return (this.#runs.get(endpointId) ?? []).filter(run => nowMs - run.atMs < crashDetectionWindowMs)
  }
}
