/** State that one router keeps of a rollout of one service. */
import { addCounts, emptyCounts, initialStage, newEvidence, PooledIntervals, type ObservedCounts, type RolloutEvidence, type RolloutStage } from '@buckthorndrift/policy'
import type { RolloutOrder } from '../shared/fleet.ts'

/** Weight of a new sample in the mean number of requests in flight. */
const smoothingWeight = 0.1

export class ActiveRollout {
  readonly name: string
  readonly seenAtMs: number
  order: RolloutOrder
  /** Revision of the stored order. */
  revision: number
  evidence: RolloutEvidence
  /** Reports of other routers, while this router is the controller. */
  pooled = new PooledIntervals()
  stage: RolloutStage = initialStage
  /** When the controller last told the stage. */
  stageKnownMs = -Infinity
  /** Whether the target is known to be bad. It then gets no more requests, whatever the store says. */
  isStopped = false
  controllerFailingSinceMs: number | undefined
  reportedMs = -Infinity
  isReporting = false
  isWriting = false
  writeDueMs = -Infinity
  /** Era of the store in which the result became known; `undefined` while there is none. */
  resultEra: number | undefined
  /** Requests of the service at this router since the order, and those of them for which the target was chosen. */
  requests = 0
  targetRequests = 0
  /** Mean number of requests of the service that this router has in flight. */
  meanRunning = 0
  /** The last evaluation interval in which the load trial chose the target, and how often it did. */
  #loaded = { interval: -1, requests: 0 }
  #unsent = new Map<string, ObservedCounts>()
  /** All counts since the order, for a new controller. */
  readonly #history = new Map<string, ObservedCounts>()

  constructor (name: string, order: RolloutOrder, revision: number, seenAtMs: number) {
    this.name = name
    this.order = order
    this.revision = revision
    this.seenAtMs = seenAtMs
    this.evidence = newEvidence(order.target)
  }

  get isOpen (): boolean {
    return isOpen(this.order)
  }

  sampleRunning (running: number): void {
    this.meanRunning += smoothingWeight * (running - this.meanRunning)
  }

  /** Takes one of `maxRequests` requests of the load trial in an interval; returns false if they are used up. */
  tryTakeLoaded (interval: number, maxRequests: number): boolean {
    if (this.#loaded.interval !== interval) this.#loaded = { interval, requests: 0 }
    if (this.#loaded.requests >= maxRequests) return false
    this.#loaded.requests++
    return true
  }

  /** Adds the counts of an interval to those that the controller has not accepted yet. */
  addUnsent (counts: readonly ObservedCounts[]): void {
    for (const one of counts) {
      addTo(this.#unsent, one)
      addTo(this.#history, one)
    }
  }

  /** Takes the counts for a report. They are to be given back if the controller does not accept them. */
  takeUnsent (): readonly ObservedCounts[] {
    const counts = [...this.#unsent.values()]
    this.#unsent = new Map()
    return counts
  }

  giveBack (counts: readonly ObservedCounts[]): void {
    for (const one of counts) addTo(this.#unsent, one)
  }

  /** Begins anew under another controller, which has none of the counts that the one before accepted. */
  resetReports (): void {
    this.evidence = newEvidence(this.order.target)
    this.#unsent = new Map(this.#history)
    this.pooled = new PooledIntervals()
    this.controllerFailingSinceMs = undefined
  }
}

/** Whether the rollout has no result yet. */
export function isOpen ({ state }: RolloutOrder): boolean {
  return state === 'ordered' || state === 'running'
}

function addTo (map: Map<string, ObservedCounts>, counts: ObservedCounts): void {
  const key = JSON.stringify([counts.version, counts.route])
  map.set(key, { ...counts, ...addCounts(map.get(key) ?? emptyCounts, counts) })
}
