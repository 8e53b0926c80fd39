/** Requests whose connection broke while an endpoint ran them, until it is known whether the endpoint died. */

interface BrokenRun {
  readonly contentHash: string
  readonly atMs: number
}

/** An endpoint that died refuses connections, or its entry goes or is replaced, within this time. */
const deathKnownMs = 6000
const maxRunsPerEndpoint = 100

export class BrokenRuns {
  readonly #runs = new Map<string, BrokenRun[]>()

  /** Whether any run is remembered. */
  get isEmpty (): boolean {
    return this.#runs.size === 0
  }

  note (endpointId: string, contentHash: string, nowMs: number): void {
    const runs = this.#recent(endpointId, nowMs)
    runs.push({ contentHash, atMs: nowMs })
    this.#runs.set(endpointId, runs.slice(-maxRunsPerEndpoint))
  }

  /** Takes the contents that ran when the endpoint died. */
  takeDeath (endpointId: string, nowMs: number): readonly string[] {
    const runs = this.#recent(endpointId, nowMs)
    this.#runs.delete(endpointId)
    return [...new Set(runs.map(run => run.contentHash))]
  }

  #recent (endpointId: string, nowMs: number): BrokenRun[] {
    return (this.#runs.get(endpointId) ?? []).filter(run => nowMs - run.atMs < deathKnownMs)
  }
}
