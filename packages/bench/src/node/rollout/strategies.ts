/** The rollout strategies that the bench compares. */
import {
  addInterval, decideRollout, newEvidence, startRollout, type IntervalCounts, type RouteCounts
} from '@buckthorndrift/policy'

export interface Strategy {
  /** Takes the request counts of one second and returns the traffic share of the new version (the target). */
  step (second: number, interval: IntervalCounts): number
}

const secondMs = 1000

/** The rollout logic of @buckthorndrift/policy. */
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
const windowSeconds = 60

function sumCounts (counts: Readonly<Record<string, RouteCounts>>): { readonly failed: number, readonly all: number } {
  const routes = Object.values(counts)
  const failed = routes.reduce((sum, route) => sum + route.failed, 0)
  return { failed, all: failed + routes.reduce((sum, route) => sum + route.completed, 0) }
}

/** Baseline: 10 % of the traffic for half of the time, then all of it. Rolls back when more than 5 % of at least 20 requests in the last minute failed. */
export function createFixedCanary (moveBySecond: number): Strategy {
  let share = canaryShare
  const recentCounts: Array<{ readonly failed: number, readonly all: number }> = []
  return {
    step (second, interval) {
      recentCounts.push(sumCounts(interval.target))
      if (recentCounts.length > windowSeconds) recentCounts.shift()
      const failed = recentCounts.reduce((sum, counts) => sum + counts.failed, 0)
      const all = recentCounts.reduce((sum, counts) => sum + counts.all, 0)
      if (all >= minCanaryRequests && failed / all > maxFailureShare) share = 0
      else if (share > 0 && second >= moveBySecond / 2) share = 1
      return share
    }
  }
}
