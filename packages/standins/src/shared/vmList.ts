/** The platform's list of VMs, which shows each change only after a lag. */

export interface StandInVm {
  readonly vm: string
  readonly state: 'live' | 'leaving'
}

interface Snapshot {
  readonly atMs: number
  readonly vms: readonly StandInVm[]
}

export class VmList {
  #snapshots: Snapshot[] = [{ atMs: Number.NEGATIVE_INFINITY, vms: [] }]
  #lagMs: number

  constructor (lagMs: number) {
    this.#lagMs = lagMs
  }

  setLag (value: number): void {
    this.#lagMs = value
  }

  /** Replaces the list; readers see it after the lag. */
  set (vms: readonly StandInVm[], nowMs: number): void {
    this.#snapshots.push({ atMs: nowMs, vms: [...vms] })
  }

  /** Adds a VM or changes its state; readers see it after the lag. */
  setVm (vm: StandInVm, nowMs: number): void {
    this.set([...this.#newest().filter(other => other.vm !== vm.vm), vm], nowMs)
  }

  removeVm (vm: string, nowMs: number): void {
    this.set(this.#newest().filter(other => other.vm !== vm), nowMs)
  }

  /** The list as it was `lagMs` ago. */
  visible (nowMs: number): readonly StandInVm[] {
    const lastIndex = this.#snapshots.findLastIndex(snapshot => snapshot.atMs <= nowMs - this.#lagMs)
    this.#snapshots = this.#snapshots.slice(Math.max(0, lastIndex))
    return this.#snapshots[0]?.vms ?? []
  }

  #newest (): readonly StandInVm[] {
    return this.#snapshots.at(-1)?.vms ?? []
  }
}
