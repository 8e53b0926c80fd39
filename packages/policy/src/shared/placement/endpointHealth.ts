/** What the outcomes of its own requests tell a router about an endpoint. */

/** Weight of one outcome in the moving failure share. */
const outcomeWeight = 0.3
/** Time in which the failure share halves without outcomes, so that a recovered endpoint is tried again. */
const halfLifeMs = 2000
/** Share of failures above which an endpoint gets requests only when no other is left. */
const avoidShare = 0.5

export class EndpointHealth {
  #failureShare = 0
  #updatedMs: number

  constructor (nowMs: number) {
    this.#updatedMs = nowMs
  }

  recordOutcome (isFailure: boolean, nowMs: number): void {
    const current = this.failureShare(nowMs)
    this.#failureShare = current + outcomeWeight * ((isFailure ? 1 : 0) - current)
    this.#updatedMs = nowMs
  }

  /** Notes a failure that concerns every request, such as a refused connection. */
  recordUnreachable (nowMs: number): void {
    this.#failureShare = 1
    this.#updatedMs = nowMs
  }

  /** Moving share of failed requests, which decays while none is sent. */
  failureShare (nowMs: number): number {
    return this.#failureShare * 2 ** (-(nowMs - this.#updatedMs) / halfLifeMs)
  }

  isAvoided (nowMs: number): boolean {
    return this.failureShare(nowMs) > avoidShare
  }
}
