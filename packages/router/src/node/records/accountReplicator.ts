/** Copies refusal accounts to a peer router before the refusals are answered. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import type { Membership } from '@buckthorndrift/coordination'
import type { Member, RefusalAccount, RouterClient } from '@buckthorndrift/protocol'

/** Accounts that change within this time are sent to the peer in one message. */
const groupCommitMs = 3

/** Maximum number of peers that are tried; after that the refusal is answered without a copy. */
const maxPeerAttempts = 2

export interface AccountReplicatorOptions {
  readonly timers: TimerService
  readonly log: Log
  readonly membership: Membership
  /** `<routerId>.<incarnation>` */
  readonly writer: string
  /** Client of a peer's control listener, with a short timeout, because callers wait for the copy. */
  clientOf (peer: Member): RouterClient
  /** All accounts with a lower number are stored in the platform. */
  storedBelow (): number
}

export class AccountReplicator {
  readonly #options: AccountReplicatorOptions
  #pendingAccounts = new Map<string, RefusalAccount>()
  #waiters: Array<() => void> = []
  #isSending = false
  #isScheduled = false
  /** True when copies were sent to a peer since `announceStored` last told it which accounts are stored. */
  #hasCopies = false

  constructor (options: AccountReplicatorOptions) {
    this.#options = options
  }

  /** Resolves once a peer has a copy of the account, or the peers that were tried did not answer. */
  replicate (account: RefusalAccount): Promise<void> {
    this.#pendingAccounts.set(account.accountId, account)
    return new Promise(resolve => {
      this.#waiters.push(resolve)
      this.#schedule()
    })
  }

  /** Tells a peer which accounts are stored in the platform, so that it drops its copies. */
  async announceStored (): Promise<void> {
    if (!this.#hasCopies) return
    this.#hasCopies = false
    await this.#send([])
  }

  #schedule (): void {
    if (this.#isSending || this.#isScheduled) return
    this.#isScheduled = true
    this.#options.timers.after(groupCommitMs, () => { void this.#sendPending() })
  }

  async #sendPending (): Promise<void> {
    const accounts = [...this.#pendingAccounts.values()]
    const waiters = this.#waiters
    this.#pendingAccounts = new Map()
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
    for (const peer of this.#peersByPreference().slice(0, maxPeerAttempts)) {
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

  /**
   * Reachable routers in order of preference. Those in other failure domains come
   * first, because a domain can fail as a whole. In both groups, ids above the own
   * one come before lower ids, so that routers do not all choose the same peer.
   */
  #peersByPreference (): readonly Member[] {
    const { membership } = this.#options
    const { self } = membership
    const others = membership.routers({ isReachable: true })
      .filter(router => router.id !== self.id)
      .toSorted((a, b) => a.id < b.id ? -1 : 1)
    const next = others.findIndex(router => router.id > self.id)
    const peers = next < 0 ? others : [...others.slice(next), ...others.slice(0, next)]
    const isInOtherDomain = (router: Member) => router.failureDomain !== self.failureDomain
    return [...peers.filter(isInOtherDomain), ...peers.filter(router => !isInOtherDomain(router))]
  }
}
