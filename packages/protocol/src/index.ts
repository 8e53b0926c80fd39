/** Message schemas, tRPC routers and clients for the traffic between router and endpoint processes. */
export * from './shared/call.ts'
export * from './shared/records.ts'
export * from './shared/documents.ts'
export * from './shared/routerControl.ts'
export * from './shared/endpointControl.ts'
export {
  createRouterControl, type BudgetHandlers, type DocumentHandlers, type EvidenceHandlers, type RecordHandlers,
  type RouterControl, type RouterControlHandlers
} from './node/routerControl.ts'
export {
  createEndpointControl, type ClaimHandlers, type EndpointControl, type EndpointControlHandlers,
  type EndpointRecordHandlers, type LifecycleHandlers, type SliceHandlers
} from './node/endpointControl.ts'
export { controlPath, createEndpointClient, createRouterClient, type ControlClientOptions, type EndpointClient, type RouterClient } from './node/clients.ts'
export { createControlHandler, hasFleetSecret, isSameSecret } from './node/controlHandler.ts'
