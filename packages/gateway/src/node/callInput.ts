/** An admitted request of a caller, with everything that is needed to run it. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { MemoryHolder } from '@buckthorndrift/policy'
import type { CallAttributes } from '../shared/call.ts'
import type { Organisation, Route, Service } from '../shared/fleet.ts'
import type { CallContent } from './crashTracker.ts'

export interface CallInput {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly attributes: CallAttributes
  readonly body: Buffer | undefined
  /** Holds the memory of the request and of the part of its answer that the caller has not read. */
  readonly holder: MemoryHolder
  readonly route: Route
  readonly service: Service
  readonly organisation: Organisation | undefined
  readonly configurationVersion: number
  readonly arrivedMs: number
  /** Deadline of the caller or timeout of the route, whichever is earlier. */
  readonly deadlineAtMs: number
}

/**
 * Whether the caller closed its connection. After a delay of the event loop, the
 * end of a connection is read one iteration later than the request before it.
 */
export async function hasCallerLeft ({ request: { socket } }: CallInput): Promise<boolean> {
  // The first one is called before the event loop reads from sockets again, the second one after.
  for (let iteration = 0; iteration < 2; iteration++) await new Promise(resolve => { setImmediate(resolve) })
  return socket.destroyed || socket.readableEnded
}

/** Content by which the request is recognised when its caller sends it again. */
export function contentOf ({ request, attributes, body }: CallInput): CallContent {
  // The last part of a prompt is unique to its request.
  const sharedParts = (attributes.generation?.prompt ?? []).slice(0, -1).map(part => part.id)
  return { attemptId: attributes.attemptId, sharedParts, apiKey: attributes.apiKey, method: request.method ?? 'GET', path: request.url ?? '/', body }
}
