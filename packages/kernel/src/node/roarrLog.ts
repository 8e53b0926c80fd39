/** Log implementation on roarr, which writes JSON lines to standard output. */
import './enableRoarr.ts'
import { Roarr, type Logger } from 'roarr'
import { eventCatalogue, type EventLevel, type EventName } from '../shared/eventCatalogue.ts'
import type { Log, LogContext } from '../shared/log.ts'

const levelOrder: readonly EventLevel[] = ['debug', 'info', 'warn', 'error']

export interface RoarrLogOptions {
  /** Scope of the process, such as `router`; plugins add their name to it. */
  readonly scope: string
  /** Lowest level that is written; events below it are dropped. */
  readonly level: EventLevel
  /** Fields added to each line, such as the id of the process. */
  readonly base: LogContext
}

export function createRoarrLog (options: RoarrLogOptions): Log {
  return createScopedLog(Roarr.child({ ...options.base }), options.scope, options.level)
}

function createScopedLog (logger: Logger, scope: string, level: EventLevel): Log {
  return {
    event (name: EventName, context: LogContext = {}) {
      const event = eventCatalogue[name]
      if (levelOrder.indexOf(event.level) < levelOrder.indexOf(level)) return
      logger[event.level]({ ...context, scope, event: event.number }, event.message)
    },
    scope: name => createScopedLog(logger, `${scope}:${name}`, level)
  }
}
