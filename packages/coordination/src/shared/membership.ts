/** Interfaces for the registered processes of the fleet, as known to this process. */
import { serviceKey, type Unsubscribe } from '@buckthorndrift/kernel'
import type { Member } from '@buckthorndrift/protocol'

export interface Membership {
  readonly self: Member
  /** Registered routers, including this process if it is a router. With `isReachable`, routers that this process suspects are left out. */
  routers (filter?: { readonly failureDomain?: string, readonly isReachable?: boolean }): readonly Member[]
  /** Registered endpoint processes of one service, or of all services. */
  endpoints (service?: string): readonly Member[]
  /** Reports that a process did not answer. It stays suspected until `noteAlive` is called or the suspicion expires without a further report. */
  noteUnreachable (id: string): void
  /** Reports that a process answered, which ends its suspicion. */
  noteAlive (id: string): void
  isSuspected (id: string): boolean
  /** Calls `listener` after each change of the registry or of the suspected processes. */
  subscribe (listener: () => void): Unsubscribe
}

export const membershipKey = serviceKey<Membership>('membership')

/** This process's own entry in the registry. */
export interface Registration {
  /** Marks this process as leaving in the registry. Resolves once that is written, or the write has failed. */
  announceLeaving (): Promise<void>
}

export const registrationKey = serviceKey<Registration>('registration')
