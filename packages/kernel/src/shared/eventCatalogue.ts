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
  drainRequested: { number: 1726, level: 'info', message: 'operator asked a process to drain', action: 'none' },

  documentsLoaded: { number: 1100, level: 'info', message: 'documents loaded', action: 'none' },
  documentsStartDelayed: { number: 1101, level: 'warn', message: 'neither a router nor the platform has answered yet; retrying', action: 'Check the connection to the object API if this lasts.' },
  platformWatchFailed: { number: 1102, level: 'warn', message: 'watch on the object API failed; retrying', action: 'Check the object API if this lasts; documents still arrive from peers.' },
  leaseAcquired: { number: 1103, level: 'info', message: 'lease acquired', action: 'none' },
  leaseLost: { number: 1104, level: 'warn', message: 'lease taken over by another process', action: 'none, unless it happens often: then look for long pauses of the process.' },
  budgetInvariantFailed: { number: 1200, level: 'error', message: 'a write of a budget shard was stopped by an invariant', action: 'Report the detail; the budgets of the shard are not drawn on until it is resolved.' },
  budgetShardMalformed: { number: 1201, level: 'error', message: 'stored budget shard is malformed', action: 'Compare the object with docs/design.md section 4; reservations of its budgets are refused.' },
  budgetWriteFailed: { number: 1202, level: 'warn', message: 'write of a budget shard failed and will be repeated', action: 'none' },
  budgetHolderFenced: { number: 1203, level: 'warn', message: 'slices of this router were closed by another one; it continues under a new incarnation', action: 'Check whether the router was paused or cut off.' },
  budgetReservationOrphaned: { number: 1204, level: 'warn', message: 'a reservation was never settled and counts as wholly spent', action: 'Check whether a router was lost at that time.' },
  backEndFellOver: { number: 1400, level: 'error', message: 'back end fell over', action: 'Look at the back end on this VM; the process probes it and goes on by itself.' },
  backEndRecovered: { number: 1401, level: 'info', message: 'back end answers again', action: 'none' },
  endpointOpened: { number: 1402, level: 'info', message: 'endpoint process accepts calls', action: 'none' },
  fencesUnread: { number: 1403, level: 'warn', message: 'fences cannot be read from the platform; calls are refused until then', action: 'Check the platform; the process tries again.' },
  holderFenced: { number: 1404, level: 'warn', message: 'holder of slices fenced', action: 'none' },
  staleOrderRefused: { number: 1405, level: 'warn', message: 'order with a stale fencing token refused', action: 'none' },
  handoverFailed: { number: 1406, level: 'error', message: 'state could not be handed over before the process stopped', action: 'Compare slices with billing records for the hour; report the difference.' },
  recordsLimitReached: { number: 1407, level: 'error', message: 'billing records reached their limit; new calls are refused', action: 'Check that routers can write to the platform.' },
  claimsTakenOver: { number: 1408, level: 'warn', message: 'claim shard taken over', action: 'none' },
  claimsLost: { number: 1409, level: 'error', message: 'owner and witness of a claim shard are lost', action: 'Unknown keys of the shard are answered mayHaveRun for the retention time.' },
  crashReportFailed: { number: 1410, level: 'warn', message: 'crash report reached no router', action: 'none' },
  controlListening: { number: 1300, level: 'info', message: 'control listener is open', action: 'none' },
  callersListening: { number: 1301, level: 'info', message: 'caller listener is open', action: 'none' },
  callerRequestFailed: { number: 1302, level: 'error', message: 'handling of a caller request failed', action: 'Report the error text; the caller was told that the request may have run.' },
  refusalNotAccounted: { number: 1303, level: 'error', message: 'a refusal could not be accounted for', action: 'Report the error text; the caller has the refusal with an id that begins with unaccounted.' },
  answerReattached: { number: 1304, level: 'debug', message: 'connection to an endpoint broke or went silent; re-attaching to the answer', action: 'none' },
  crashReported: { number: 1305, level: 'warn', message: 'an endpoint reported a crash', action: 'Look at the log of the back end; the contents that were running are suspects.' },
  endpointDied: { number: 1306, level: 'warn', message: 'an endpoint process died while it had requests', action: 'Look at the VM of the endpoint; the contents that were running are suspects.' },

  recordsStored: { number: 1500, level: 'debug', message: 'stored a batch of records', action: 'none' },
  recordsWaiting: { number: 1501, level: 'warn', message: 'records wait because the platform did not take them', action: 'Restore the platform. At the bound the router refuses new requests.' },
  recordsFull: { number: 1502, level: 'error', message: 'waiting records reached their memory bound; new requests are refused', action: 'Restore the platform, or replace the router after its records were handed over.' },
  accountsNotCopied: { number: 1503, level: 'warn', message: 'no peer router took a copy of the refusal accounts', action: 'Check the other routers; until one answers, a lost router loses its last refusal accounts.' },
  copiesStored: { number: 1504, level: 'info', message: 'stored refusal accounts of a peer that did not store them itself', action: 'none' },
  acknowledgeFailed: { number: 1505, level: 'debug', message: 'endpoint process could not be told that its records are stored', action: 'none; it hands them over and readers drop the duplicates.' },
})

export type EventName = keyof typeof eventCatalogue
