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
  /** Tokens of the prompt parts that other requests may share. */
  readonly sharedTokens: number
  /** Endpoints that this request was already sent to. */
  readonly tried: ReadonlySet<string>
  /** Uniform in [0, 1). */
  readonly random: () => number
}

export interface GenerationPlacement {
  readonly id: string
  /** Estimated time to the first token. */
  readonly estimateMs: number
  /** Prompt tokens that the endpoint probably has to read. */
  readonly readTokens: number
}

/** Prefill speed of an engine. It only has to be accurate enough to compare endpoints. */
export const prefillTokensPerMs = 55
/** Time that each running request adds to a step of the engine's batch. */
const runningCostMs = 2
/** Weight of this router's pending tokens while those of other routers are not known. It is above 1 because others send requests there too. */
const lonePendingWeight = 1.5
/** Probability that the home endpoint has cached the shared part although this router never sent it there. */
const homeCachedProbability = 0.7
const failurePenaltyMs = 600
/** Weight of the time for a repeated prefill of shared parts. */
const repeatedPrefillWeight = 4
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
  const prefillMs = (expectedReadTokens(choice, candidate) + load.pendingTokens) / prefillTokensPerMs
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
  return Math.max(0, choice.sharedTokens - candidate.cachedTokens) / prefillTokensPerMs * repeatedPrefillWeight
}

interface Offer {
  readonly candidate: GenerationCandidate
  readonly estimateMs: number
  readonly costMs: number
}

function offerOf (choice: GenerationChoice, candidate: GenerationCandidate): Offer {
  const estimateMs = estimateFirstTokenMs(choice, candidate)
  return { candidate, estimateMs, costMs: estimateMs + candidate.failureShare * failurePenaltyMs + repeatedPrefillCostMs(choice, candidate) }
}

/** The offer with the lowest cost, or one of those that are about as good if none of them has a part of the prompt. */
function bestOf (choice: GenerationChoice, offers: readonly Offer[]): Offer | undefined {
  const lowestMs = Math.min(...offers.map(({ costMs }) => costMs))
  const best = offers.find(({ costMs }) => costMs === lowestMs)
  if (best === undefined || best.candidate.id === choice.homeId || best.candidate.cachedTokens > 0) return best
  const equal = offers.filter(({ candidate, costMs }) => costMs <= lowestMs + equalCostMs && candidate.id !== choice.homeId)
  return equal[Math.floor(choice.random() * equal.length)]
}

/** Returns a candidate with the lowest cost, or `undefined` if no candidate is untried. */
export function placeGeneration (choice: GenerationChoice): GenerationPlacement | undefined {
  const untried = choice.candidates.filter(candidate => !choice.tried.has(candidate.id))
  const preferred = untried.filter(candidate => !candidate.isAvoided)
  const group = preferred.length > 0 ? preferred : untried
  const best = bestOf(choice, group.map(candidate => offerOf(choice, candidate)))
  if (best === undefined) return undefined
  const { candidate, estimateMs } = best
  return { id: candidate.id, estimateMs, readTokens: expectedReadTokens(choice, candidate) }
}
