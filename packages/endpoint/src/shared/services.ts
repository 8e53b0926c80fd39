/** Services that the plugins of an endpoint process offer to each other. */
import { serviceKey } from '@buckthorndrift/kernel'
import type { EndpointClient, EndpointControlHandlers, EndpointRef, Member, RouterClient } from '@buckthorndrift/protocol'

/** Handlers of the control part; each plugin sets its own in `setup`. */
export interface ControlParts {
  set<Part extends keyof EndpointControlHandlers> (part: Part, handlers: EndpointControlHandlers[Part]): void
  all (): EndpointControlHandlers
}
export const controlPartsKey = serviceKey<ControlParts>('endpointControl')

/** Control clients of other processes, kept by URL. */
export interface Peers {
  router (url: string): RouterClient
  endpoint (url: string): EndpointClient
  /** Calls reachable routers one after the other until one takes the message; false when none did. */
  tell (send: (client: RouterClient) => Promise<unknown>, options?: { readonly most?: number, readonly wanted?: number }): Promise<boolean>
}
export const peersKey = serviceKey<Peers>('peers')

/** This process as claims name it. */
export function refOf (member: Member): EndpointRef {
  return { id: member.id, incarnation: member.incarnation, url: member.controlUrl }
}
