/** Duty of one router: applies the platform's list of VMs to the registry. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import type { Lease } from './lease.ts'
import { handoverName } from '@buckthorndrift/policy'
import { DepartedEndpoints } from './departedEndpoints.ts'
import { departedEndpointsOf, membersOf, membersPrefix, withoutDeparted, withVmStates, type DepartedEndpoint } from './memberList.ts'
import type { Documents, ListedVm, ObjectStore, StoredObject } from './objectStore.ts'
import { updateObject } from './updateObject.ts'

export interface VmListTuning {
  /** Interval of reads of the list, 1000 ms. */
  readonly intervalMs: number
  /** How long a VM that was on the list has to be off it before its members are removed, 10 000 ms. */
  readonly goneAfterMs: number
  /** The same for a VM that this holder never saw on the list, 60 000 ms; longer, because the list shows new VMs late. */
  readonly unseenGoneAfterMs: number
}

export const defaultVmListTuning: VmListTuning = { intervalMs: 1000, goneAfterMs: 10_000, unseenGoneAfterMs: 60_000 }

/** Judges which VMs are gone. The list lags and may lack new VMs, so one look at it shows nothing. */
export class VmAbsences {
  readonly #tuning: VmListTuning
  readonly #seen = new Set<string>()
  readonly #absentSinceMs = new Map<string, number>()

  constructor (tuning: VmListTuning) {
    this.#tuning = tuning
  }

  /** VMs among `memberVms` that have been off the list long enough. */
  gone (memberVms: readonly string[], listed: ReadonlySet<string>, nowMs: number): ReadonlySet<string> {
    const gone = new Set<string>()
    for (const vm of listed) {
      this.#seen.add(vm)
      this.#absentSinceMs.delete(vm)
    }
    for (const vm of memberVms) {
      if (listed.has(vm)) continue
      const sinceMs = this.#absentSinceMs.get(vm) ?? nowMs
      this.#absentSinceMs.set(vm, sinceMs)
      const limitMs = this.#seen.has(vm) ? this.#tuning.goneAfterMs : this.#tuning.unseenGoneAfterMs
      if (nowMs - sinceMs >= limitMs) gone.add(vm)
    }
    this.#forgetAllBut(new Set([...memberVms, ...listed]))
    return gone
  }

  #forgetAllBut (vms: ReadonlySet<string>): void {
    for (const vm of [...this.#seen]) if (!vms.has(vm)) this.#seen.delete(vm)
    for (const vm of [...this.#absentSinceMs.keys()]) if (!vms.has(vm)) this.#absentSinceMs.delete(vm)
  }
}

export interface VmListDutyOptions {
  readonly lease: Lease
  readonly store: ObjectStore
  readonly documents: Documents
  readonly timers: TimerService
  readonly log: Log
  /** Numbers from 0 below 1. */
  readonly random: () => number
  readonly tuning: VmListTuning
}

export class VmListDuty {
  readonly #options: VmListDutyOptions
  readonly #lists = new Map<string, StoredObject>()
  #absences: VmAbsences
  #departed = new DepartedEndpoints()
  #isEmptyNoted = false
  #isStopped = false
  #stop: () => void

  constructor (options: VmListDutyOptions) {
    this.#options = options
    this.#absences = new VmAbsences(options.tuning)
    this.#stop = options.documents.subscribe(membersPrefix, document => { this.#lists.set(document.name, document) })
    this.#plan()
  }

  stop (): void {
    this.#isStopped = true
    this.#stop()
  }

  #plan (): void {
    this.#options.timers.after(this.#options.tuning.intervalMs, () => {
      if (this.#isStopped) return
      this.#look().catch(() => {}).finally(() => { this.#plan() }).catch(() => {})
    })
  }

  async #look (): Promise<void> {
    const { lease, store, timers, tuning } = this.#options
    if (lease.fencingToken() === undefined) {
      // Absences seen under an earlier lease say nothing about the time in between.
      this.#absences = new VmAbsences(tuning)
      this.#departed = new DepartedEndpoints()
      return
    }
    await this.#forgetDeparted()
    const list = await store.vms()
    if (list.isErr() || !this.#isUsable(list.value)) return
    const memberVms = [...this.#lists.values()].flatMap(object => membersOf(object).map(member => member.vm))
    const gone = this.#absences.gone(memberVms, new Set(list.value.map(({ vm }) => vm)), timers.monotonicMs())
    const leaving = new Set(list.value.filter(({ state }) => state === 'leaving').map(({ vm }) => vm))
    for (const object of [...this.#lists.values()]) await this.#apply(object, gone, leaving)
  }

  /** Their handovers go first: a departed process without one counts as lost, which is safe. */
  async #forgetDeparted (): Promise<void> {
    const objects = [...this.#lists.values()]
    const due = this.#departed.due(objects.flatMap(departedEndpointsOf), this.#options.timers.monotonicMs())
    if (due.length === 0) return
    for (const one of due) if (!await this.#removeHandover(one)) return
    for (const object of objects) {
      const result = await updateObject(this.#options.store, object.name, present => withoutDeparted(present, due), { known: object })
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

  /** An empty list is taken for a fault of the platform: it would remove the whole fleet. */
  #isUsable (list: readonly ListedVm[]): boolean {
    if (list.length === 0 && !this.#isEmptyNoted) this.#options.log.event('vmListEmpty')
    this.#isEmptyNoted = list.length === 0
    return list.length > 0
  }

  async #apply (known: StoredObject, gone: ReadonlySet<string>, leaving: ReadonlySet<string>): Promise<void> {
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
