/** Settlements on their way to the holders of their reservations; kept until the holder took them or is gone. */
import { isHolderOf } from '@buckthorndrift/policy'
import type { Membership } from '@buckthorndrift/platform'
import type { Member, Reservation, SettleInput } from '@buckthorndrift/protocol'

type Item = SettleInput['items'][number]

/** Most settlements of one call. */
const maxItems = 1000

/** Settlements kept per holder; beyond it the oldest are dropped and their holder counts them wholly, which is safe. */
const maxKept = 20_000

export interface SettlementsOptions {
  readonly membership: Membership
  send (peer: Member, items: readonly Item[]): Promise<void>
}

export class Settlements {
  readonly #options: SettlementsOptions
  readonly #kept = new Map<string, Item[]>()
  readonly #sending = new Set<string>()

  constructor (options: SettlementsOptions) {
    this.#options = options
  }

  get isEmpty (): boolean {
    return this.#kept.size === 0
  }

  add (budget: string, reservation: Reservation, tokens: number): void {
    const kept = this.#kept.get(reservation.holder) ?? []
    kept.push({ budget, reservation, tokens })
    if (kept.length > maxKept) kept.shift()
    this.#kept.set(reservation.holder, kept)
  }

  /** Sends what waits, one call per holder at a time. */
  flush (): void {
    for (const holder of this.#kept.keys()) if (!this.#sending.has(holder)) this.#flushOne(holder)
  }

  #flushOne (holder: string): void {
    const peer = this.#options.membership.routers().find(router => isHolderOf(holder, router))
    const items = this.#kept.get(holder)?.slice(0, maxItems) ?? []
    if (peer === undefined) {
      // The holder is gone; its slices are closed by what the endpoints ran.
      this.#kept.delete(holder)
      return
    }
    this.#sending.add(holder)
    this.#options.send(peer, items).then(() => {
      const rest = (this.#kept.get(holder) ?? []).filter(item => !items.includes(item))
      if (rest.length === 0) this.#kept.delete(holder)
      else this.#kept.set(holder, rest)
    }, () => { this.#options.membership.noteUnreachable(peer.id) }).finally(() => { this.#sending.delete(holder) })
  }
}
