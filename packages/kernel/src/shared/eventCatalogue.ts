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
  crashReportFailed: { number: 1410, level: 'warn', message: 'crash report reached no router', action: 'none' }
})

export type EventName = keyof typeof eventCatalogue
