/** Events of documents, membership and leases, numbers 1100 to 1199. */
import type { EventDefinitions } from './eventDefinition.ts'

export const platformEvents = {
  documentsLoaded: { number: 1100, level: 'info', message: 'documents loaded', action: 'none' },
  documentsStartDelayed: { number: 1101, level: 'warn', message: 'neither a router nor the platform has answered yet; retrying', action: 'Check the connection to the object API if this lasts.' },
  platformWatchFailed: { number: 1102, level: 'warn', message: 'watch on the object API failed; retrying', action: 'Check the object API if this lasts; documents still arrive from peers.' },
  leaseAcquired: { number: 1103, level: 'info', message: 'lease acquired', action: 'none' },
  leaseLost: { number: 1104, level: 'warn', message: 'lease taken over by another process', action: 'none, unless it happens often: then look for long pauses of the process.' },
  memberRegistered: { number: 1105, level: 'info', message: 'process registered', action: 'none' },
  memberRegistrationDelayed: { number: 1106, level: 'warn', message: 'registration failed; retrying', action: 'Check the connection to the object API if this lasts.' },
  memberReplaced: { number: 1107, level: 'warn', message: 'another incarnation is registered under the id of this process', action: 'Make sure that only one process runs under the id.' },
  memberNotDeregistered: { number: 1108, level: 'warn', message: 'the process stopped without leaving the registry', action: 'none; the entry goes when the VM leaves the VM list.' },
  vmListEmpty: { number: 1109, level: 'error', message: 'the platform lists no VMs; the list is ignored', action: 'Check the platform; no lost member is removed meanwhile.' },
  vmListApplied: { number: 1110, level: 'info', message: 'the list of VMs changed the registry', action: 'none' }
} as const satisfies EventDefinitions
