/** The fleet as the gateway sees it: routes, services, organisations and endpoints. */

export type RouteKind = 'safe' | 'nonIdempotent' | 'streaming'

export interface RouteTarget {
  readonly service: string
  /** Share of the route's requests relative to the other targets. */
  readonly weight: number
}

export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly targets: readonly RouteTarget[]
  /** Longest time that a request may take, in ms. */
  readonly timeoutMs: number
  /** Time to the answer, or to the first event of a stream, that callers expect, in ms. */
  readonly objectiveMs: number
  /** Rank of the route; 0 is the most urgent. */
  readonly priority: number
  /** Most endpoints that one request may run at. */
  readonly maxAttempts: number
  /** Whether requests need no API key. */
  readonly isPublic: boolean
  /** Whether an interrupted stream may go on at another endpoint. */
  readonly isResumable: boolean
}

/** What is known of a model engine. */
export interface EngineProfile {
  /** Requests in one batch. */
  readonly slots: number
  /** Memory for prompts and outputs, in tokens. */
  readonly kvTokens: number
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number
}

export interface Service {
  readonly name: string
  /** Connections that an endpoint accepts from all routers together. */
  readonly maxConnections: number
  readonly engine: EngineProfile | undefined
}

export interface Organisation {
  readonly name: string
  readonly apiKeys: readonly string[]
  /** Overrides the priority of the route. */
  readonly priority: number | undefined
  /** Tokens that the organisation has paid for. */
  readonly prepaidTokens: number | undefined
}

export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

export interface FleetConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: CallerLimits
  /** `undefined` when requests need no API key. */
  readonly organisations: readonly Organisation[] | undefined
}

/** An endpoint as it registered itself. */
export interface EndpointEntry {
  readonly id: string
  readonly service: string
  /** `ip:port` */
  readonly address: string
  readonly failureDomain: string
  readonly version: string
  readonly slots: number
  readonly isDraining: boolean
  /** Start of the process in ms since the Unix epoch; tells incarnations with the same id apart. */
  readonly startedAtMs: number | undefined
}

/** An order to move a service's traffic to a version. */
export interface RolloutOrder {
  readonly service: string
  readonly target: string
  readonly durationMs: number
  readonly state: 'ordered' | 'running' | 'completed' | 'rolledBack'
}
