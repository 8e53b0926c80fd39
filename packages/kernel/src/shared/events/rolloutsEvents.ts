/** Events of rollouts, numbers 1600 to 1699. */
import type { EventDefinitions } from './eventDefinition.ts'

export const rolloutsEvents = {
  rolloutStarted: { number: 1600, level: 'info', message: 'rollout started', action: 'none' },
  rolloutAdvanced: { number: 1601, level: 'info', message: 'rollout advanced to a larger share', action: 'none' },
  rolloutFinished: { number: 1602, level: 'info', message: 'all traffic is on the new version', action: 'Remove the old version from the fleet text when it is no longer wanted.' },
  rolloutRolledBack: { number: 1603, level: 'error', message: 'a new version was found bad and gets no traffic', action: 'Read the reason; repair the version and add it to the fleet text under a new name.' },
  rolloutWriteFailed: { number: 1604, level: 'warn', message: 'state of a rollout could not be stored; it does not advance', action: 'Restore the platform. Routers still stop sending to what they see fail.' },
  versionStopped: { number: 1605, level: 'warn', message: 'this router stopped sending to a version that it sees fail', action: 'Compare with the state of the rollout; other routers decide by their own observation.' }
} as const satisfies EventDefinitions
