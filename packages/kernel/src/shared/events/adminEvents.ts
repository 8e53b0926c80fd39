/** Events of the configuration and of the administration API, numbers 1700 to 1799. */
import type { EventDefinitions } from './eventDefinition.ts'

export const adminEvents = {
  fleetTextInForce: { number: 1700, level: 'info', message: 'a new version of the fleet text is active', action: 'none' },
  fleetTextRejected: { number: 1701, level: 'error', message: 'stored fleet text is invalid and was not applied', action: 'Apply a corrected fleet text. The previous version stays active until then.' },
  directoryShardRejected: { number: 1702, level: 'error', message: 'stored shard of the API key directory is invalid and was not applied', action: 'Restore the object given in the field name. API keys of its previous version stay valid until the process restarts.' },
  adminListening: { number: 1710, level: 'info', message: 'administration listener is open', action: 'none' },
  adminKeyRejected: { number: 1711, level: 'warn', message: 'administration request without a valid key was rejected', action: 'Find out which client uses the logged address. The hash of its key must be listed in the setting admin-key-hashes.' },
  adminCallFailed: { number: 1712, level: 'error', message: 'administration request failed unexpectedly', action: 'Report the error text. The request can be repeated.' },
  fleetTextApplied: { number: 1720, level: 'info', message: 'operator applied a fleet text', action: 'none' },
  organisationCreated: { number: 1721, level: 'info', message: 'operator created an organisation', action: 'none' },
  keyCreated: { number: 1722, level: 'info', message: 'operator created an API key', action: 'none' },
  keyRevoked: { number: 1723, level: 'info', message: 'operator revoked an API key', action: 'none' },
  budgetCreated: { number: 1724, level: 'info', message: 'operator created a budget', action: 'none' },
  budgetToppedUp: { number: 1725, level: 'info', message: 'operator topped up a budget', action: 'none' },
  drainRequested: { number: 1726, level: 'info', message: 'operator requested a graceful shutdown of a process', action: 'none' }
} as const satisfies EventDefinitions
