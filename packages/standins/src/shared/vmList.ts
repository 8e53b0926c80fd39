/** The platform's list of VMs, whose changes become visible only after a lag. */
import { LaggedValue } from './laggedValue.ts'

export interface StandInVm {
  readonly vm: string
  readonly state: 'live' | 'leaving'
}

export class VmList {
  readonly #vms: LaggedValue<readonly StandInVm[]>

  constructor (lagMs: number) {
    this.#vms = new LaggedValue<readonly StandInVm[]>([], lagMs)
  }

  setLag (lagMs: number): void {
    this.#vms.setLag(lagMs)
  }

  /** Replaces the list; the change becomes visible after the lag. */
  set (vms: readonly StandInVm[], nowMs: number): void {
    this.#vms.set([...vms], nowMs)
  }

  /** Adds a VM or changes its state; the change becomes visible after the lag. */
  setVm (vm: StandInVm, nowMs: number): void {
    this.set([...this.#vms.newest().filter(other => other.vm !== vm.vm), vm], nowMs)
  }

  removeVm (vm: string, nowMs: number): void {
    this.set(this.#vms.newest().filter(other => other.vm !== vm), nowMs)
  }

  /** The list as it was one lag before `nowMs`. */
  visible (nowMs: number): readonly StandInVm[] {
    return this.#vms.visible(nowMs)
  }
}
