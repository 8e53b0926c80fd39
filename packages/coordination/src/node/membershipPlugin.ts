/** Plugins for the registry of processes, leases, and the list of VMs. */
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import type { Member } from '@buckthorndrift/protocol'
import { defaultLeaseTuning, type LeaseTuning } from '../shared/lease.ts'
import { leasesKey, LeasesService } from '../shared/leases.ts'
import { membershipKey, registrationKey } from '../shared/membership.ts'
import { MembershipService } from '../shared/membershipService.ts'
import { documentsKey, objectStoreKey } from '../shared/objectStore.ts'
import { suspicionsKey } from '../shared/suspicions.ts'
import { defaultVmListTuning, VmListDuty, type VmListTuning } from '../shared/vmListDuty.ts'

export interface MembershipPluginOptions {
  readonly self: Member
  /** Longest time spent on deregistration at close, 3000 ms. */
  readonly deregisterMs?: number
  /** Numbers from 0 below 1, `Math.random` when absent. */
  readonly random?: () => number
}

/**
 * Provides `membershipKey`; needs `objectStoreKey` and the documents plugin.
 * Its `ready` resolves once the process is registered, its `close` takes it
 * out of the registry.
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
        deregisterMs: options.deregisterMs ?? 3000
      })
      context.provide(membershipKey, membership)
      context.provide(registrationKey, membership)
      return { ready: () => membership.register(), close: () => membership.deregister() }
    }
  })
}

/**
 * Shows the process as leaving when its graceful shutdown starts. It goes last
 * into the list of plugins, because these are drained in reverse order; the
 * shutdown does not wait for the platform.
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

/** Provides `leasesKey`; needs `objectStoreKey` and `membershipKey`. Gives its leases back at close. */
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

/** Duty of the lease `leases/vmList` that routers campaign for; needs `leasesKey` and the documents plugin. */
export function createVmListPlugin (options: VmListPluginOptions = {}): Plugin {
  return definePlugin({
    name: 'vmList',
    setup (context) {
      const duty = new VmListDuty({
        lease: context.use(leasesKey).campaign('vmList'),
        store: context.use(objectStoreKey),
        documents: context.use(documentsKey),
        timers: context.timers,
        log: context.log,
        random: options.random ?? Math.random,
        tuning: { ...defaultVmListTuning, ...options.tuning }
      })
      return { close () { duty.stop() } }
    }
  })
}
