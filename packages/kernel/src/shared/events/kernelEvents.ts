/** Events shared by router and endpoint processes, numbers 1000 to 1099. */
import type { EventDefinitions } from './eventDefinition.ts'

export const kernelEvents = {
  processStarted: { number: 1000, level: 'info', message: 'process started', action: 'none' },
  processDraining: { number: 1001, level: 'info', message: 'graceful shutdown started', action: 'none' },
  processStopped: { number: 1002, level: 'info', message: 'process stopped', action: 'none' },
  // 1003 is retired. Its event was defined but never logged.
  drainTimedOut: { number: 1004, level: 'warn', message: 'graceful shutdown exceeded its time limit', action: 'If streams need longer, raise the setting drain-limit-ms.' },
  settingsRejected: { number: 1005, level: 'error', message: 'settings are invalid', action: 'Correct the settings listed in the field problems and start the process again.' }
} as const satisfies EventDefinitions
