/**
 * Chooses the endpoint for a text generation request to a language model by the
 * lowest cost. The cost is mainly the estimated time to the first token, which depends
 * on the tokens to prefill, the prefill backlog and the size of the batch. The home
 * endpoint, which all routers derive from the shared part of the prompt, is preferred.
 */

import { addLoads, type EngineLoad } from '../engineLoad/index.ts'

export interface GenerationCandidate {
  readonly id: string
  /** Prompt tokens that the endpoint has cached and does not have to prefill. */
  readonly cachedTokens: number
  /** Prefill backlog there: prompt tokens of this router's requests that the engine still has to read. */
  readonly pendingTokens: number
  /** Number of requests of this router that run there. */
  readonly running: number
  /** Tokens that requests of this router hold in the endpoint's memory. */
  readonly heldTokens: number
  /** Load that the requests of all other routers put on it; `undefined` if it is not known. */
  readonly others: EngineLoad | undefined
  /** Capacity of the endpoint's memory, in tokens. */
  readonly capacityTokens: number
  /** Failure share, see `EndpointHealth`. */
  readonly failureShare: number
  readonly isAvoided: boolean
  /** Moving average of the time by which the first token came later than estimated. */
  readonly excessMs: number
}

export interface GenerationChoice {
  readonly candidates: readonly GenerationCandidate[]
  readonly promptTokens: number
  /** Home endpoint: the one that every router prefers for the shared part of this prompt. */
  readonly homeId: string | undefined
  /** The endpoint that every router prefers when it leaves the home endpoint for one of several that are about as good, so that the shared part is read again at few. */
  readonly secondHomeId: string | undefined
  /** Tokens of the prompt parts that other requests may share. */
  readonly sharedTokens: number
  /** Endpoints that this request was already sent to. */
  readonly tried: ReadonlySet<string>
  /** Time to the first token that the route aims at. */
  readonly objectiveMs: number
  /** Prompt tokens that an engine of the service reads in a millisecond. */
  readonly tokensPerMs: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

export interface GenerationPlacement {
  readonly id: string
  /** Estimated time to the first token. */
  readonly estimateMs: number
  /** Prompt tokens that the endpoint probably has to read. */
  readonly readTokens: number
  /** Tokens that the engine has to read before them; `undefined` if only those of this router are known. */
  readonly backlogTokens: number | undefined
}

/** Time that each running request adds to a step of the engine's batch. */
const runningCostMs = 2
/** Weight of this router's pending tokens while those of other routers are not known. It is above 1 because others send requests there too. */
const lonePendingWeight = 1.5
/** Probability that the home endpoint has cached the shared part although this router never sent it there. */
const homeCachedProbability = 0.7
const failurePenaltyMs = 600
/** Weight of the time for a repeated prefill of shared parts. */
const repeatedPrefillWeight = 4
/** Part of the objective up to which an estimated first token is early enough. */
const safeObjectiveShare = 0.6
/** Weight of the estimated time beyond that part. */
const lateWeight = 3
/** Memory use above which an engine starts to preempt requests. */
const memoryLimitShare = 0.6
const memoryPenaltyMs = 500

/** Prompt tokens that an endpoint has to read, by what this router and the others have probably sent there. */
function expectedReadTokens (choice: GenerationChoice, candidate: GenerationCandidate): number {
  const expectedShared = candidate.id === choice.homeId ? choice.sharedTokens * homeCachedProbability : 0
  return Math.max(0, choice.promptTokens - Math.max(candidate.cachedTokens, expectedShared))
}

/** Difference in cost below which endpoints count as equal. Routers with the same view must not all choose the same one before they hear of each other's choice. */
const equalCostMs = 6

/** Estimated time to the first token at one endpoint, in ms. */
export function estimateFirstTokenMs (choice: GenerationChoice, candidate: GenerationCandidate): number {
  const { others } = candidate
  const load = others === undefined ? { ...candidate, pendingTokens: candidate.pendingTokens * lonePendingWeight } : addLoads(candidate, others)
  const prefillMs = (expectedReadTokens(choice, candidate) + load.pendingTokens) / choice.tokensPerMs
  const memoryShare = (load.heldTokens + choice.promptTokens) / candidate.capacityTokens
  const memoryMs = memoryShare > memoryLimitShare ? memoryPenaltyMs * memoryShare : 0
  return prefillMs + load.running * runningCostMs + memoryMs + candidate.excessMs
}

/**
 * Cost of prefilling shared parts at an endpoint other than their home. They take
 * memory there, and are prefilled again whenever requests move.
 */
function repeatedPrefillCostMs (choice: GenerationChoice, candidate: GenerationCandidate): number {
  if (candidate.id === choice.homeId) return 0
  return Math.max(0, choice.sharedTokens - candidate.cachedTokens) / choice.tokensPerMs * repeatedPrefillWeight
}

interface Offer {
  readonly candidate: GenerationCandidate
  readonly estimateMs: number
  readonly costMs: number
}

function offerOf (choice: GenerationChoice, candidate: GenerationCandidate): Offer {
  const estimateMs = estimateFirstTokenMs(choice, candidate)
  return { candidate, estimateMs, costMs: estimateMs + candidate.failureShare * failurePenaltyMs + repeatedPrefillCostMs(choice, candidate) + lateCostMs(choice, candidate, estimateMs) }
}

/** Cost of an answer that is likely to come after the objective. An estimate is low where the engine is slow, so it counts from a part of the objective on. */
function lateCostMs (choice: GenerationChoice, candidate: GenerationCandidate, estimateMs: number): number {
  if (candidate.others === undefined) return 0
  return Math.max(0, estimateMs - choice.objectiveMs * safeObjectiveShare) * lateWeight
}

/** The offer with the lowest cost, or one of those that are about as good if none of them has a part of the prompt. */
function bestOf (choice: GenerationChoice, offers: readonly Offer[]): Offer | undefined {
  const lowestMs = Math.min(...offers.map(({ costMs }) => costMs))
  const best = offers.find(({ costMs }) => costMs === lowestMs)
  if (best === undefined || best.candidate.id === choice.homeId || best.candidate.cachedTokens > 0) return best
  const equal = offers.filter(({ candidate, costMs }) => costMs <= lowestMs + equalCostMs && candidate.id !== choice.homeId)
  return equal.find(({ candidate }) => candidate.id === choice.secondHomeId) ?? equal[Math.floor(choice.random() * equal.length)]
}

/** Returns a candidate with the lowest cost, or `undefined` if no candidate is untried. */
export function placeGeneration (choice: GenerationChoice): GenerationPlacement | undefined {
  const untried = choice.candidates.filter(candidate => !choice.tried.has(candidate.id))
  const preferred = untried.filter(candidate => !candidate.isAvoided)
  const group = preferred.length > 0 ? preferred : untried
  const best = bestOf(choice, group.map(candidate => offerOf(choice, candidate)))
  if (best === undefined) return undefined
  const { candidate, estimateMs } = best
  const { pendingTokens, others } = candidate
  return { id: candidate.id, estimateMs, readTokens: expectedReadTokens(choice, candidate), backlogTokens: others === undefined ? undefined : pendingTokens + others.pendingTokens }
}
