/** Chooses the endpoint for a call that does not generate text with a language model. */

export interface CallCandidate {
  readonly id: string
  /** Number of requests that the endpoint can run at once. */
  readonly slots: number
  /** Number of requests of this router that run there. */
  readonly running: number
  /** Moving average of the response time. */
  readonly meanMs: number
  /** Failure share, see `EndpointHealth`. */
  readonly failureShare: number
  readonly isAvoided: boolean
  /** Whether the endpoint is in the router's failure domain. */
  readonly isLocal: boolean
}

/** Additional cost of a call to another failure domain. */
const remotePenaltyMs = 1
/** Cost of a failed call, which is about the time that a caller is willing to wait. */
const failurePenaltyMs = 300

function costMs (candidate: CallCandidate): number {
  const waitMs = candidate.meanMs * (1 + candidate.running / candidate.slots)
  return waitMs + candidate.failureShare * failurePenaltyMs + (candidate.isLocal ? 0 : remotePenaltyMs)
}

/**
 * Returns the better of two random candidates, so that routers with the same view
 * do not all choose the same one. Returns `undefined` if no candidate is untried.
 */
export function placeCall (candidates: readonly CallCandidate[], tried: ReadonlySet<string>, random: () => number): string | undefined {
  const untried = candidates.filter(candidate => !tried.has(candidate.id))
  const preferred = untried.filter(candidate => !candidate.isAvoided)
  const group = preferred.length > 0 ? preferred : untried
  if (group.length === 0) return undefined
  const first = group[Math.floor(random() * group.length)]!
  const second = group[Math.floor(random() * group.length)]!
  return costMs(first) <= costMs(second) ? first.id : second.id
}
