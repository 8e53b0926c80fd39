/** Processes of the fleet as this process knows them. */
import { serviceKey, type Unsubscribe } from '@buckthorndrift/kernel'
import type { Member } from '@buckthorndrift/protocol'

export interface Membership {
  readonly self: Member
  /** Registered routers, this one included; those suspected here are left out when `isReachable` is set. */
  routers (filter?: { readonly failureDomain?: string, readonly isReachable?: boolean }): readonly Member[]
  /** Registered endpoint processes of a service, or of all. */
  endpoints (service?: string): readonly Member[]
  /** Notes that a process did not answer; it counts as suspected until `noteAlive` or a pause without evidence. */
  noteUnreachable (id: string): void
  noteAlive (id: string): void
  isSuspected (id: string): boolean
  /** Calls `listener` after each change of the registry or of suspicion. */
  subscribe (listener: () => void): Unsubscribe
}

export const membershipKey = serviceKey<Membership>('membership')

/** This process's own entry in the registry. */
export interface Registration {
  /** Shows this process as leaving; resolves when the registry has it, or the write failed. */
  announceLeaving (): Promise<void>
}

export const registrationKey = serviceKey<Registration>('registration')
