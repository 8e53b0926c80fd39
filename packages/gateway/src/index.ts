/** Gateway: a router between callers and endpoints. Routers share state only through an object store. */
export type { ResponseAttributes, CallAttributes, Generation, PromptPart, RequestLimit } from './shared/call.ts'
export type { Address, Deployment } from './shared/deployment.ts'
export type { Dialect, ForwardAttributes } from './shared/dialect.ts'
export type {
  CallerLimits, EndpointEntry, EngineProfile, FleetConfiguration, Organisation, RolloutControl, RolloutOrder, Route, RouteKind, RouteTarget, Service
} from './shared/fleet.ts'
export type { FleetStore, ObjectEvent, ObjectKind, ObjectPage, StoredObject, StoreFailure, StoreResult, WatchPage } from './shared/store.ts'
export { runGateway, type GatewayOptions } from './node/runGateway.ts'
export { startGateway, type Gateway, type StartGatewayOptions } from './node/startGateway.ts'
export { metricsPage } from './node/gatewayMetrics.ts'
