/** Bench `rollout`: seeded versions moved over by the chosen strategy and by a fixed canary. */
import { latencyBucketCount, latencyBucketOf } from '@buckthorndrift/policy'
import { createRandom, type Random } from '../../shared/random.ts'
import { createChosenStrategy, createFixedCanary, type Strategy } from './strategies.ts'
import { drawVersion, isBadNow, pickRoute, type VersionBehaviour } from './versionBehaviour.ts'

const requestsPerSecond = 50
const moveBySecond = 600
const endSecond = 900

/** Time until a changed share reaches the routers, and a report the lease holder. */
const shareDelaySeconds = 2

const baseFailureShare = 0.003
const baseLatencyMs = 300

/** An endpoint is lost every so often, which fails a few requests of one version within a second. */
const meanSecondsBetweenLosses = 200
const requestsPerLoss = 6

/** Now and then everything is slower, old and new alike. */
const slowPeriodSeconds = 300
const slowPeriodLengthSeconds = 20
const slowPeriodFactor = 1.5

interface RunResult {
  readonly isBad: boolean
  /** Share of all requests that the target treated badly. */
  readonly badShare: number
  /** From the first bad request until the target gets no traffic; `undefined` if never. */
  readonly secondsToZero: number | undefined
  readonly isBadSeen: boolean
  readonly isInTime: boolean
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

function countOne (counts: Record<string, MutableCounts>, route: string, isFailed: boolean, latencyMs: number): void {
  const ofRoute = counts[route] ??= { completed: 0, failed: 0, latencyBuckets: Array<number>(latencyBucketCount).fill(0) }
  if (isFailed) {
    ofRoute.failed++
    return
  }
  ofRoute.completed++
  ofRoute.latencyBuckets[latencyBucketOf(latencyMs)]!++
}

function simulateSecond (random: Random, second: number, share: number, version: VersionBehaviour): SecondCounts {
  const counts = { baseline: {}, target: {} } as Pick<SecondCounts, 'baseline' | 'target'>
  const requests = random.poisson(requestsPerSecond)
  const onTarget = Array.from({ length: requests }, () => random.next() < share)
  const targetRequests = onTarget.filter(Boolean).length
  let lost = random.next() < 1 / meanSecondsBetweenLosses ? requestsPerLoss : 0
  const isLossOnTarget = random.next() < share
  const slowPeriod = second % slowPeriodSeconds < slowPeriodLengthSeconds ? slowPeriodFactor : 1
  let badRequests = 0
  for (const isTarget of onTarget) {
    const route = pickRoute(random)
    const isBad = isTarget && isBadNow(version.badness, second, route, targetRequests)
    const isLost = lost > 0 && isTarget === isLossOnTarget
    if (isLost) lost--
    if (isBad) badRequests++
    const isFailed = isLost || random.next() < (isBad ? version.failureShare : baseFailureShare)
    const latencyMs = (baseLatencyMs / 2 + random.exponential(baseLatencyMs / 2)) * slowPeriod * (isBad ? version.slowFactor : 1)
    countOne(isTarget ? counts.target : counts.baseline, route, isFailed, latencyMs)
  }
  return { ...counts, badRequests, requests }
}

function runOne (seed: number, create: (moveBySecond: number) => Strategy): RunResult {
  const random = createRandom(seed)
  const version = drawVersion(random)
  const strategy = create(moveBySecond)
  const shares = [0]
  let requests = 0
  let badRequests = 0
  let firstBadSecond: number | undefined
  let zeroSecond: number | undefined
  let fullSecond: number | undefined
  for (let second = 0; second < endSecond; second++) {
    const share = shares[Math.max(0, second - shareDelaySeconds)] ?? 0
    const counts = simulateSecond(random, second, share, version)
    requests += counts.requests
    badRequests += counts.badRequests
    if (counts.badRequests > 0) firstBadSecond ??= second
    if (share === 1) fullSecond ??= second
    if (share === 0 && second > shareDelaySeconds) zeroSecond ??= second
    shares.push(strategy.step(second, counts))
  }
  return {
    isBad: version.badness.kind !== 'good',
    isBadSeen: firstBadSecond !== undefined,
    badShare: badRequests / requests,
    secondsToZero: firstBadSecond === undefined || zeroSecond === undefined ? undefined : Math.max(0, zeroSecond - firstBadSecond),
    isInTime: fullSecond !== undefined && fullSecond <= moveBySecond,
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
  const bad = results.filter(result => result.isBadSeen)
  // A bad version that was never taken back counts with the whole run.
  const secondsToZero = bad.map(result => result.secondsToZero ?? endSecond)
  return {
    badShareOfTraffic: mean(bad.map(result => result.badShare)),
    secondsToZeroAfterBad: mean(secondsToZero),
    p95SecondsToZeroAfterBad: quantile(secondsToZero, 0.95),
    neverTakenBackShare: mean(bad.map(result => result.secondsToZero === undefined ? 1 : 0)),
    goodVersionsInTimeShare: mean(good.map(result => result.isInTime && !result.isRolledBack ? 1 : 0)),
    falseRollbackShare: mean(good.map(result => result.isRolledBack ? 1 : 0))
  }
}

/** Runs `versions` seeded versions from `seed` on with both strategies. */
export function runRolloutBench (seed: number, versions: number) {
  const seeds = Array.from({ length: versions }, (_, index) => seed + index)
  return {
    bench: 'rollout',
    seed,
    versions,
    requestsPerSecond,
    chosen: summarise(seeds.map(one => runOne(one, createChosenStrategy))),
    baseline: summarise(seeds.map(one => runOne(one, createFixedCanary)))
  }
}
