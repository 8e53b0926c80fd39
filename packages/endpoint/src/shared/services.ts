/** Services that the plugins of an endpoint process provide to each other. */
import { serviceKey } from '@buckthorndrift/kernel'
import type { EndpointClient, EndpointControlHandlers, EndpointRef, Member, RouterClient } from '@buckthorndrift/protocol'

/** Registry of the control handlers. Each plugin registers its handlers during `setup`. */
export interface ControlHandlerRegistry {
  set<Group extends keyof EndpointControlHandlers> (group: Group, handlers: EndpointControlHandlers[Group]): void
  all (): EndpointControlHandlers
}
export const controlHandlersKey = serviceKey<ControlHandlerRegistry>('endpointControl')

/** Control clients for other processes, cached by URL. */
export interface PeerClients {
  router (url: string): RouterClient
  endpoint (url: string): EndpointClient
  /**
   * Sends a message to reachable routers in random order, one at a time, until `deliveries` of them (default 1) have
   * accepted it or `maxAttempts` (default 5) were tried. Resolves with false if none accepted it.
   */
  sendToRouters (send: (client: RouterClient) => Promise<unknown>, options?: { readonly maxAttempts?: number, readonly deliveries?: number }): Promise<boolean>
}
export const peerClientsKey = serviceKey<PeerClients>('peers')

/** The reference by which claims identify an endpoint process. */
export function toEndpointRef (member: Member): EndpointRef {
  return { id: member.id, incarnation: member.incarnation, url: member.controlUrl }
}
