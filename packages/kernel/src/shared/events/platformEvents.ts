/** Events of documents, membership and leases, numbers 1100 to 1199. */
import type { EventDefinitions } from './eventDefinition.ts'

export const platformEvents = {
  documentsLoaded: { number: 1100, level: 'info', message: 'documents loaded', action: 'none' },
  documentsStartDelayed: { number: 1101, level: 'warn', message: 'documents could not be loaded because neither a router nor the platform answered; retrying', action: 'If this persists, check the connection to the object API.' },
  platformWatchFailed: { number: 1102, level: 'warn', message: 'watch on the object API failed; retrying', action: 'If this persists, check the object API. Documents still arrive from other routers.' },
  leaseAcquired: { number: 1103, level: 'info', message: 'lease acquired', action: 'none' },
  leaseLost: { number: 1104, level: 'warn', message: 'lease was taken over by another process', action: 'none; if it happens often, check whether this process pauses for long periods.' },
  memberRegistered: { number: 1105, level: 'info', message: 'process added to the registry', action: 'none' },
  memberRegistrationDelayed: { number: 1106, level: 'warn', message: 'adding the process to the registry failed; retrying', action: 'If this persists, check the connection to the object API.' },
  memberReplaced: { number: 1107, level: 'warn', message: 'another incarnation is registered under the id of this process', action: 'Make sure that only one process runs under the id.' },
  memberNotDeregistered: { number: 1108, level: 'warn', message: 'process stopped before its registry entry was removed', action: 'none; the entry is removed when the VM disappears from the VM list.' },
  vmListEmpty: { number: 1109, level: 'error', message: 'the platform returned an empty VM list; the list is ignored', action: 'Check the platform. Until it lists VMs again, lost members are not removed from the registry.' },
  vmListApplied: { number: 1110, level: 'info', message: 'registry was updated from the VM list', action: 'none' }
} as const satisfies EventDefinitions
