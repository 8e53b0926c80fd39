/** Settlements on their way to the holders of their reservations; kept until the holder took them or is gone. */
import { isHolderOf } from '@buckthorndrift/policy'
import type { Membership } from '@buckthorndrift/coordination'
import type { Member, Reservation, SettleInput } from '@buckthorndrift/protocol'

type Item = SettleInput['items'][number]

/** Most settlements of one call. */
const maxItems = 1000

/** Settlements kept per holder; beyond it the oldest are dropped and their holder counts them wholly, which is safe. */
const maxKept = 20_000

/** Settlements of a holder that is not registered are dropped after this time. */
const goneAfterMs = 60_000

export interface SettlementsOptions {
  readonly membership: Membership
  send (peer: Member, items: readonly Item[]): Promise<void>
}

export class Settlements {
  readonly #options: SettlementsOptions
  readonly #kept = new Map<string, Item[]>()
  readonly #sending = new Set<string>()
  readonly #missingSinceMs = new Map<string, number>()

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
  flush (nowMs: number): void {
    for (const holder of this.#kept.keys()) if (!this.#sending.has(holder)) this.#flushOne(holder, nowMs)
  }

  #flushOne (holder: string, nowMs: number): void {
    const peer = this.#options.membership.routers().find(router => isHolderOf(holder, router))
    const items = this.#kept.get(holder)?.slice(0, maxItems) ?? []
    if (peer === undefined) {
      // A holder that stays away is reclaimed by what the endpoints ran; the registry may also just lack it for a moment.
      const sinceMs = this.#missingSinceMs.get(holder) ?? nowMs
      this.#missingSinceMs.set(holder, sinceMs)
      if (nowMs - sinceMs >= goneAfterMs) this.#forget(holder)
      return
    }
    this.#missingSinceMs.delete(holder)
    this.#sending.add(holder)
    this.#options.send(peer, items).then(() => {
      const rest = (this.#kept.get(holder) ?? []).filter(item => !items.includes(item))
      if (rest.length === 0) this.#forget(holder)
      else this.#kept.set(holder, rest)
    }, () => { this.#options.membership.noteUnreachable(peer.id) }).finally(() => { this.#sending.delete(holder) })
  }

  #forget (holder: string): void {
    this.#kept.delete(holder)
    this.#missingSinceMs.delete(holder)
  }
}
