/** The platform's list of VMs, which shows each change only after a lag. */
import { Lagged } from './lagged.ts'

export interface StandInVm {
  readonly vm: string
  readonly state: 'live' | 'leaving'
}

export class VmList {
  readonly #vms: Lagged<readonly StandInVm[]>

  constructor (lagMs: number) {
    this.#vms = new Lagged<readonly StandInVm[]>([], lagMs)
  }

  setLag (lagMs: number): void {
    this.#vms.setLag(lagMs)
  }

  /** Replaces the list; readers see it after the lag. */
  set (vms: readonly StandInVm[], nowMs: number): void {
    this.#vms.set([...vms], nowMs)
  }

  /** Adds a VM or changes its state; readers see it after the lag. */
  setVm (vm: StandInVm, nowMs: number): void {
    this.set([...this.#vms.newest().filter(other => other.vm !== vm.vm), vm], nowMs)
  }

  removeVm (vm: string, nowMs: number): void {
    this.set(this.#vms.newest().filter(other => other.vm !== vm), nowMs)
  }

  /** The list as it was one lag ago. */
  visible (nowMs: number): readonly StandInVm[] {
    return this.#vms.visible(nowMs)
  }
}
