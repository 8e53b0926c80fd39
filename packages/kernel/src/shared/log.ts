/** Log interface. Processes log only events of the catalogue. */
import type { EventName } from './eventCatalogue.ts'

/** Fields of one event. API keys and secrets must never be logged. */
export type LogContext = Readonly<Record<string, string | number | boolean | null>>

export interface Log {
  /** Writes the event with its number, level and message from the catalogue. */
  event (name: EventName, context?: LogContext): void
  /** Returns a log whose scope is extended by `name`, such as `router:forward`. */
  scope (name: string): Log
}

/** Log that discards all events, for tests. */
export const silentLog: Log = {
  event () {},
  scope () { return silentLog }
}
