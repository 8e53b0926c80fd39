/** A call that was admitted, with all that its run needs to know. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CallAttributes } from '../shared/call.ts'
import type { Organisation, Route, Service } from '../shared/fleet.ts'

export interface CallInput {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly attributes: CallAttributes
  readonly body: Buffer | undefined
  readonly route: Route
  readonly service: Service
  readonly organisation: Organisation | undefined
  readonly configurationVersion: number
  readonly arrivedMs: number
  /** End of the caller's patience or of the route's timeout, whichever is first. */
  readonly deadlineAtMs: number
}
