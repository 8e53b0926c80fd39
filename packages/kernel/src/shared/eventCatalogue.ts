/**
 * The catalogue of log events, the only source of event numbers and of
 * docs/events.md. A number is never given to another event.
 *
 * Ranges: 1000 kernel, 1100 platform and documents, 1200 budgets, 1300 router,
 * 1400 endpoint, 1500 records, 1600 rollouts, 1700 administration.
 */

export type EventLevel = 'debug' | 'info' | 'warn' | 'error'

export interface EventDefinition {
  readonly number: number
  readonly level: EventLevel
  readonly message: string
  /** What an operator does about it; `none` when nothing is asked for. */
  readonly action: string
}

function defineEvents<Name extends string> (events: Readonly<Record<Name, EventDefinition>>): Readonly<Record<Name, EventDefinition>> {
  return events
}

export const eventCatalogue = defineEvents({
  processStarted: { number: 1000, level: 'info', message: 'process started', action: 'none' },
  processDraining: { number: 1001, level: 'info', message: 'graceful shutdown started', action: 'none' },
  processStopped: { number: 1002, level: 'info', message: 'process stopped', action: 'none' },
  taskFailed: { number: 1003, level: 'error', message: 'task failed to handle a message', action: 'Report the error text; the process goes on.' },
  drainTimedOut: { number: 1004, level: 'warn', message: 'graceful shutdown exceeded its time limit', action: 'Raise the drain limit if streams need longer.' },
  settingsRejected: { number: 1005, level: 'error', message: 'settings are invalid', action: 'Correct the named settings and start again.' },

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
  vmListApplied: { number: 1110, level: 'info', message: 'the list of VMs changed the registry', action: 'none' },

  recordsStored: { number: 1500, level: 'debug', message: 'stored a batch of records', action: 'none' },
  recordsWaiting: { number: 1501, level: 'warn', message: 'records wait because the platform did not take them', action: 'Restore the platform. At the bound the router refuses new requests.' },
  recordsFull: { number: 1502, level: 'error', message: 'waiting records reached their memory bound; new requests are refused', action: 'Restore the platform, or replace the router after its records were handed over.' },
  accountsNotCopied: { number: 1503, level: 'warn', message: 'no peer router took a copy of the refusal accounts', action: 'Check the other routers; until one answers, a lost router loses its last refusal accounts.' },
  copiesStored: { number: 1504, level: 'info', message: 'stored refusal accounts of a peer that did not store them itself', action: 'none' },
  acknowledgeFailed: { number: 1505, level: 'debug', message: 'endpoint process could not be told that its records are stored', action: 'none; it hands them over and readers drop the duplicates.' }
})

export type EventName = keyof typeof eventCatalogue
