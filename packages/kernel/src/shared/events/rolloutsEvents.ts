/** Events of rollouts, numbers 1600 to 1699. */
import type { EventDefinitions } from './eventDefinition.ts'

export const rolloutsEvents = {
  rolloutStarted: { number: 1600, level: 'info', message: 'rollout started', action: 'none' },
  rolloutAdvanced: { number: 1601, level: 'info', message: 'rollout advanced to a larger share of the traffic', action: 'none' },
  rolloutFinished: { number: 1602, level: 'info', message: 'rollout finished; all traffic goes to the new version', action: 'Remove the old version from the fleet text when it is no longer needed.' },
  rolloutRolledBack: { number: 1603, level: 'error', message: 'rollout was rolled back; the new version failed and gets no traffic', action: 'Read the field reason. Repair the version and add it to the fleet text under a new name.' },
  rolloutWriteFailed: { number: 1604, level: 'warn', message: 'state of a rollout could not be stored; the rollout does not advance', action: 'Restore the platform. Meanwhile each router still stops sending requests to a version that it observes failing.' },
  versionStopped: { number: 1605, level: 'warn', message: 'this router stopped sending requests to a version that it observes failing', action: 'Compare with the state of the rollout. Other routers decide by their own observations.' }
} as const satisfies EventDefinitions
