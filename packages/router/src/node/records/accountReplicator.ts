/** Copies refusal accounts to a peer router before their refusals are answered. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import type { Membership } from '@buckthorndrift/coordination'
import type { Member, RefusalAccount, RouterClient } from '@buckthorndrift/protocol'

/** Refusals of this time share one message to the peer. */
const groupCommitMs = 3

/** Peers that are tried before a refusal is answered without a copy. */
const maxPeerAttempts = 2

export interface AccountReplicatorOptions {
  readonly timers: TimerService
  readonly log: Log
  readonly membership: Membership
  /** `<routerId>.<incarnation>` */
  readonly writer: string
  /** Client of a peer's control listener, with a short timeout, because callers wait for it. */
  clientOf (peer: Member): RouterClient
  /** Number below which all accounts are stored. */
  storedBelow (): number
}

export class AccountReplicator {
  readonly #options: AccountReplicatorOptions
  #dirty = new Map<string, RefusalAccount>()
  #waiters: Array<() => void> = []
  #isSending = false
  #isScheduled = false
  #hasCopies = false

  constructor (options: AccountReplicatorOptions) {
    this.#options = options
  }

  /** Resolves once a peer has the account, or no peer can be reached. */
  replicate (account: RefusalAccount): Promise<void> {
    this.#dirty.set(account.accountId, account)
    return new Promise(resolve => {
      this.#waiters.push(resolve)
      this.#schedule()
    })
  }

  /** Tells peers which accounts are stored, so that they drop their copies. */
  async announceStored (): Promise<void> {
    if (!this.#hasCopies) return
    this.#hasCopies = false
    await this.#send([])
  }

  #schedule (): void {
    if (this.#isSending || this.#isScheduled) return
    this.#isScheduled = true
    this.#options.timers.after(groupCommitMs, () => { void this.#sendDirty() })
  }

  async #sendDirty (): Promise<void> {
    const accounts = [...this.#dirty.values()]
    const waiters = this.#waiters
    this.#dirty = new Map()
    this.#waiters = []
    this.#isScheduled = false
    this.#isSending = true
    const isCopied = await this.#send(accounts)
    this.#isSending = false
    this.#hasCopies ||= isCopied
    for (const resolve of waiters) resolve()
    if (this.#waiters.length > 0) this.#schedule()
  }

  async #send (accounts: readonly RefusalAccount[]): Promise<boolean> {
    const { log, membership, writer, storedBelow, clientOf } = this.#options
    for (const peer of this.#peers().slice(0, maxPeerAttempts)) {
      try {
        await clientOf(peer).records.replicateAccounts.mutate({ writer, storedBelow: storedBelow(), accounts })
        return true
      } catch {
        membership.noteUnreachable(peer.id)
      }
    }
    if (accounts.length > 0) log.event('accountsNotCopied', { count: accounts.length })
    return false
  }

  /** Reachable routers; those in another failure domain come first, since a domain can fail as a whole. */
  #peers (): readonly Member[] {
    const { membership } = this.#options
    const { self } = membership
    const others = membership.routers({ isReachable: true })
      .filter(router => router.id !== self.id)
      .toSorted((a, b) => a.id < b.id ? -1 : 1)
    const next = others.findIndex(router => router.id > self.id)
    const ring = next < 0 ? others : [...others.slice(next), ...others.slice(0, next)]
    const isElsewhere = (router: Member) => router.failureDomain !== self.failureDomain
    return [...ring.filter(isElsewhere), ...ring.filter(router => !isElsewhere(router))]
  }
}
