/** Chooses the endpoint of a call to a plain service. */

export interface CallCandidate {
  readonly id: string
  readonly slots: number
  /** Requests of this router that run there. */
  readonly running: number
  /** Moving mean of the time to the answer in ms. */
  readonly meanMs: number
  readonly failureShare: number
  readonly isAvoided: boolean
  readonly isLocal: boolean
}

/** Time that a call to another failure domain adds. */
const remoteMs = 1
/** A failed call costs about as much as its caller's patience. */
const failureMs = 300

function costMs (candidate: CallCandidate): number {
  const waitMs = candidate.meanMs * (1 + candidate.running / candidate.slots)
  return waitMs + candidate.failureShare * failureMs + (candidate.isLocal ? 0 : remoteMs)
}

/** The better of two random candidates, so that routers with the same view do not all choose one. `undefined` without candidates. */
export function placeCall (candidates: readonly CallCandidate[], tried: ReadonlySet<string>, random: () => number): string | undefined {
  const untried = candidates.filter(candidate => !tried.has(candidate.id))
  const sound = untried.filter(candidate => !candidate.isAvoided)
  const group = sound.length > 0 ? sound : untried
  if (group.length === 0) return undefined
  const first = group[Math.floor(random() * group.length)]!
  const second = group[Math.floor(random() * group.length)]!
  return costMs(first) <= costMs(second) ? first.id : second.id
}
