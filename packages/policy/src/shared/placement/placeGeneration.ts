/**
 * Chooses the endpoint for a text generation request to a language model by the
 * lowest cost. The cost is mainly the estimated time to the first token, which depends
 * on the tokens to prefill, the prefill backlog and the size of the batch. The home
 * endpoint, which all routers derive from the shared part of the prompt, is preferred.
 */

export interface GenerationCandidate {
  readonly id: string
  /** Prompt tokens that the endpoint has cached and does not have to prefill. */
  readonly cachedTokens: number
  /** Prefill backlog there: prompt tokens of this router's requests that have no first token yet. */
  readonly pendingTokens: number
  /** Number of requests of this router that run there. */
  readonly running: number
  /** Tokens that requests of this router hold in the endpoint's memory. */
  readonly heldTokens: number
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
/** Weight of this router's pending tokens. It is above 1 because other routers send requests there too. */
const pendingWeight = 1.5
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

/** Estimated time to the first token at one endpoint, in ms. */
export function estimateFirstTokenMs (choice: GenerationChoice, candidate: GenerationCandidate): number {
  const prefillMs = (expectedReadTokens(choice, candidate) + candidate.pendingTokens * pendingWeight) / prefillTokensPerMs
  const memoryShare = (candidate.heldTokens + choice.promptTokens) / candidate.capacityTokens
  const memoryMs = memoryShare > memoryLimitShare ? memoryPenaltyMs * memoryShare : 0
  return prefillMs + candidate.running * runningCostMs + memoryMs + candidate.excessMs
}

/**
 * Cost of prefilling shared parts at an endpoint other than their home. They take
 * memory there, and are prefilled again whenever requests move.
 */
function repeatedPrefillCostMs (choice: GenerationChoice, candidate: GenerationCandidate): number {
  if (candidate.id === choice.homeId) return 0
  return Math.max(0, choice.sharedTokens - candidate.cachedTokens) / prefillTokensPerMs * repeatedPrefillWeight
}

/** Returns the candidate with the lowest cost, or `undefined` if no candidate is untried. */
export function placeGeneration (choice: GenerationChoice): GenerationPlacement | undefined {
  const untried = choice.candidates.filter(candidate => !choice.tried.has(candidate.id))
  const preferred = untried.filter(candidate => !candidate.isAvoided)
  const group = preferred.length > 0 ? preferred : untried
  let best: GenerationPlacement | undefined
  let bestCost = Infinity
  for (const candidate of group) {
    const estimateMs = estimateFirstTokenMs(choice, candidate)
    const cost = estimateMs + candidate.failureShare * failurePenaltyMs + repeatedPrefillCostMs(choice, candidate)
    if (cost >= bestCost) continue
    bestCost = cost
    best = { id: candidate.id, estimateMs, readTokens: expectedReadTokens(choice, candidate) }
  }
  return best
}
