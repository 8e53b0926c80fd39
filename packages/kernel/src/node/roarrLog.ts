/** The log of a running process: JSON lines on standard output, written by roarr. */
import './enableRoarr.ts'
import { Roarr, type Logger } from 'roarr'
import { eventCatalogue, type EventLevel, type EventName } from '../shared/eventCatalogue.ts'
import type { Log, LogContext } from '../shared/log.ts'

const levelOrder: readonly EventLevel[] = ['debug', 'info', 'warn', 'error']

export interface RoarrLogOptions {
  readonly scope: string
  /** Events below this level are dropped. */
  readonly level: EventLevel
  /** Fields repeated in each line, such as the process id in the fleet. */
  readonly base: LogContext
}

/** Creates the log of a process. */
export function createRoarrLog (options: RoarrLogOptions): Log {
  return wrap(Roarr.child({ ...options.base }), options.scope, options.level)
}

function wrap (logger: Logger, scope: string, level: EventLevel): Log {
  return {
    event (name: EventName, context: LogContext = {}) {
      const event = eventCatalogue[name]
      if (levelOrder.indexOf(event.level) < levelOrder.indexOf(level)) return
      logger[event.level]({ ...context, scope, event: event.number }, event.message)
    },
    scope: name => wrap(logger, `${scope}:${name}`, level)
  }
}
