/**
 * Routers of the fleet. Each router registers in the store and renews its entry, and
 * lists the entries of the others. An entry that is not renewed expires.
 */
import * as z from 'zod/mini'
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import type { FleetStore, StoredObject } from '../shared/store.ts'

const entrySchema = z.object({
  /** `HOST:PORT` for the messages of other routers. */
  address: z.optional(z.string()),
  /** Increases with each renewal. */
  sequence: z.number()
})

export interface KnownRouter {
  /** Name of the node. It stays the same when the process restarts. */
  readonly id: string
  readonly address: string | undefined
}

export interface RouterDirectoryOptions {
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  readonly nodeName: string
  readonly address: string | undefined
  readonly random: () => number
  /** Whether the routers are listed once more soon after the start, so that routers that start together know each other within seconds. */
  readonly settlesSoon: boolean
}

const renewalIntervalMs = 60_000
/** An entry expires after two and a half intervals without a renewal, so that one renewal may fail. */
const expiryMs = renewalIntervalMs * 2.5
const listIntervalMs = 10_000
/** Time after the start after which routers that started together are listed. */
const settleMs = 3000
/** Shortest time between two lists that are asked for. */
const minListIntervalMs = 1000
const checkIntervalMs = 500
/** Delay after a failed registration. */
const renewalRetryMs = 2000
/** A list may lack an entry that was written this short a time before. */
const maxStalenessMs = 5000
/** Age at which an expired entry is removed from the store. */
const removalMs = 600_000
/** Time for which a router that did not respond is left out. */
const unreachableMs = 10_000

interface Entry extends KnownRouter {
  readonly revision: number
  /** Time that this router has seen the entry unchanged. The time between two lists counts up to `listIntervalMs` only, because in an outage of the store nobody can renew an entry. */
  readonly unchangedMs: number
}

export class RouterDirectory {
  readonly #options: RouterDirectoryOptions
  readonly #entries = new Map<string, Entry>()
  readonly #unreachableUntilMs = new Map<string, number>()
  readonly #startedMs: number
  readonly #stopChecks: Unsubscribe
  #routers: readonly KnownRouter[] | undefined
  #listedMs = -Infinity
  /** Time of the last list that succeeded. */
  #appliedMs = -Infinity
  /** Time from which the next list is due; the interval is random, so that routers do not list together. */
  #listDueMs = -Infinity
  /** Whether the next list must not be stale. */
  #isLatestRequired = true
  #renewedMs = -Infinity
  #renewalDueMs = -Infinity
  #sequence = 0
  #isBusy = false

  constructor (options: RouterDirectoryOptions) {
    this.#options = options
    this.#startedMs = options.timers.monotonicMs()
    this.#stopChecks = options.timers.every(checkIntervalMs, () => { void this.#check() })
    void this.#check()
  }

  stop (): void {
    this.#stopChecks()
  }

  /** Routers in the fleet, including this one; `undefined` before the store has listed them. The array changes only with the set of routers. */
  get routers (): readonly KnownRouter[] | undefined {
    return this.#routers
  }

  /** Whether the routers were listed when those that started together with this one had time to register. */
  get isSettled (): boolean {
    return this.#appliedMs - this.#startedMs >= settleMs
  }

  /** Lists the latest entries soon, because a decision depends on them. */
  requestList (): void {
    this.#isLatestRequired = true
    this.#listDueMs = Math.min(this.#listDueMs, this.#listedMs + minListIntervalMs)
    void this.#check()
  }

  isReachable (id: string): boolean {
    return this.#nowMs() >= (this.#unreachableUntilMs.get(id) ?? -Infinity)
  }

