/** A call that was admitted, with all that its run needs to know. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CallAttributes } from '../shared/call.ts'
import type { Organisation, Route, Service } from '../shared/fleet.ts'
import type { CallContent } from './crashWatch.ts'

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

/** What makes a call recognisable when it comes again. */
export function contentOf ({ request, attributes, body }: CallInput): CallContent {
  return { apiKey: attributes.apiKey, method: request.method ?? 'GET', path: request.url ?? '/', body }
}
