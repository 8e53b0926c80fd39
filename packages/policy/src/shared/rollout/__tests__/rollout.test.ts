import { describe, expect, it } from 'vitest'
import {
  addInterval, alarmThreshold, decideRollout, latencyBucketCount, latencyBucketOf, newEvidence, quantileBucket, shareSteps,
  startRollout, updateEvidence, type IntervalCounts, type RolloutEvidence, type RolloutState, type RouteCounts
} from '../index.ts'

function counts (completed: number, failed: number, latencyMs: number): RouteCounts {
  const latencyBuckets = Array<number>(latencyBucketCount).fill(0)
  latencyBuckets[latencyBucketOf(latencyMs)] = completed
  return { completed, failed, latencyBuckets }
}

const route = 'POST /a'
const moveByMs = 600_000

function simulateRollout (seconds: number, interval: (second: number, share: number) => IntervalCounts): { readonly state: RolloutState, readonly evidence: RolloutEvidence, readonly shares: readonly number[] } {
  let state = startRollout('s', 'old', 'new', 0, moveByMs, { fencingToken: 1, holder: 'r1' })
  let evidence = newEvidence('new')
  const shares: number[] = []
  for (let second = 0; second < seconds; second++) {
    evidence = addInterval(evidence, interval(second, state.targetShare))
    state = decideRollout(state, evidence, second * 1000)
    shares.push(state.targetShare)
  }
  return { state, evidence, shares }
}

describe('rollout', () => {
  describe('good version', () => {
    it('receives all traffic before its deadline, in steps', () => {
      const { state, shares } = simulateRollout(600, () => ({ baseline: { [route]: counts(20, 0, 100) }, target: { [route]: counts(10, 0, 100) } }))
      expect(state).toMatchObject({ targetShare: 1, phase: { kind: 'done' } })
      expect([...new Set(shares)]).toEqual(shareSteps)
    })

    it('is not rolled back when both versions fail at the same time', () => {
      const { state } = simulateRollout(600, second => {
        const failed = second % 100 < 10 ? 5 : 0
        return { baseline: { [route]: counts(20, 2 * failed, 100) }, target: { [route]: counts(10, failed, 100) } }
      })
      expect(state.phase.kind).toBe('done')
    })

    it('is not rolled back because of one lost endpoint', () => {
      const { state } = simulateRollout(600, second => ({ baseline: { [route]: counts(20, 0, 100) }, target: { [route]: counts(10, second === 300 ? 20 : 0, 100) } }))
      expect(state.phase.kind).toBe('done')
    })
  })

  describe('bad version', () => {
    it('is rolled back when it fails on one route only', () => {
      const { state } = simulateRollout(60, () => ({
        baseline: { [route]: counts(20, 0, 100), 'GET /b': counts(5, 0, 100) },
        target: { [route]: counts(10, 0, 100), 'GET /b': counts(1, 1, 100) }
      }))
      expect(state).toMatchObject({ targetShare: 0, phase: { kind: 'rolledBack', reason: 'failures on GET /b' } })
    })

    it('is rolled back when it becomes slow late, after a long time of good evidence', () => {
      const { shares } = simulateRollout(420, second => ({ baseline: { [route]: counts(20, 0, 100) }, target: { [route]: counts(10, 0, second < 400 ? 100 : 200) } }))
      expect(shares.at(399)).toBeGreaterThan(0)
      expect(shares.at(-1)).toBe(0)
    })

    it('gets no traffic once rolled back, even when it recovers', () => {
      const { shares } = simulateRollout(600, second => ({ baseline: { [route]: counts(20, 0, 100) }, target: { [route]: counts(5, second < 20 ? 5 : 0, 100) } }))
      expect(shares.slice(30).every(share => share === 0)).toBe(true)
    })
  })
})

describe('change detector', () => {
  it('raises no alarm after a single interval, however many failures it has', () => {
    const rates = { expectedRate: 0.01, badRate: 0.06 }
    expect(updateEvidence(0, 1000, 1000, rates)).toBeLessThan(alarmThreshold)
  })
})

describe('latency buckets', () => {
  it('finds the bucket of a quantile', () => {
    const buckets = Array<number>(latencyBucketCount).fill(0)
    buckets[latencyBucketOf(10)] = 95
    buckets[latencyBucketOf(1000)] = 5
    expect(quantileBucket(buckets, 0.95)).toBe(latencyBucketOf(10))
    expect(quantileBucket(buckets, 0.96)).toBe(latencyBucketOf(1000))
    expect(latencyBucketOf(1e9)).toBe(latencyBucketCount - 1)
  })
})
