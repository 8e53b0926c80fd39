/** Bench `rollout`: rollouts of seeded good and bad versions by the chosen strategy, compared with a fixed canary. */
import { latencyBucketCount, latencyBucketOf } from '@buckthorndrift/policy'
import { createRandom, type Random } from '../../shared/random.ts'
import { createChosenStrategy, createFixedCanary, type Strategy } from './strategies.ts'
import { drawVersion, isAffected, pickRoute, type VersionBehaviour } from './versionBehaviour.ts'

const requestsPerSecond = 50
/** Time by which a good version must have all traffic. */
const moveBySecond = 600
/** End of a simulated rollout. */
const endSecond = 900

/** Delay between a decision of the strategy and the traffic share that the routers use. It covers the new share reaching the routers, and their reports reaching the lease holder that runs the rollout. */
const propagationDelaySeconds = 2

const baseFailureShare = 0.003
const baseLatencyMs = 300

/** Endpoints are lost at random, independently of the version. Each loss fails a few requests of one version within one second. */
const meanSecondsBetweenEndpointLosses = 200
const failedRequestsPerLoss = 6

/** Periods in which all requests are slower, those of the old and of the new version. */
const slowPeriodIntervalSeconds = 300
const slowPeriodLengthSeconds = 20
const slowPeriodFactor = 1.5

interface RunResult {
  readonly isBad: boolean
  /** Share of all requests that a defect of the new version affected. */
  readonly badRequestShare: number
  /** Time from the first affected request until the new version gets no traffic; `undefined` if it never happens. */
  readonly secondsToZero: number | undefined
  readonly hasBadRequests: boolean
  readonly isCompletedInTime: boolean
  readonly isRolledBack: boolean
}

interface SecondCounts {
  readonly baseline: Record<string, MutableCounts>
  readonly target: Record<string, MutableCounts>
  readonly badRequests: number
  readonly requests: number
}

interface MutableCounts {
  completed: number
  failed: number
  readonly latencyBuckets: number[]
}

function countRequest (counts: Record<string, MutableCounts>, route: string, isFailed: boolean, latencyMs: number): void {
  const routeCounts = counts[route] ??= { completed: 0, failed: 0, latencyBuckets: Array<number>(latencyBucketCount).fill(0) }
  if (isFailed) {
    routeCounts.failed++
    return
  }
  routeCounts.completed++
  routeCounts.latencyBuckets[latencyBucketOf(latencyMs)]!++
}

function simulateSecond (random: Random, second: number, share: number, version: VersionBehaviour): SecondCounts {
  const counts = { baseline: {}, target: {} } as Pick<SecondCounts, 'baseline' | 'target'>
  const requests = random.poisson(requestsPerSecond)
  const isTargetByRequest = Array.from({ length: requests }, () => random.next() < share)
  const targetRequests = isTargetByRequest.filter(Boolean).length
  let failuresLeft = random.next() < 1 / meanSecondsBetweenEndpointLosses ? failedRequestsPerLoss : 0
  const isLossOnTarget = random.next() < share
  const currentSlowFactor = second % slowPeriodIntervalSeconds < slowPeriodLengthSeconds ? slowPeriodFactor : 1
  let badRequests = 0
  for (const isTarget of isTargetByRequest) {
    const route = pickRoute(random)
    const isBad = isTarget && isAffected(version.defect, second, route, targetRequests)
    const isLost = failuresLeft > 0 && isTarget === isLossOnTarget
    if (isLost) failuresLeft--
    if (isBad) badRequests++
    const isFailed = isLost || random.next() < (isBad ? version.failureShare : baseFailureShare)
    const latencyMs = (baseLatencyMs / 2 + random.exponential(baseLatencyMs / 2)) * currentSlowFactor * (isBad ? version.latencyFactor : 1)
    countRequest(isTarget ? counts.target : counts.baseline, route, isFailed, latencyMs)
  }
  return { ...counts, badRequests, requests }
}

function simulateRollout (seed: number, createStrategy: (moveBySecond: number) => Strategy): RunResult {
  const random = createRandom(seed)
  const version = drawVersion(random)
  const strategy = createStrategy(moveBySecond)
  const shares = [0]
  let requests = 0
  let badRequests = 0
  let firstBadSecond: number | undefined
  let zeroSecond: number | undefined
  let fullSecond: number | undefined
  for (let second = 0; second < endSecond; second++) {
    const share = shares[Math.max(0, second - propagationDelaySeconds)] ?? 0
    const counts = simulateSecond(random, second, share, version)
    requests += counts.requests
    badRequests += counts.badRequests
    if (counts.badRequests > 0) firstBadSecond ??= second
    if (share === 1) fullSecond ??= second
    if (share === 0 && second > propagationDelaySeconds) zeroSecond ??= second
    shares.push(strategy.step(second, counts))
  }
  return {
    isBad: version.defect.kind !== 'good',
    hasBadRequests: firstBadSecond !== undefined,
    badRequestShare: badRequests / requests,
    secondsToZero: firstBadSecond === undefined || zeroSecond === undefined ? undefined : Math.max(0, zeroSecond - firstBadSecond),
    isCompletedInTime: fullSecond !== undefined && fullSecond <= moveBySecond,
    isRolledBack: zeroSecond !== undefined
  }
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}

function quantile (values: readonly number[], share: number): number {
  return values.toSorted((a, b) => a - b)[Math.min(values.length - 1, Math.floor(values.length * share))] ?? 0
}

function summarise (results: readonly RunResult[]) {
  const good = results.filter(result => !result.isBad)
  const bad = results.filter(result => result.hasBadRequests)
  // A bad version that was never rolled back counts with the length of the whole run.
  const secondsToZero = bad.map(result => result.secondsToZero ?? endSecond)
  return {
    badShareOfTraffic: mean(bad.map(result => result.badRequestShare)),
    secondsToZeroAfterBad: mean(secondsToZero),
    p95SecondsToZeroAfterBad: quantile(secondsToZero, 0.95),
    neverTakenBackShare: mean(bad.map(result => result.secondsToZero === undefined ? 1 : 0)),
    goodVersionsInTimeShare: mean(good.map(result => result.isCompletedInTime && !result.isRolledBack ? 1 : 0)),
    falseRollbackShare: mean(good.map(result => result.isRolledBack ? 1 : 0))
  }
}

/** Simulates the rollout of `versions` versions with both strategies, with consecutive seeds starting at `seed`. */
export function runRolloutBench (seed: number, versions: number) {
  const seeds = Array.from({ length: versions }, (_, index) => seed + index)
  return {
    bench: 'rollout',
    seed,
    versions,
    requestsPerSecond,
    chosen: summarise(seeds.map(runSeed => simulateRollout(runSeed, createChosenStrategy))),
    baseline: summarise(seeds.map(runSeed => simulateRollout(runSeed, createFixedCanary)))
  }
}
