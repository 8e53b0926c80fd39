/**
 * Admission control of a router whose VM is close to its limits. A saturated link
 * or processor delays every request, including those of callers that have
 * already left this router, so new work is sent to other routers before that point.
 */

/** Share of the link from which callers are told to connect to other routers. A full link loses packets, and delays also the news that a caller has left. */
const linkDivertThreshold = 0.6
/**
 * Share of the processor from which callers are told to connect to other routers. A busy
 * processor delays requests only for as long as its backlog lasts. The load balancer
 * uses all routers of a failure domain again once half of them are not ready, so a router
 * that can still serve its callers must not withdraw.
 */
const processorDivertThreshold = 0.9
/** Part of its divert threshold below which a resource allows callers again, once the time of the diversion has passed. */
const returnPart = 2 / 3
/** Time of a first diversion. Callers are assigned by a hash, so those that overloaded this router return with the others. */
const minDivertMs = 6000
/** Longest time of a diversion. Each one that follows soon after another lasts twice as long. */
const maxDivertMs = 24_000
/** Time after a diversion within which the next one counts as caused by the same callers. */
const sameCallersMs = 10_000
/** Weight of the processor in the utilization by which requests are refused. */
const processorWeight = 0.8
/** Utilization from which requests are refused immediately, by rank; rank 0 is the most urgent. */
const refuseThresholds: readonly number[] = [0.92, 0.84, 0.76]

export interface ResourceUse {
  readonly link: number
  readonly processor: number
}

export class OverloadGuard {
  #utilization = 0
  #use: ResourceUse = { link: 0, processor: 0 }
  #isDiverting = false
  #divertMs = 0
  #lastAboveThresholdMs = 0
  #endedMs = -Infinity

  /** Updates the use of the resources. Both are shares of what the VM has. */
  update (use: ResourceUse, nowMs: number): void {
    this.#use = use
    this.#utilization = Math.max(use.link, use.processor * processorWeight)
    const load = Math.max(use.link / linkDivertThreshold, use.processor / processorDivertThreshold)
    if (load >= 1) this.#divert(nowMs)
    if (this.#isDiverting && load < returnPart && nowMs - this.#lastAboveThresholdMs >= this.#divertMs) {
      this.#isDiverting = false
      this.#endedMs = nowMs
    }
  }

  /** Utilization of the scarcest resource. */
  get utilization (): number {
    return this.#utilization
  }

  get use (): ResourceUse {
    return this.#use
  }

  /** Whether callers are to connect to other routers. */
  get isDiverting (): boolean {
    return this.#isDiverting
  }

  /** Whether a request of this rank is accepted. */
  admits (rank: number): boolean {
    return this.#utilization < refuseThresholds[Math.min(rank, refuseThresholds.length - 1)]!
  }

  #divert (nowMs: number): void {
    this.#lastAboveThresholdMs = nowMs
    if (this.#isDiverting) return
    this.#isDiverting = true
    this.#divertMs = nowMs - this.#endedMs < sameCallersMs ? Math.min(maxDivertMs, this.#divertMs * 2) : minDivertMs
  }
}
