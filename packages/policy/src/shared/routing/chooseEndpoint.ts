/**
 * Chooses the endpoint for a request. Prefix affinity with bounded loads comes
 * first. Otherwise it is the less loaded of two random candidates, with a
 * preference for the router's own failure domain.
 */
import { averageOtherRoutersShare, loadShare, type Candidate } from './loadEstimate.ts'

export interface ChoiceInput {
  readonly candidates: readonly Candidate[]
  /** Failure domain of this router. */
  readonly failureDomain: string
  /** Endpoint ids in order of prefix affinity; empty for requests without a prefix. */
  readonly affinity: readonly string[]
  /** Ids of the endpoints that were already tried for this request. */
  readonly tried: ReadonlySet<string>
  readonly nowMs: number
  /** Returns a random number that is uniformly distributed in [0, 1). */
  readonly random: () => number
}

/** Load share from which the own failure domain is not preferred, because requests would wait there. */
const spillShare = 0.9
/** Added to the load share of endpoints in other failure domains. */
const remotePenaltyShare = 0.2
/**
 * Bound of consistent hashing with bounded loads: an endpoint keeps its prefixes
 * while its load is below this multiple of the average. In the benchmark
 * `routing`, 1.25 lost cache hits at high load, and 1.5 increased the p95 of the
 * time to the first token.
 */
const affinityBound = 1.35
/** Load share below which an endpoint keeps its prefixes at any average load, because no request waits there. */
const affinityFloorShare = 0.85
/** An unhealthy endpoint is tried again after this time, because only a response can show that it recovered. */
const unhealthyRetryMs = 2000

function isLeavingOrUnhealthy (candidate: Candidate, nowMs: number): boolean {
  const { report } = candidate
  if (report === undefined) return false
  return report.leaving || (!report.healthy && nowMs - report.atMs < unhealthyRetryMs)
}

/**
 * Candidates of the first group that is not empty. The preferred group is neither
 * avoided, suspected nor tried; the later groups drop these conditions in turn.
 */
function eligibleCandidates (input: ChoiceInput): readonly Candidate[] {
  const alive = input.candidates.filter(candidate => !isLeavingOrUnhealthy(candidate, input.nowMs))
  const untried = alive.filter(candidate => !input.tried.has(candidate.id))
  const trusted = untried.filter(candidate => !candidate.isSuspected)
  const open = trusted.filter(candidate => candidate.avoidUntilMs <= input.nowMs)
  return [open, trusted, untried, alive].find(group => group.length > 0) ?? []
}

function pickTwo (candidates: readonly Candidate[], random: () => number): readonly Candidate[] {
  if (candidates.length <= 2) return candidates
  const first = Math.floor(random() * candidates.length)
  const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length
  return [candidates[first], candidates[second]].filter(candidate => candidate !== undefined)
}

/** Returns the id of the chosen endpoint, or `undefined` if all candidates are leaving or unhealthy. */
export function chooseEndpoint (input: ChoiceInput): string | undefined {
  const candidates = eligibleCandidates(input)
  if (candidates.length === 0) return undefined
  const average = averageOtherRoutersShare(candidates, input.nowMs)
  const shareOf = (candidate: Candidate): number => loadShare(candidate, average, input.nowMs)
  return chooseByAffinity(input, candidates, shareOf) ?? chooseByLoad(input, candidates, shareOf)
}

function chooseByAffinity (input: ChoiceInput, candidates: readonly Candidate[], shareOf: (candidate: Candidate) => number): string | undefined {
  if (input.affinity.length === 0) return undefined
  const mean = candidates.reduce((sum, candidate) => sum + shareOf(candidate), 0) / candidates.length
  const bound = Math.max(affinityFloorShare, affinityBound * mean)
  const byId = new Map(candidates.map(candidate => [candidate.id, candidate]))
  return input.affinity.find(id => {
    const candidate = byId.get(id)
    return candidate !== undefined && candidate.avoidUntilMs <= input.nowMs && shareOf(candidate) < bound
  })
}

function chooseByLoad (input: ChoiceInput, candidates: readonly Candidate[], shareOf: (candidate: Candidate) => number): string | undefined {
  const local = candidates.filter(candidate => candidate.failureDomain === input.failureDomain)
  const costOf = (candidate: Candidate): number =>
    shareOf(candidate) + (candidate.failureDomain === input.failureDomain ? 0 : remotePenaltyShare)
  const best = (group: readonly Candidate[]): Candidate | undefined =>
    pickTwo(group, input.random).toSorted((left, right) => costOf(left) - costOf(right))[0]
  const localBest = best(local)
  if (localBest !== undefined && shareOf(localBest) < spillShare) return localBest.id
  const other = best(candidates)
  if (localBest === undefined || other === undefined) return (other ?? localBest)?.id
  return costOf(localBest) <= costOf(other) ? localBest.id : other.id
}
