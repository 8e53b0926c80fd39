/** Fakes of the platform services with a fixed member list, so that a bench measures request forwarding alone. */
import { definePlugin, SystemTimers, type Plugin } from '@buckthorndrift/kernel'
import { documentsKey, membershipKey, MemoryObjectStore, objectStoreKey, type Documents, type Membership } from '@buckthorndrift/coordination'
import type { Member } from '@buckthorndrift/protocol'

/** Provides object store, documents and membership; the member list is `endpoints` and never changes. */
export function platformFakes (self: Member, endpoints: readonly Member[]): Plugin {
  const store = new MemoryObjectStore({ timers: new SystemTimers() })
  const documents: Documents = {
    get: () => undefined,
    subscribe: () => () => {},
    learn () {},
    refresh: name => store.read(name)
  }
  const membership: Membership = {
    self,
    routers: () => self.role === 'router' ? [self] : [],
    endpoints: service => endpoints.filter(endpoint => service === undefined || endpoint.service === service),
    noteUnreachable () {},
    noteAlive () {},
    isSuspected: () => false,
    subscribe: () => () => {}
  }
  return definePlugin({
    name: 'platformFakes',
    setup (context) {
      context.provide(objectStoreKey, store)
      context.provide(documentsKey, documents)
      context.provide(membershipKey, membership)
      return undefined
    }
  })
}
