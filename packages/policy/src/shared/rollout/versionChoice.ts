/** Choice of the version for one request. */
import type { VersionConfig } from '../fleet/index.ts'
import type { RolloutState } from './rollout.ts'

export interface VersionChoiceInput {
  /** Versions of the fleet text, oldest first. */
  readonly versions: readonly VersionConfig[]
  readonly rollout: RolloutState | undefined
  /** Whether an endpoint of the version is registered. */
  hasEndpoint (version: string): boolean
  /** Whether this router has stopped sending to the version by its own observation. */
  isStopped (version: string): boolean
  /** Uniform in [0, 1). */
  readonly random: number
}

/**
 * The version for a request, or `undefined` when the text lists none. A version
 * without endpoints is passed over, because an answer from the other one is
 * better than none.
 */
export function chooseVersion (input: VersionChoiceInput): string | undefined {
  const { versions, rollout } = input
  const target = versions.at(-1)?.name
  if (target === undefined || versions.length === 1) return target
  const isJudged = rollout?.target === target
  const baseline = isJudged ? rollout.baseline : findBaselineVersion(versions, rollout)
  const targetShare = isJudged ? rollout.targetShare : 0
  const wantsTarget = input.random < targetShare && !input.isStopped(target)
  const wanted = wantsTarget ? target : baseline
  const other = wantsTarget ? baseline : target
  const mayFallBack = !input.hasEndpoint(wanted) && input.hasEndpoint(other)
  if (!mayFallBack) return wanted
  // A version that was taken back gets nothing, even when it is the only one with endpoints.
  const isTakenBack = other === target && rollout?.phase.kind === 'rolledBack' && isJudged
  return isTakenBack ? wanted : other
}

/** Version that traffic is on before a rollout of the last one: that of the last finished rollout, or the one before the last. */
export function findBaselineVersion (versions: readonly VersionConfig[], rollout: RolloutState | undefined): string {
  const names = versions.slice(0, -1).map(version => version.name)
  const last = rollout === undefined ? undefined : rollout.phase.kind === 'done' ? rollout.target : rollout.baseline
  return last !== undefined && names.includes(last) ? last : names.at(-1)!
}
