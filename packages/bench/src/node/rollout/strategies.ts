/** The rollout strategies that the bench compares. */
import {
  addInterval, decideRollout, newEvidence, startRollout, type IntervalCounts, type RouteCounts
} from '@buckthorndrift/policy'

export interface Strategy {
  /** Takes the counts of one second and returns the target's share. */
  step (second: number, interval: IntervalCounts): number
}

const secondMs = 1000

/** The strategy of the product. */
export function createChosenStrategy (moveBySecond: number): Strategy {
  let state = startRollout('service', 'old', 'new', 0, moveBySecond * secondMs, { fencingToken: 1, holder: 'r1' })
  let evidence = newEvidence('new')
  return {
    step (second, interval) {
      evidence = addInterval(evidence, interval)
      const next = decideRollout(state, evidence, second * secondMs)
      if (next.targetShare !== state.targetShare) evidence = { ...evidence, requestsAtStep: 0 }
      state = next
      return state.targetShare
    }
  }
}

const canaryShare = 0.1
const maxFailureShare = 0.05
const minCanaryRequests = 20
const watchSeconds = 60

function totals (counts: Readonly<Record<string, RouteCounts>>): { readonly failed: number, readonly all: number } {
  const each = Object.values(counts)
  const failed = each.reduce((sum, route) => sum + route.failed, 0)
  return { failed, all: failed + each.reduce((sum, route) => sum + route.completed, 0) }
}

/** Baseline: a canary of a tenth for half of the time, then everything; back when too many requests of the last minute failed. */
export function createFixedCanary (moveBySecond: number): Strategy {
  let share = canaryShare
  const recent: Array<{ readonly failed: number, readonly all: number }> = []
  return {
    step (second, interval) {
      recent.push(totals(interval.target))
      if (recent.length > watchSeconds) recent.shift()
      const failed = recent.reduce((sum, counts) => sum + counts.failed, 0)
      const all = recent.reduce((sum, counts) => sum + counts.all, 0)
      if (all >= minCanaryRequests && failed / all > maxFailureShare) share = 0
      else if (share > 0 && second >= moveBySecond / 2) share = 1
      return share
    }
  }
}
