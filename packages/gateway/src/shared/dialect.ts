/** How callers and endpoints spell the attributes of a call. */
import type { IncomingHttpHeaders } from 'node:http'
import type { CallAttributes, ResponseAttributes } from './call.ts'
import type { EndpointEntry, FleetConfiguration, RolloutOrder } from './fleet.ts'
import type { StoredObject } from './store.ts'

/** What the gateway itself tells an endpoint about a call. */
export interface ForwardAttributes {
  /** Time that is left for the call, in ms. */
  readonly remainingMs: number
  readonly endpointId: string
  readonly organisation: string | undefined
  /** 0 is the most urgent, 9 the least; `undefined` for services without an engine. */
  readonly urgency: number | undefined
  /** Id of the last event that the caller has; the endpoint continues after it. */
  readonly resumeAfter: string | undefined
}

export interface Dialect {
  parseCall (headers: IncomingHttpHeaders): CallAttributes
  /** Header names and values in turn, for the endpoint. */
  forwardHeaders (rawHeaders: readonly string[], forward: ForwardAttributes): string[]
  parseResponse (rawHeaders: readonly Buffer[]): ResponseAttributes
  /** Header names and values in turn, for the caller. */
  responseHeaders (rawHeaders: readonly Buffer[]): string[]
  decodeConfiguration (object: StoredObject): FleetConfiguration | undefined
  decodeEndpoint (object: StoredObject): EndpointEntry | undefined
  decodeRollout (object: StoredObject): RolloutOrder | undefined
  encodeRolloutStatus (target: string, state: 'running' | 'completed' | 'rolledBack'): unknown
  /** Name of the object of kind `configuration`. */
  readonly configurationName: string
  /** Path of the readiness check. */
  readonly readyPath: string
}
