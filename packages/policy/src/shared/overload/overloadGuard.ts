/**
 * Decides what a router whose VM is near its limits still takes on. A full link
 * or processor delays every request, also those of callers that have already
 * left, so new work is sent to other routers before that point.
 */

/** Use from which new connections are sent to other routers. */
const divertFrom = 0.6
/** Use below which they come back, once the least time is over. */
const returnBelow = 0.4
/** Callers are assigned by a hash, so those that filled this router come back with the others. */
const leastDivertMs = 6000
/** Use from which requests of a rank are refused at once, by rank; 0 is the most urgent. */
const refuseFrom: readonly number[] = [0.92, 0.84, 0.76]

export class OverloadGuard {
  #use = 0
  #isDiverting = false
  #divertedMs = 0

  /** Takes the used share of the scarcest resource. */
  update (utilization: number, nowMs: number): void {
    this.#use = utilization
    if (utilization >= divertFrom) {
      this.#isDiverting = true
      this.#divertedMs = nowMs
    }
    if (utilization < returnBelow && nowMs - this.#divertedMs >= leastDivertMs) this.#isDiverting = false
  }

  get use (): number {
    return this.#use
  }

  /** Whether callers are to connect to other routers. */
  get isDiverting (): boolean {
    return this.#isDiverting
  }

  admits (rank: number): boolean {
    return this.#use < refuseFrom[Math.min(rank, refuseFrom.length - 1)]!
  }
}
