/** Chooses the version that handles one request. */
import type { VersionConfig } from '../fleet/index.ts'
import type { RolloutState } from './rollout.ts'

export interface VersionChoiceInput {
  /** Versions of the fleet text, oldest first. */
  readonly versions: readonly VersionConfig[]
  readonly rollout: RolloutState | undefined
  /** Whether an endpoint of the version is registered. */
  hasEndpoint (version: string): boolean
  /** Whether this router has stopped the version locally, see `LocalObserver`. */
  isStopped (version: string): boolean
  /** Uniformly distributed in [0, 1). */
  readonly random: number
}

/**
 * Chooses the version for a request; `undefined` when the fleet text lists none.
 * A version without endpoints is skipped, because a response from the other
 * version is better than none.
 */
export function chooseVersion (input: VersionChoiceInput): string | undefined {
  const { versions, rollout } = input
  const target = versions.at(-1)?.name
  if (target === undefined || versions.length === 1) return target
  const isRolloutOfTarget = rollout?.target === target
  const baseline = isRolloutOfTarget ? rollout.baseline : findBaselineVersion(versions, rollout)
  const targetShare = isRolloutOfTarget ? rollout.targetShare : 0
  const wantsTarget = input.random < targetShare && !input.isStopped(target)
  const wanted = wantsTarget ? target : baseline
  const other = wantsTarget ? baseline : target
  const mayFallBack = !input.hasEndpoint(wanted) && input.hasEndpoint(other)
  if (!mayFallBack) return wanted
  // A version that was rolled back gets no traffic, even when it is the only one with endpoints.
  const isRolledBack = other === target && rollout?.phase.kind === 'rolledBack' && isRolloutOfTarget
  return isRolledBack ? wanted : other
}

/** Baseline for a rollout of the last version: the version on which the previous rollout left the traffic, or else the second to last one. */
export function findBaselineVersion (versions: readonly VersionConfig[], rollout: RolloutState | undefined): string {
  const names = versions.slice(0, -1).map(version => version.name)
  const last = rollout === undefined ? undefined : rollout.phase.kind === 'done' ? rollout.target : rollout.baseline
  return last !== undefined && names.includes(last) ? last : names.at(-1)!
}
