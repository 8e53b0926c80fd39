/** Health of an endpoint, as a router infers it from the outcomes of its own requests. */

/** Weight of one outcome in the moving average of the failure share. */
const outcomeWeight = 0.3
/** Half-life of the failure share while there are no outcomes, so that a recovered endpoint is tried again. */
const halfLifeMs = 2000
/** Failure share above which an endpoint gets requests only if there is no other candidate. */
const avoidShare = 0.5

export class EndpointHealth {
  #failureShare = 0
  #updatedMs: number

  constructor (nowMs: number) {
    this.#updatedMs = nowMs
  }

  /** Records the outcome of one request. */
  recordOutcome (isFailure: boolean, nowMs: number): void {
    const current = this.failureShare(nowMs)
    this.#failureShare = current + outcomeWeight * ((isFailure ? 1 : 0) - current)
    this.#updatedMs = nowMs
  }

  /** Records a failure that affects all requests, such as a refused connection. */
  recordUnreachable (nowMs: number): void {
    this.#failureShare = 1
    this.#updatedMs = nowMs
  }

  /** Moving average of the share of failed requests; it decays while there are no outcomes. */
  failureShare (nowMs: number): number {
    return this.#failureShare * 2 ** (-(nowMs - this.#updatedMs) / halfLifeMs)
  }

  /** Whether the failure share is too high to prefer this endpoint. */
  isAvoided (nowMs: number): boolean {
    return this.failureShare(nowMs) > avoidShare
  }
}