  recordUnreachable (id: string): void {
    this.#unreachableUntilMs.set(id, this.#nowMs() + unreachableMs)
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  async #check (): Promise<void> {
    if (this.#isBusy) return
    this.#isBusy = true
    if (this.#nowMs() >= this.#renewalDueMs) await this.#renew()
    if (this.#nowMs() >= this.#listDueMs) await this.#list()
    this.#isBusy = false
  }

  get #mustSettle (): boolean {
    return this.#options.settlesSoon && !this.isSettled
  }

  async #renew (): Promise<void> {
    const { store, nodeName, address } = this.#options
    const entry = { ...(address === undefined ? {} : { address }), sequence: ++this.#sequence }
    const created = await store.create('routers', nodeName, entry)
    const existing = created.isErr() && created.error.kind === 'conflict' ? created.error.object : undefined
    const result = existing === undefined ? created : await store.replace('routers', nodeName, { ...entry, sequence: this.#sequenceAfter(existing) }, existing.revision)
    this.#renewalDueMs = this.#nowMs() + (result.isOk() ? renewalIntervalMs : renewalRetryMs)
    if (result.isOk()) this.#renewedMs = this.#nowMs()
    else this.#options.log.event('routerNotRegistered', { cause: result.error.kind })
  }

  /** The store takes no note of a write that changes nothing, and an earlier process may have stored the same number. */
  #sequenceAfter (existing: StoredObject): number {
    const stored = entrySchema.safeParse(existing.value).data?.sequence ?? 0
    this.#sequence = Math.max(this.#sequence, stored + 1)
    return this.#sequence
  }

  async #list (): Promise<void> {
    const { store, nodeName, random } = this.#options
    this.#listedMs = this.#nowMs()
    this.#listDueMs = this.#listedMs + listIntervalMs * (0.75 + random() / 2)
    if (this.#mustSettle) this.#listDueMs = Math.min(this.#listDueMs, Math.max(this.#startedMs + settleMs, this.#listedMs + minListIntervalMs))
    const result = await store.list('routers', { mayBeStale: !this.#isLatestRequired })
    if (result.isErr()) return
    this.#isLatestRequired = this.#mustSettle
    this.#apply(result.value.objects)
    // A restore of the store from a copy loses the entry.
    if (!this.#entries.has(nodeName) && this.#nowMs() - this.#renewedMs > maxStalenessMs) this.#renewalDueMs = this.#nowMs()
  }

  #apply (objects: readonly StoredObject[]): void {
    const sinceMs = Math.min(listIntervalMs, this.#nowMs() - this.#appliedMs)
    this.#appliedMs = this.#nowMs()
    const before = new Map(this.#entries)
    this.#entries.clear()
    for (const { name, revision, value } of objects) {
      const entry = entrySchema.safeParse(value).data
      const known = before.get(name)
      const unchangedMs = known?.revision === revision ? known.unchangedMs + sinceMs : 0
      if (entry !== undefined) this.#entries.set(name, { id: name, address: entry.address, revision, unchangedMs })
    }
    this.#update([...this.#entries.values()].filter(({ unchangedMs }) => unchangedMs < expiryMs))
    for (const { id, unchangedMs } of this.#entries.values()) if (unchangedMs >= removalMs) this.#removeExpired(id)
  }

  /** Any router may remove an expired entry. On average one does so per list of all routers. */
  #removeExpired (id: string): void {
    if (id !== this.#options.nodeName && this.#options.random() * this.#routers!.length < 1) void this.#options.store.remove('routers', id)
  }

  /** Replaces the known routers if the live entries name others. This router counts also before its entry is listed. */
  #update (live: readonly Entry[]): void {
    const { nodeName, address, log } = this.#options
    const own: KnownRouter = { id: nodeName, address }
    const others = live.filter(({ id }) => id !== nodeName).map((entry): KnownRouter => ({ id: entry.id, address: entry.address }))
    const routers = [...others, own].toSorted((left, right) => left.id < right.id ? -1 : 1)
    if (isSameFleet(this.#routers, routers)) return
    const before = this.#routers?.length ?? 0
    this.#routers = routers
    log.event('routersChanged', { routers: routers.length, before })
  }
}

function isSameFleet (known: readonly KnownRouter[] | undefined, listed: readonly KnownRouter[]): boolean {
  return known?.length === listed.length && listed.every(({ id, address }, index) => known[index]!.id === id && known[index]!.address === address)
}
