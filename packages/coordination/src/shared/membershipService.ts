/** Tracks the registered processes from the member list documents, and keeps this process registered. */
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import type { Member } from '@buckthorndrift/protocol'
import { memberListName, membersOf, membersPrefix, withLeaving, withMember, withoutMember, type MemberList } from './memberList.ts'
import type { Membership, Registration } from './membership.ts'
import type { Documents, ObjectStore, StoredObject } from './objectStore.ts'
import type { Suspicions } from './suspicions.ts'
import { updateObject } from './updateObject.ts'

export interface MembershipServiceOptions {
  readonly self: Member
  readonly documents: Documents
  readonly store: ObjectStore
  readonly suspicions: Suspicions
  readonly timers: TimerService
  readonly log: Log
  /** Returns a random number in [0, 1). */
  readonly random: () => number
  /** Time limit of the deregistration at close; the membership plugin sets 3000 ms by default. */
  readonly deregisterTimeoutMs: number
}

const initialRetryDelayMs = 250
const maxRetryDelayMs = 10_000

/** `outside`: not in the registry. `replaced`: another incarnation is registered under this process's id. */
type RegistrationState = 'outside' | 'registered' | 'replaced' | 'closed'

export class MembershipService implements Membership, Registration {
  readonly self: Member
  readonly #options: MembershipServiceOptions
  /** Members by name of the list document. */
  readonly #members = new Map<string, readonly Member[]>()
  readonly #listeners = new Set<() => void>()
  readonly #subscriptions: readonly Unsubscribe[]
  #state: RegistrationState = 'outside'
  #registering: Promise<void> | undefined

  constructor (options: MembershipServiceOptions) {
    this.self = options.self
    this.#options = options
    this.#subscriptions = [
      options.documents.subscribe(membersPrefix, document => { this.#applyMemberList(document) }),
      options.suspicions.subscribe(() => { this.#notify() })
    ]
  }

  routers (filter: { readonly failureDomain?: string, readonly isReachable?: boolean } = {}): readonly Member[] {
    const registered = this.#allMembers().filter(member => member.role === 'router' && member.id !== this.self.id)
    const routers = this.self.role === 'router' ? [this.self, ...registered] : registered
    return routers.filter(member => (filter.failureDomain === undefined || member.failureDomain === filter.failureDomain) &&
      (filter.isReachable !== true || member.id === this.self.id || !this.isSuspected(member.id)))
  }

  endpoints (service?: string): readonly Member[] {
    return this.#allMembers().filter(member => member.role === 'endpoint' && (service === undefined || member.service === service))
  }

  noteUnreachable (id: string): void {
    if (id !== this.self.id) this.#options.suspicions.noteUnreachable(id)
  }

  noteAlive (id: string): void {
    this.#options.suspicions.noteAlive(id)
  }

  isSuspected (id: string): boolean {
    return this.#options.suspicions.isSuspected(id)
  }

  subscribe (listener: () => void): Unsubscribe {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Registers this process in place of earlier incarnations. Resolves once the registry contains it; retries until then or until `deregister`. */
  register (): Promise<void> {
    return this.#startRegistration(present => withMember(present, this.self))
  }

  async announceLeaving (): Promise<void> {
    await this.#updateOwnList(present => withLeaving(present, this.self))
  }

  /** Removes this incarnation from the registry. If that fails or times out, the entry stays until the process's VM leaves the VM list. */
  async deregister (): Promise<void> {
    this.#state = 'closed'
    for (const unsubscribe of this.#subscriptions) unsubscribe()
    const timeout = new Promise<'timeout'>(resolve => { this.#options.timers.after(this.#options.deregisterTimeoutMs, () => { resolve('timeout') }) })
    const outcome = await Promise.race([this.#removeSelf(), timeout])
    if (outcome === 'timeout' || !outcome) this.#options.log.event('memberNotDeregistered', { id: this.self.id })
  }

  #allMembers (): readonly Member[] {
    return [...this.#members.values()].flat()
  }

  /** Removes this incarnation. First waits for a registration in progress to end, because its write could otherwise take effect after the removal. */
  async #removeSelf (): Promise<boolean> {
    await this.#registering
    return this.#updateOwnList(present => withoutMember(present, this.self))
  }

  #startRegistration (update: (present: StoredObject | undefined) => MemberList | undefined): Promise<void> {
    this.#registering ??= this.#registerUntilDone(update).finally(() => { this.#registering = undefined })
    return this.#registering
  }

  async #registerUntilDone (update: (present: StoredObject | undefined) => MemberList | undefined): Promise<void> {
    for (let failures = 0; this.#state === 'outside'; failures += 1) {
      if (await this.#updateOwnList(update)) {
        // `deregister` may have changed the state during the write.
        if (this.#state === 'outside') this.#state = 'registered'
        this.#options.log.event('memberRegistered', { id: this.self.id, incarnation: this.self.incarnation })
        return
      }
      if (failures === 0) this.#options.log.event('memberRegistrationDelayed', { id: this.self.id })
      const retryMs = Math.min(maxRetryDelayMs, initialRetryDelayMs * 2 ** failures) * (0.5 + this.#options.random())
      await new Promise<void>(resolve => { this.#options.timers.after(retryMs, resolve) })
    }
  }

  async #updateOwnList (update: (present: StoredObject | undefined) => MemberList | undefined): Promise<boolean> {
    const { store, documents, timers, random } = this.#options
    const name = memberListName(this.self.failureDomain)
    const known = documents.get(name)
    const result = await updateObject(store, name, update, { timers, random, ...(known === undefined ? {} : { known }) })
    if (result.isErr()) return false
    if (result.value.object !== undefined) documents.learn(result.value.object)
    return true
  }

  #applyMemberList (document: StoredObject): void {
    this.#members.set(document.name, membersOf(document))
    if (document.name === memberListName(this.self.failureDomain)) this.#checkOwnEntry(document)
    this.#notify()
  }

  /** Registers this process again if its entry is gone, but never replaces another incarnation that is registered under the same id. */
  #checkOwnEntry (document: StoredObject): void {
    if (this.#state !== 'registered') return
    const own = membersOf(document).find(member => member.id === this.self.id)
    if (own?.incarnation === this.self.incarnation) return
    if (own !== undefined) {
      this.#state = 'replaced'
      this.#options.log.event('memberReplaced', { id: this.self.id, incarnation: own.incarnation })
      return
    }
    this.#state = 'outside'
    this.#startRegistration(present => {
      const isReplaced = membersOf(present).some(member => member.id === this.self.id)
      return isReplaced ? undefined : withMember(present, this.self)
    }).catch(() => {})
  }

  #notify (): void {
    for (const listener of [...this.#listeners]) listener()
  }
}
