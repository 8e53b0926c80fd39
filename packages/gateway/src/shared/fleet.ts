/** Configuration and registered state of the fleet: routes, services, organisations and endpoints. */

export type RouteKind = 'safe' | 'nonIdempotent' | 'streaming'

export interface RouteTarget {
  readonly service: string
  /** Weight relative to the other targets of the route. */
  readonly weight: number
}

export interface Route {
  readonly name: string
  readonly host: string
  /** Starts and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly targets: readonly RouteTarget[]
  /** Time limit of a request, in ms. */
  readonly timeoutMs: number
  /** Latency objective for the response, or for the first event of a stream, in ms. */
  readonly objectiveMs: number
  /** Urgency of the route; 0 is the most urgent. */
  readonly priority: number
  /** Maximum number of endpoints that may run the same request. */
  readonly maxAttempts: number
  /** Whether requests are accepted without an API key. */
  readonly isPublic: boolean
  /** Whether an interrupted stream may resume at another endpoint. */
  readonly isResumable: boolean
}

/** Capacity of a model engine. */
export interface EngineProfile {
  /** Maximum number of requests that the engine runs in one batch. */
  readonly slots: number
  /** Size of the key-value cache for prompts and outputs, in tokens. */
  readonly kvTokens: number
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number
}

export interface Service {
  readonly name: string
  readonly engine: EngineProfile | undefined
  /** Pace of requests from all routers together that an endpoint bears while it is cold. */
  readonly coldRequestsPerSecond: number
}

export interface Organisation {
  readonly name: string
  readonly apiKeys: readonly string[]
  /** Overrides the priority of the route. */
  readonly priority: number | undefined
  /** Size of the token budget that the organisation has paid for. */
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

/** An endpoint as registered in the store. */
export interface EndpointEntry {
  readonly id: string
  readonly service: string
  /** `ip:port` */
  readonly address: string
  readonly failureDomain: string
  readonly version: string
  readonly slots: number
  readonly isDraining: boolean
  /** Start of the endpoint process in ms since the Unix epoch; distinguishes incarnations with the same id. */
  readonly startedAtMs: number | undefined
  /** Number of heartbeats of this incarnation when it wrote the entry. */
  readonly sequence: number
  /** How much longer the endpoint stays slow, in ms, when it wrote the entry; 0 if it is not. */
  readonly coldRemainingMs: number
}

/** The router that controls a rollout. */
export interface RolloutControl {
  /** Holder id of the router process. */
  readonly holder: string
  /** Address at which it accepts outcomes of requests. */
  readonly address: string | undefined
  /** Increases with each change of the controller. */
  readonly fencingToken: number
  /** Start of the rollout by the wall clock of its first controller, in ms since the Unix epoch. */
  readonly startedAtMs: number
}

/** An order to shift the traffic of a service to a version. */
export interface RolloutOrder {
  readonly service: string
  readonly target: string
  readonly durationMs: number
  readonly state: 'ordered' | 'running' | 'completed' | 'rolledBack'
  /** `undefined` until a router has claimed the order. */
  readonly control: RolloutControl | undefined
}
