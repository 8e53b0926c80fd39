/**
 * Admission control of a router whose VM is close to its limits. A saturated link
 * or processor delays every request, including those of callers that have
 * already left this router, so new work is sent to other routers before that point.
 */

/** Utilization from which callers are told to connect to other routers. */
const divertThreshold = 0.6
/** Utilization below which this router accepts callers again, once `minDivertMs` has passed. */
const returnThreshold = 0.4
/** Minimum time of diversion. Callers are assigned by a hash, so those that overloaded this router return with the others. */
const minDivertMs = 6000
/**
 * Weight of the processor. A busy processor delays requests for as long as its backlog
 * lasts, and short bursts, for example of a new configuration, are common. A full link
 * loses packets, and delays also the news that a caller has left.
 */
const processorWeight = 0.8
/** Utilization from which requests are refused immediately, by rank; rank 0 is the most urgent. */
const refuseThresholds: readonly number[] = [0.92, 0.84, 0.76]

export interface ResourceUse {
  readonly link: number
  readonly processor: number
}

export class OverloadGuard {
  #utilization = 0
  #isDiverting = false
  #lastAboveThresholdMs = 0

  /** Updates the utilization, which is that of the scarcest resource. Both are shares of what the VM has. */
  update ({ link, processor }: ResourceUse, nowMs: number): void {
    this.#utilization = Math.max(link, processor * processorWeight)
    if (this.#utilization >= divertThreshold) {
      this.#isDiverting = true
      this.#lastAboveThresholdMs = nowMs
    }
    if (this.#utilization < returnThreshold && nowMs - this.#lastAboveThresholdMs >= minDivertMs) this.#isDiverting = false
  }

  get utilization (): number {
    return this.#utilization
  }

  /** Whether callers are to connect to other routers. */
  get isDiverting (): boolean {
    return this.#isDiverting
  }

  /** Whether a request of this rank is accepted. */
  admits (rank: number): boolean {
    return this.#utilization < refuseThresholds[Math.min(rank, refuseThresholds.length - 1)]!
  }
}
