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
  acknowledgeFailed: { number: 1505, level: 'debug', message: 'endpoint process could not be told that its records are stored', action: 'none; it hands them over and readers drop the duplicates.' }
})

export type EventName = keyof typeof eventCatalogue
