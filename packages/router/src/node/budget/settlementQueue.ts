/** Queue of settlements for holders at other routers. A settlement stays queued until its holder has accepted it or is lost. */
import { isHolderOf } from '@buckthorndrift/policy'
import type { Membership } from '@buckthorndrift/coordination'
import type { Member, Reservation, SettleInput } from '@buckthorndrift/protocol'

type SettleItem = SettleInput['items'][number]

/** Maximum number of settlements of one call; the receiver rejects more. */
const maxItemsPerCall = 1000

/** Maximum number of settlements queued per holder. Above it the oldest are dropped; the holder counts their reservations as wholly spent, so no budget is exceeded. */
const maxQueuedPerHolder = 20_000

/** Settlements are dropped when their holder has been unregistered for this time. */
const dropAfterMs = 60_000

export interface SettlementQueueOptions {
  readonly membership: Membership
  send (peer: Member, items: readonly SettleItem[]): Promise<void>
}

export class SettlementQueue {
  readonly #options: SettlementQueueOptions
  readonly #queues = new Map<string, SettleItem[]>()
  readonly #holdersInFlight = new Set<string>()
  readonly #unregisteredSinceMs = new Map<string, number>()

  constructor (options: SettlementQueueOptions) {
    this.#options = options
  }

  get isEmpty (): boolean {
    return this.#queues.size === 0
  }

  add (budget: string, reservation: Reservation, tokens: number): void {
    const queue = this.#queues.get(reservation.holder) ?? []
    queue.push({ budget, reservation, tokens })
    if (queue.length > maxQueuedPerHolder) queue.shift()
    this.#queues.set(reservation.holder, queue)
  }

  /** Sends queued settlements, with at most one call in flight per holder. */
  flush (nowMs: number): void {
    for (const holder of this.#queues.keys()) if (!this.#holdersInFlight.has(holder)) this.#flushHolder(holder, nowMs)
  }

  #flushHolder (holder: string, nowMs: number): void {
    const peer = this.#options.membership.routers().find(router => isHolderOf(holder, router))
    const items = this.#queues.get(holder)?.slice(0, maxItemsPerCall) ?? []
    if (peer === undefined) {
      // A holder may be missing from the registry for a short time only, so its settlements are kept at first.
      // The slices of a lost holder are reclaimed from the reports of endpoints, which makes its settlements unnecessary.
      const sinceMs = this.#unregisteredSinceMs.get(holder) ?? nowMs
      this.#unregisteredSinceMs.set(holder, sinceMs)
      if (nowMs - sinceMs >= dropAfterMs) this.#dropQueue(holder)
      return
    }
    this.#unregisteredSinceMs.delete(holder)
    this.#holdersInFlight.add(holder)
    this.#options.send(peer, items).then(() => {
      const remaining = (this.#queues.get(holder) ?? []).filter(item => !items.includes(item))
      if (remaining.length === 0) this.#dropQueue(holder)
      else this.#queues.set(holder, remaining)
    }, () => { this.#options.membership.noteUnreachable(peer.id) }).finally(() => { this.#holdersInFlight.delete(holder) })
  }

  #dropQueue (holder: string): void {
    this.#queues.delete(holder)
    this.#unregisteredSinceMs.delete(holder)
  }
}
