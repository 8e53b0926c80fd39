/** Applies the platform's VM list to the registry. Runs on the router that holds the lease. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import type { Lease } from './lease.ts'
import { handoverName } from '@buckthorndrift/policy'
import { DepartedEndpointExpiry } from './departedEndpoints.ts'
import { departedEndpointsOf, membersOf, membersPrefix, withoutDeparted, withVmStates, type DepartedEndpoint } from './memberList.ts'
import type { Documents, ListedVm, ObjectStore, StoredObject } from './objectStore.ts'
import { updateObject } from './updateObject.ts'

export interface VmListTuning {
  /** Interval between reads of the VM list; 1000 ms by default. */
  readonly intervalMs: number
  /** How long a VM that was on the list must be missing from it before its members are removed; 10 000 ms by default. */
  readonly goneAfterMs: number
  /** Like `goneAfterMs`, for a VM that this lease holder never saw on the list; 60 000 ms by default. It is longer because new VMs appear on the list late. */
  readonly unseenGoneAfterMs: number
}

export const defaultVmListTuning: VmListTuning = { intervalMs: 1000, goneAfterMs: 10_000, unseenGoneAfterMs: 60_000 }

/** Decides which VMs are gone. The VM list lags and may lack new VMs, so absence from a single read proves nothing. */
export class VmAbsenceTracker {
  readonly #tuning: VmListTuning
  readonly #everListed = new Set<string>()
  readonly #absentSinceMs = new Map<string, number>()

  constructor (tuning: VmListTuning) {
    this.#tuning = tuning
  }

  /** Records the list read at `nowMs`, and returns those of `memberVms` that have been missing for long enough. */
  findGone (memberVms: readonly string[], listed: ReadonlySet<string>, nowMs: number): ReadonlySet<string> {
    const gone = new Set<string>()
    for (const vm of listed) {
      this.#everListed.add(vm)
      this.#absentSinceMs.delete(vm)
    }
    for (const vm of memberVms) {
      if (listed.has(vm)) continue
      const sinceMs = this.#absentSinceMs.get(vm) ?? nowMs
      this.#absentSinceMs.set(vm, sinceMs)
      const limitMs = this.#everListed.has(vm) ? this.#tuning.goneAfterMs : this.#tuning.unseenGoneAfterMs
      if (nowMs - sinceMs >= limitMs) gone.add(vm)
    }
    this.#retainOnly(new Set([...memberVms, ...listed]))
    return gone
  }

  #retainOnly (vms: ReadonlySet<string>): void {
    for (const vm of [...this.#everListed]) if (!vms.has(vm)) this.#everListed.delete(vm)
    for (const vm of [...this.#absentSinceMs.keys()]) if (!vms.has(vm)) this.#absentSinceMs.delete(vm)
  }
}

export interface VmListReconcilerOptions {
  readonly lease: Lease
  readonly store: ObjectStore
  readonly documents: Documents
  readonly timers: TimerService
  readonly log: Log
  /** Returns a random number in [0, 1). */
  readonly random: () => number
  readonly tuning: VmListTuning
}

export class VmListReconciler {
  readonly #options: VmListReconcilerOptions
  readonly #memberLists = new Map<string, StoredObject>()
  #absenceTracker: VmAbsenceTracker
  #departedExpiry = new DepartedEndpointExpiry()
  #hasLoggedEmptyList = false
  #isStopped = false
  #unsubscribe: () => void

  constructor (options: VmListReconcilerOptions) {
    this.#options = options
    this.#absenceTracker = new VmAbsenceTracker(options.tuning)
    this.#unsubscribe = options.documents.subscribe(membersPrefix, document => { this.#memberLists.set(document.name, document) })
    this.#scheduleRun()
  }

  stop (): void {
    this.#isStopped = true
    this.#unsubscribe()
  }

  #scheduleRun (): void {
    this.#options.timers.after(this.#options.tuning.intervalMs, () => {
      if (this.#isStopped) return
      this.#reconcile().catch(() => {}).finally(() => { this.#scheduleRun() }).catch(() => {})
    })
  }

  async #reconcile (): Promise<void> {
    const { lease, store, timers, tuning } = this.#options
    if (lease.fencingToken() === undefined) {
      // Restart the measurement of absences: this process did not read the VM list while it did not hold the lease.
      this.#absenceTracker = new VmAbsenceTracker(tuning)
      this.#departedExpiry = new DepartedEndpointExpiry()
      return
    }
    await this.#removeExpiredDeparted()
    const list = await store.vms()
    if (list.isErr() || !this.#isUsable(list.value)) return
    const memberVms = [...this.#memberLists.values()].flatMap(object => membersOf(object).map(member => member.vm))
    const gone = this.#absenceTracker.findGone(memberVms, new Set(list.value.map(({ vm }) => vm)), timers.monotonicMs())
    const leaving = new Set(list.value.filter(({ state }) => state === 'leaving').map(({ vm }) => vm))
    for (const object of [...this.#memberLists.values()]) await this.#updateMemberList(object, gone, leaving)
  }

  /**
   * Removes departed endpoint processes from the member lists at the end of
   * their retention. Their handover objects are removed first. If the removal
   * from the lists then fails, the processes are listed without a handover. That
   * is safe: they count as lost, and a router that reclaims a budget slice then
   * counts the slice as wholly spent.
   */
  async #removeExpiredDeparted (): Promise<void> {
    const objects = [...this.#memberLists.values()]
    const expired = this.#departedExpiry.findExpired(objects.flatMap(departedEndpointsOf), this.#options.timers.monotonicMs())
    if (expired.length === 0) return
    for (const endpoint of expired) if (!await this.#removeHandover(endpoint)) return
    for (const object of objects) {
      const result = await updateObject(this.#options.store, object.name, present => withoutDeparted(present, expired), { known: object })
      if (result.isOk() && result.value.object !== undefined) this.#options.documents.learn(result.value.object)
    }
  }

  async #removeHandover ({ id, incarnation }: DepartedEndpoint): Promise<boolean> {
    const { store } = this.#options
    const name = handoverName(id, incarnation)
    const present = await store.read(name)
    if (present.isErr()) return false
    if (present.value === undefined) return true
    return (await store.remove(name, present.value.version)).isOk()
  }

  /** Rejects an empty list as a fault of the platform: applying it would remove the whole fleet. */
  #isUsable (list: readonly ListedVm[]): boolean {
    if (list.length === 0 && !this.#hasLoggedEmptyList) this.#options.log.event('vmListEmpty')
    this.#hasLoggedEmptyList = list.length === 0
    return list.length > 0
  }

  async #updateMemberList (known: StoredObject, gone: ReadonlySet<string>, leaving: ReadonlySet<string>): Promise<void> {
    if (withVmStates(known, gone, leaving) === undefined) return
    const { lease, store, timers, random, documents, log } = this.#options
    const update = (present: StoredObject | undefined): unknown =>
      lease.fencingToken() === undefined ? undefined : withVmStates(present, gone, leaving)
    const result = await updateObject(store, known.name, update, { known, timers, random })
    if (result.isErr() || result.value.object === undefined) return
    documents.learn(result.value.object)
    log.event('vmListApplied', { object: known.name, members: membersOf(result.value.object).length })
  }
}
