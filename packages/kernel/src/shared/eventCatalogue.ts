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
  directoryShardRejected: { number: 1702, level: 'error', message: 'stored key directory is invalid and was not put in force', action: 'Restore the named object; keys of its earlier version keep working until the process restarts.' }
})

export type EventName = keyof typeof eventCatalogue
