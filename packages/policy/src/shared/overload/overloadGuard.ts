/**
 * Admission control of a router whose VM is close to its limits. A saturated link
 * or processor delays every request, including those of callers that have
 * already left this router, so new work is sent to other routers before that point.
 *
 * The use of a link says how long its queue is. The use of a processor does not:
 * its capacity is known only roughly, and a busy one may still take up every
 * request at once. It counts only while requests are seen to wait for it.
 */

/** Utilization from which callers are told to connect to other routers. */
const divertThreshold = 0.6
/** Utilization below which this router accepts callers again, once the time of the diversion has passed. */
const returnThreshold = 0.4
/** Time of a first diversion. Callers are assigned by a hash, so those that overloaded this router return with the others. */
const minDivertMs = 6000
/** Longest time of a diversion. Each one that follows soon after another lasts twice as long. */
const maxDivertMs = 24_000
/** Time after a diversion within which the next one counts as caused by the same callers. */
const sameCallersMs = 10_000
/**
 * Weight of the processor. A busy processor delays requests for as long as its backlog
 * lasts, and short bursts, for example of a new configuration, are common. A full link
 * loses packets, and delays also the news that a caller has left.
 */
const processorWeight = 0.8
/** Utilization of the link from which requests are refused immediately, by rank; rank 0 is the most urgent. */
const refuseThresholds: readonly number[] = [0.92, 0.84, 0.76]
/** Wait for the processor from which callers are told to connect to other routers. Connecting anew takes about as long. */
const divertWaitMs = 50
/** Number of times that a request waits for the processor until its response begins: when it arrives, when its caller is looked for, and when the endpoint responds. */
const waitsPerRequest = 3
/** Part of its latency objective that a request may wait for the processor of this router, by rank. The rest is the time of the endpoint. */
const maxWaitParts: readonly number[] = [1, 0.75, 0.5]

export interface ResourceUse {
  /** Used share of the network link. */
  readonly link: number
  /** Used share of the processor, as far as its capacity is known. */
  readonly processor: number
  /** Mean time for which work waits until the processor takes it up. */
  readonly processorWaitMs: number
}

const idle: ResourceUse = { link: 0, processor: 0, processorWaitMs: 0 }

export class OverloadGuard {
  #use = idle
  #isDiverting = false
  #divertMs = 0
  #lastAboveThresholdMs = 0
  #endedMs = -Infinity

  update (use: ResourceUse, nowMs: number): void {
    this.#use = use
    if (this.utilization >= divertThreshold) this.#divert(nowMs)
    if (this.#isDiverting && this.utilization < returnThreshold && nowMs - this.#lastAboveThresholdMs >= this.#divertMs) {
      this.#isDiverting = false
      this.#endedMs = nowMs
    }
  }

  /** What was last measured. */
  get use (): ResourceUse {
    return this.#use
  }

  /** Utilization of the scarcest resource. */
  get utilization (): number {
    return Math.max(this.#use.link, this.#processorUtilization(divertWaitMs))
  }

  /** Whether callers are to connect to other routers. */
  get isDiverting (): boolean {
    return this.#isDiverting
  }

  /** Whether a request of this rank, with this latency objective, is accepted. */
  admits (rank: number, objectiveMs: number): boolean {
    const maxWaitMs = objectiveMs * ofRank(maxWaitParts, rank) / waitsPerRequest
    return this.#use.link < ofRank(refuseThresholds, rank) && this.#processorUtilization(maxWaitMs) < divertThreshold
  }

  #divert (nowMs: number): void {
    this.#lastAboveThresholdMs = nowMs
    if (this.#isDiverting) return
    this.#isDiverting = true
    this.#divertMs = nowMs - this.#endedMs < sameCallersMs ? Math.min(maxDivertMs, this.#divertMs * 2) : minDivertMs
  }

  /** Utilization of the processor; 0 unless work waits for it for `minWaitMs` or longer. */
  #processorUtilization (minWaitMs: number): number {
    return this.#use.processorWaitMs < minWaitMs ? 0 : this.#use.processor * processorWeight
  }
}

/** Entry of a list for the ranks from the most urgent one, of which the last one holds for all further ranks. */
function ofRank (values: readonly number[], rank: number): number {
  return values[Math.min(rank, values.length - 1)]!
}
