/** Requests that endpoints were running when the connection broke. They are kept until it is known whether the endpoint crashed. */

interface InterruptedRun {
  readonly contentHash: string
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

  add (endpointId: string, contentHash: string, nowMs: number): void {
    const runs = this.#recent(endpointId, nowMs)
    runs.push({ contentHash, atMs: nowMs })
    this.#runs.set(endpointId, runs.slice(-maxRunsPerEndpoint))
  }

  /** Removes all runs of a crashed endpoint, and returns the content hashes of those interrupted within `crashDetectionWindowMs`. */
  takeSuspects (endpointId: string, nowMs: number): readonly string[] {
    const runs = this.#recent(endpointId, nowMs)
    this.#runs.delete(endpointId)
    return [...new Set(runs.map(run => run.contentHash))]
  }

  #recent (endpointId: string, nowMs: number): InterruptedRun[] {
    return (this.#runs.get(endpointId) ?? []).filter(run => nowMs - run.atMs < crashDetectionWindowMs)
  }
}
