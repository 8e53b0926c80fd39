/** Events of configuration and administration, numbers 1700 to 1799. */
import type { EventDefinitions } from './eventDefinition.ts'

export const adminEvents = {
  fleetTextInForce: { number: 1700, level: 'info', message: 'fleet text is in force', action: 'none' },
  fleetTextRejected: { number: 1701, level: 'error', message: 'stored fleet text is invalid and was not put in force', action: 'Apply a corrected text; the earlier one stays in force until then.' },
  directoryShardRejected: { number: 1702, level: 'error', message: 'stored key directory is invalid and was not put in force', action: 'Restore the named object; keys of its earlier version keep working until the process restarts.' },
  adminListening: { number: 1710, level: 'info', message: 'administration listener is open', action: 'none' },
  adminKeyRejected: { number: 1711, level: 'warn', message: 'administration call carried no known key', action: 'Check who calls from the named address; keys are compared by hash with the settings.' },
  adminCallFailed: { number: 1712, level: 'error', message: 'administration call failed unexpectedly', action: 'Report the error text; the call can be repeated.' },
  fleetTextApplied: { number: 1720, level: 'info', message: 'operator applied a fleet text', action: 'none' },
  organisationCreated: { number: 1721, level: 'info', message: 'operator created an organisation', action: 'none' },
  keyCreated: { number: 1722, level: 'info', message: 'operator created an API key', action: 'none' },
  keyRevoked: { number: 1723, level: 'info', message: 'operator revoked an API key', action: 'none' },
  budgetCreated: { number: 1724, level: 'info', message: 'operator created a budget', action: 'none' },
  budgetToppedUp: { number: 1725, level: 'info', message: 'operator topped a budget up', action: 'none' },
  drainRequested: { number: 1726, level: 'info', message: 'operator asked a process to drain', action: 'none' }
} as const satisfies EventDefinitions
