/**
 * Ranks that tell an engine in which order to start the requests of all routers. The
 * priority of the organisation and the route comes first. Within one priority, prompts that
 * are read quickly start before long ones, because a long prompt holds up everything behind
 * it; what has waited long starts with the quick ones again; and a request that cannot meet
 * its objective any more does not hold up others that can. Answers mixed loads of long and
 * short prompts, where engines would otherwise start requests in the order of arrival.
 */

/** How long a prompt holds up those behind it, and what it has to lose. */
export type PromptStanding = 'quick' | 'long' | 'late'

export interface StandingInput {
  /** Expected time in which the engine reads the part of the prompt that it has not cached. */
  readonly prefillMs: number
  readonly objectiveMs: number
  /** Time until the caller or the route gives the request up, from its arrival. */
  readonly timeoutMs: number
  /** Time since the arrival of the request. */
  readonly waitedMs: number
}

/** Part of the latency objective up to which a prefill counts as quick. Requests of about the same objective then pass each other only where it matters. */
const quickShare = 0.15
/** Part of the timeout after which a request starts with the quick ones, so that none waits without end. */
const agedShare = 0.4

export function standingOf ({ prefillMs, objectiveMs, timeoutMs, waitedMs }: StandingInput): PromptStanding {
  if (waitedMs >= timeoutMs * agedShare || prefillMs <= objectiveMs * quickShare) return 'quick'
  return waitedMs + prefillMs > objectiveMs ? 'late' : 'long'
}

/** Priorities of one request. The lower number comes first. */
export interface RequestPriority {
  /** Priority of the organisation, or of the route if the organisation has none. */
  readonly base: number
  readonly route: number
}

/** Ranks that engines know: 0 to 9, where 0 is the most urgent. */
const rankCount = 10
const maxRanksPerLevel = 3

function compare (left: RequestPriority, right: RequestPriority): number {
  return left.base - right.base || left.route - right.route
}

/** Number of ranks that lie between a quick prompt and one of this standing, where a level has `ranks` of them. */
function standingOffset (standing: PromptStanding, ranks: number): number {
  switch (standing) {
    case 'quick': return 0
    case 'long': return Math.min(1, ranks - 1)
    case 'late': return ranks - 1
  }
}

/**
 * Divides the ranks among the priorities that a configuration holds, so that as many ranks as
 * possible are left to the standing of prompts. All routers derive the same division from the
 * same configuration.
 */
export class EngineRanks {
  readonly #levels: readonly RequestPriority[]

  constructor (priorities: readonly RequestPriority[]) {
    const sorted = priorities.toSorted(compare)
    this.#levels = sorted.filter((priority, index) => index === 0 || compare(sorted[index - 1]!, priority) !== 0)
  }

  /** Rank of a request. A priority that the configuration does not hold counts as the next less urgent one that it does. */
  rankOf (priority: RequestPriority, standing: PromptStanding): number {
    const count = this.#levels.length
    const found = this.#levels.findIndex(level => compare(level, priority) >= 0)
    const level = found === -1 ? Math.max(0, count - 1) : found
    if (count > rankCount) return Math.floor(level * rankCount / count)
    const ranks = Math.min(maxRanksPerLevel, Math.floor(rankCount / Math.max(1, count)))
    return level * ranks + standingOffset(standing, ranks)
  }
}
