/** Plugins for membership, leases, and applying the VM list. */
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import type { Member } from '@buckthorndrift/protocol'
import { defaultLeaseTuning, type LeaseTuning } from '../shared/lease.ts'
import { leasesKey, LeasesService } from '../shared/leases.ts'
import { membershipKey, registrationKey } from '../shared/membership.ts'
import { MembershipService } from '../shared/membershipService.ts'
import { documentsKey, objectStoreKey } from '../shared/objectStore.ts'
import { suspicionsKey } from '../shared/suspicions.ts'
import { defaultVmListTuning, VmListReconciler, type VmListTuning } from '../shared/vmListReconciler.ts'

export interface MembershipPluginOptions {
  readonly self: Member
  /** Time limit of the deregistration at close; 3000 ms by default. */
  readonly deregisterTimeoutMs?: number
  /** Returns a random number in [0, 1); `Math.random` by default. */
  readonly random?: () => number
}

/**
 * Creates a plugin that provides `membershipKey` and `registrationKey`; requires
 * `objectStoreKey` and the documents plugin. Its `ready` resolves once the
 * process is registered; its `close` removes the process from the registry.
 */
export function createMembershipPlugin (options: MembershipPluginOptions): Plugin {
  return definePlugin({
    name: 'membership',
    setup (context) {
      const membership = new MembershipService({
        self: options.self,
        documents: context.use(documentsKey),
        store: context.use(objectStoreKey),
        suspicions: context.use(suspicionsKey),
        timers: context.timers,
        log: context.log,
        random: options.random ?? Math.random,
        deregisterTimeoutMs: options.deregisterTimeoutMs ?? 3000
      })
      context.provide(membershipKey, membership)
      context.provide(registrationKey, membership)
      return { ready: () => membership.register(), close: () => membership.deregister() }
    }
  })
}

/**
 * Creates a plugin that marks the process as leaving in the registry when its
 * graceful shutdown starts; requires `registrationKey`. It must be last in the
 * list of plugins: they are drained in reverse order, so it is drained first.
 * The shutdown does not wait for the write to the platform.
 */
export function createLeavingPlugin (): Plugin {
  return definePlugin({
    name: 'leaving',
    setup (context) {
      const registration = context.use(registrationKey)
      return { drain () { void registration.announceLeaving() } }
    }
  })
}

export interface LeasesPluginOptions {
  readonly tuning?: Partial<LeaseTuning>
  readonly random?: () => number
}

/** Creates a plugin that provides `leasesKey`; requires `objectStoreKey` and `membershipKey`. Releases its leases at close. */
export function createLeasesPlugin (options: LeasesPluginOptions = {}): Plugin {
  return definePlugin({
    name: 'leases',
    setup (context) {
      const leases = new LeasesService({
        membership: context.use(membershipKey),
        store: context.use(objectStoreKey),
        timers: context.timers,
        log: context.log,
        random: options.random ?? Math.random,
        tuning: { ...defaultLeaseTuning, ...options.tuning }
      })
      context.provide(leasesKey, leases)
      return { close: () => leases.close() }
    }
  })
}

export interface VmListPluginOptions {
  readonly tuning?: Partial<VmListTuning>
  readonly random?: () => number
}

/** Creates a plugin for routers that campaigns for the lease `leases/vmList` and, while it holds that, applies the VM list to the registry. Requires `objectStoreKey`, `leasesKey` and the documents plugin. */
export function createVmListPlugin (options: VmListPluginOptions = {}): Plugin {
  return definePlugin({
    name: 'vmList',
    setup (context) {
      const reconciler = new VmListReconciler({
        lease: context.use(leasesKey).campaign('vmList'),
        store: context.use(objectStoreKey),
        documents: context.use(documentsKey),
        timers: context.timers,
        log: context.log,
        random: options.random ?? Math.random,
        tuning: { ...defaultVmListTuning, ...options.tuning }
      })
      return { close () { reconciler.stop() } }
    }
  })
}
