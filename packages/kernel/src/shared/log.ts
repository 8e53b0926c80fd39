/** Numbered log events. */
import type { EventName } from './eventCatalogue.ts'

/** Flat context of one event. Keys of callers and secrets never belong here. */
export type LogContext = Readonly<Record<string, string | number | boolean | null>>

export interface Log {
  /** Writes the catalogued event. */
  event (name: EventName, context?: LogContext): void
  /** A log with a narrower scope, such as `router:forward`. */
  scope (name: string): Log
}

/** A log that drops everything, for tests. */
export const silentLog: Log = {
  event () {},
  scope () { return silentLog }
}
