/**
 * Chooses the endpoint of a generation: the least estimated time to the first
 * token, from tokens to read, requests ahead and the batch, with a preference
 * for the endpoint that all routers derive from the shared part of the prompt.
 */

export interface GenerationCandidate {
  readonly id: string
  /** Tokens of the prompt that the endpoint need not read again. */
  readonly cachedTokens: number
  /** Tokens that requests of this router still wait to have read there. */
  readonly pendingTokens: number
  /** Requests of this router that run there. */
  readonly running: number
  /** Tokens that requests of this router hold in the endpoint's memory. */
  readonly heldTokens: number
  /** Memory of the endpoint in tokens. */
  readonly capacityTokens: number
  /** Share of failed requests, see `EndpointHealth`. */
  readonly failureShare: number
  readonly isAvoided: boolean
  /** Time to the first token beyond the estimate, as a moving mean in ms. */
  readonly excessMs: number
}

export interface GenerationChoice {
  readonly candidates: readonly GenerationCandidate[]
  readonly promptTokens: number
  /** Endpoint that every router prefers for the shared part of this prompt. */
  readonly homeId: string | undefined
  /** Tokens of the parts that are shared with other requests. */
  readonly sharedTokens: number
  /** Endpoints that this request was already sent to. */
  readonly tried: ReadonlySet<string>
}

export interface GenerationPlace {
  readonly id: string
  readonly estimateMs: number
}

/** Prompt tokens that an engine reads in a ms, for estimates that only compare endpoints. */
export const readTokensPerMs = 55
/** Time that each running request adds to the steps of a batch. */
const runningCostMs = 2
/** Weight of the own pending tokens: other routers send about as much again. */
const pendingWeight = 1.5
/** Chance that the preferred endpoint has cached the shared part, although this router never sent it there. */
const homeCachedShare = 0.7
const failureCostMs = 600
/** Weight of shared parts read anew against the time that reading them takes. */
const rereadWeight = 4
/** Share of the memory above which an engine begins to preempt. */
const memoryLimitShare = 0.6
const memoryCostMs = 500

/** Estimated time to the first token at one endpoint, in ms. */
export function estimateFirstTokenMs (choice: GenerationChoice, candidate: GenerationCandidate): number {
  const expectedShared = candidate.id === choice.homeId ? choice.sharedTokens * homeCachedShare : 0
  const cached = Math.min(choice.promptTokens, Math.max(candidate.cachedTokens, expectedShared))
  const readMs = (choice.promptTokens - cached + candidate.pendingTokens * pendingWeight) / readTokensPerMs
  const memoryShare = (candidate.heldTokens + choice.promptTokens) / candidate.capacityTokens
  const memoryMs = memoryShare > memoryLimitShare ? memoryCostMs * memoryShare : 0
  return readMs + candidate.running * runningCostMs + memoryMs + candidate.excessMs
}

/** Cost of reading shared parts at an endpoint that is not theirs: they take memory there, and are read again whenever requests move. */
function rereadCostMs (choice: GenerationChoice, candidate: GenerationCandidate): number {
  if (candidate.id === choice.homeId) return 0
  return Math.max(0, choice.sharedTokens - candidate.cachedTokens) / readTokensPerMs * rereadWeight
}

/** `undefined` when there is no candidate. */
export function placeGeneration (choice: GenerationChoice): GenerationPlace | undefined {
  const untried = choice.candidates.filter(candidate => !choice.tried.has(candidate.id))
  const sound = untried.filter(candidate => !candidate.isAvoided)
  const group = sound.length > 0 ? sound : untried
  let best: GenerationPlace | undefined
  let bestCost = Infinity
  for (const candidate of group) {
    const estimateMs = estimateFirstTokenMs(choice, candidate)
    const cost = estimateMs + candidate.failureShare * failureCostMs + rereadCostMs(choice, candidate)
    if (cost >= bestCost) continue
    bestCost = cost
    best = { id: candidate.id, estimateMs }
  }
  return best
}
