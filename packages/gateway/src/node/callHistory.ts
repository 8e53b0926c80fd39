/** What the attempts of one request have shown so far: where it was sent, and whether it may have run. */
import { mayHaveRun, notRun, type Verdict } from '@buckthorndrift/policy'

/** Limit of attempts that did not run the request: connections that failed, and responses that rejected it. */
const maxUnsentAttempts = 3

export class CallHistory {
  readonly #triedIds = new Set<string>()
  #verdict: Verdict = notRun
  #executions = 0
  #unsentAttempts = 0
  #wasSent = false

  /** Endpoints that were tried. */
  get triedIds (): ReadonlySet<string> {
    return this.#triedIds
  }

  get verdict (): Verdict {
    return this.#verdict
  }

  /** Number of endpoints that may have run the request. */
  get executions (): number {
    return this.#executions
  }

  /** Whether an endpoint may have run the request, or an attempt is in flight. */
  get wasSent (): boolean {
    return this.#wasSent
  }

  /** Whether another endpoint may be tried after an attempt that did not run the request. */
  get mayTryUnsent (): boolean {
    return this.#unsentAttempts < maxUnsentAttempts
  }

  recordSent (endpointId: string): void {
    this.#triedIds.add(endpointId)
    this.#wasSent = true
  }

  /** Records that the endpoint of the current attempt ran the request, or may have run it. */
  recordExecution (): void {
    this.#executions++
    this.#verdict = mayHaveRun
  }

  /** Records that the endpoint of the current attempt did not run the request. */
  recordUnsent (): void {
    this.#unsentAttempts++
    this.#wasSent = this.#executions > 0
  }

  /** Records that the request ends while an attempt may be in flight. */
  recordEnd (): void {
    if (this.#wasSent) this.#verdict = mayHaveRun
  }
}
