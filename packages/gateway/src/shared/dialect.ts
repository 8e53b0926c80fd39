/** Mapping between the gateway's types and the headers and stored objects of one deployment. */
import type { IncomingHttpHeaders } from 'node:http'
import type { CallAttributes, ResponseAttributes } from './call.ts'
import type { EndpointEntry, FleetConfiguration, RolloutControl, RolloutOrder } from './fleet.ts'
import type { StoredObject } from './store.ts'

/** Attributes of a request that the gateway sets itself when it forwards the request to an endpoint. */
export interface ForwardAttributes {
  /** Time left until the deadline, in ms. */
  readonly remainingMs: number
  readonly endpointId: string
  readonly organisation: string | undefined
  /** Rank sent to the model engine: 0 is the most urgent, 9 the least. `undefined` for services without an engine. */
  readonly urgency: number | undefined
  /** Id of the last event that was sent to the caller; the endpoint continues after it. */
  readonly resumeAfter: string | undefined
}

/** Reads and writes the headers and stored objects of one platform. Each platform has its own implementation. */
export interface Dialect {
  parseCall (headers: IncomingHttpHeaders): CallAttributes
  /** Headers of the request to the endpoint: names and values alternate. */
  forwardHeaders (rawHeaders: readonly string[], forward: ForwardAttributes): string[]
  parseResponse (rawHeaders: readonly Buffer[]): ResponseAttributes
  /** Headers of the response to the caller: names and values alternate. */
  responseHeaders (rawHeaders: readonly Buffer[]): string[]
  decodeConfiguration (object: StoredObject): FleetConfiguration | undefined
  decodeEndpoint (object: StoredObject): EndpointEntry | undefined
  decodeRollout (object: StoredObject): RolloutOrder | undefined
  encodeRolloutStatus (target: string, state: 'running' | 'completed' | 'rolledBack', control: RolloutControl | undefined): unknown
  /** Name of the object of kind `configuration`. */
  readonly configurationName: string
  /** HTTP path of the readiness check. */
  readonly readyPath: string
}
