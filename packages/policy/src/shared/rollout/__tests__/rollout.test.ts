import { describe, expect, it } from 'vitest'
import {
  addInterval, alarmEvidence, decideRollout, latencyBucketCount, latencyBucketOf, newEvidence, quantileBucket, shareSteps,
  startRollout, updateEvidence, type IntervalCounts, type RolloutEvidence, type RolloutState, type RouteCounts
} from '../index.ts'

function counts (completed: number, failed: number, latencyMs: number): RouteCounts {
  const latencyBuckets = Array<number>(latencyBucketCount).fill(0)
  latencyBuckets[latencyBucketOf(latencyMs)] = completed
  return { completed, failed, latencyBuckets }
}

const route = 'POST /a'
const moveByMs = 600_000

function run (seconds: number, interval: (second: number, share: number) => IntervalCounts): { readonly state: RolloutState, readonly evidence: RolloutEvidence, readonly shares: readonly number[] } {
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
    it('has all traffic before the set time, in steps', () => {
      const { state, shares } = run(600, () => ({ baseline: { [route]: counts(20, 0, 100) }, target: { [route]: counts(10, 0, 100) } }))
      expect(state).toMatchObject({ targetShare: 1, phase: { kind: 'done' } })
      expect([...new Set(shares)]).toEqual(shareSteps)
    })

    it('is not taken back by failures of both versions at once', () => {
      const { state } = run(600, second => {
        const failed = second % 100 < 10 ? 5 : 0
        return { baseline: { [route]: counts(20, 2 * failed, 100) }, target: { [route]: counts(10, failed, 100) } }
      })
      expect(state.phase.kind).toBe('done')
    })

    it('is not taken back by one lost endpoint', () => {
      const { state } = run(600, second => ({ baseline: { [route]: counts(20, 0, 100) }, target: { [route]: counts(10, second === 300 ? 20 : 0, 100) } }))
      expect(state.phase.kind).toBe('done')
    })
  })

  describe('bad version', () => {
    it('is taken back when it fails on one route only', () => {
      const { state } = run(60, () => ({
        baseline: { [route]: counts(20, 0, 100), 'GET /b': counts(5, 0, 100) },
        target: { [route]: counts(10, 0, 100), 'GET /b': counts(1, 1, 100) }
      }))
      expect(state).toMatchObject({ targetShare: 0, phase: { kind: 'rolledBack', reason: 'failures on GET /b' } })
    })

    it('is taken back when it turns slow late, after much good evidence', () => {
      const { shares } = run(420, second => ({ baseline: { [route]: counts(20, 0, 100) }, target: { [route]: counts(10, 0, second < 400 ? 100 : 200) } }))
      expect(shares.at(399)).toBeGreaterThan(0)
      expect(shares.at(-1)).toBe(0)
    })

    it('stays at zero once taken back, also when it looks good again', () => {
      const { shares } = run(600, second => ({ baseline: { [route]: counts(20, 0, 100) }, target: { [route]: counts(5, second < 20 ? 5 : 0, 100) } }))
      expect(shares.slice(30).every(share => share === 0)).toBe(true)
    })
  })
})

describe('change detector', () => {
  it('needs several intervals, so that one burst raises no alarm', () => {
    const rates = { expectedRate: 0.01, badRate: 0.06 }
    expect(updateEvidence(0, 1000, 1000, rates)).toBeLessThan(alarmEvidence)
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
