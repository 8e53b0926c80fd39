/**
 * Chooses an endpoint: prefix affinity with bounded loads first, then the less
 * loaded of two random candidates, with a preference for the same failure domain.
 */
import { averageOthersShare, loadShare, type Candidate } from './loadEstimate.ts'

export interface ChoiceInput {
  readonly candidates: readonly Candidate[]
  readonly failureDomain: string
  /** Ids in order of prefix affinity; empty for requests without a prefix. */
  readonly affinity: readonly string[]
  /** Endpoints already tried for this request. */
  readonly tried: ReadonlySet<string>
  readonly nowMs: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Load above which the own failure domain has no preference: requests would wait there. */
const spillShare = 0.9
/** Added to the load of endpoints in other failure domains. */
const remotePenaltyShare = 0.2
/**
 * Bound of consistent hashing: an endpoint keeps a prefix up to this multiple of
 * the average load. In the bench `routing`, 1.25 lost cache hits at high load and
 * 1.5 raised the p95 of the first token again.
 */
const affinityBound = 1.35
/** Load below which an endpoint keeps its prefixes whatever the average is, because nothing waits there. */
const affinityFloorShare = 0.85
/** An unhealthy endpoint is tried again after this time, because only an answer can show that it recovered. */
const unhealthyRetryMs = 2000

function isExcluded (candidate: Candidate, nowMs: number): boolean {
  const { report } = candidate
  if (report === undefined) return false
  return report.leaving || (!report.healthy && nowMs - report.atMs < unhealthyRetryMs)
}

/** Candidates in the widest group that is not empty: fresh first, then those tried, avoided or suspected. */
function eligible (input: ChoiceInput): readonly Candidate[] {
  const alive = input.candidates.filter(candidate => !isExcluded(candidate, input.nowMs))
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

/** The chosen endpoint's id; `undefined` when every candidate is leaving or unhealthy. */
export function chooseEndpoint (input: ChoiceInput): string | undefined {
  const candidates = eligible(input)
  if (candidates.length === 0) return undefined
  const average = averageOthersShare(candidates, input.nowMs)
  const shareOf = (candidate: Candidate): number => loadShare(candidate, average, input.nowMs)
  return byAffinity(input, candidates, shareOf) ?? byLoad(input, candidates, shareOf)
}

function byAffinity (input: ChoiceInput, candidates: readonly Candidate[], shareOf: (candidate: Candidate) => number): string | undefined {
  if (input.affinity.length === 0) return undefined
  const mean = candidates.reduce((sum, candidate) => sum + shareOf(candidate), 0) / candidates.length
  const bound = Math.max(affinityFloorShare, affinityBound * mean)
  const byId = new Map(candidates.map(candidate => [candidate.id, candidate]))
  return input.affinity.find(id => {
    const candidate = byId.get(id)
    return candidate !== undefined && candidate.avoidUntilMs <= input.nowMs && shareOf(candidate) < bound
  })
}

function byLoad (input: ChoiceInput, candidates: readonly Candidate[], shareOf: (candidate: Candidate) => number): string | undefined {
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
