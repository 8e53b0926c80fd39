/**
 * Tokens of one budget that a router without the store gets through another router that
 * reaches it. The other router reserves them as for a request of its own, from its slice,
 * its lender or the store, and lends them.
 */
import type { LoanVerdict } from '../shared/loans.ts'
import type { Borrowing } from './borrowing.ts'
import type { Waiter } from './budgetRequest.ts'
import type { StorePeers } from './storePeers.ts'

/** Routers that are tried for one request. */
const maxPeers = 2

export interface PeerLoansOptions {
  readonly borrowing: Pick<Borrowing, 'requestPeerLoan'>
  readonly peers: Pick<StorePeers, 'find' | 'recordFailure'>
  nowMs (): number
  /** Answers a request for which the tokens are lent. Returns false if they are not part of the loan. */
  serve (waiter: Waiter): boolean
  refuse (waiter: Waiter): void
}

export class PeerLoans {
  readonly #options: PeerLoansOptions
  #waiters: Waiter[] = []
  #isBusy = false

  constructor (options: PeerLoansOptions) {
    this.#options = options
  }

  /** Asks another router for the tokens of a request, and answers the request. */
  request (waiter: Waiter): void {
    this.#waiters.push(waiter)
    if (this.#isBusy) return
    this.#isBusy = true
    void this.#run().finally(() => { this.#isBusy = false })
  }

  async #run (): Promise<void> {
    while (this.#waiters.length > 0) {
      let rest: readonly Waiter[] = this.#waiters.splice(0)
      for (let tries = 0; tries < maxPeers && rest.length > 0; tries++) rest = await this.#requestOnce(rest)
      for (const waiter of rest) this.#options.refuse(waiter)
    }
  }

  /** Returns the requests that another router may still serve in time. */
  async #requestOnce (waiters: readonly Waiter[]): Promise<readonly Waiter[]> {
    const { borrowing, peers } = this.#options
    const peer = await peers.find()
    const due = this.#refuseExpired(waiters)
    if (peer === undefined || due.length === 0) return due
    const reply = await borrowing.requestPeerLoan(peer, due)
    if (reply.kind !== 'lent' || reply.isStoreAway === true) peers.recordFailure(peer)
    if (reply.kind !== 'lent') return this.#refuseExpired(due)
    return due.filter((waiter, index) => !this.#apply(waiter, reply.verdicts[index], reply.isStoreAway === true))
  }

  /** Returns whether the request was answered. */
  #apply (waiter: Waiter, verdict: LoanVerdict | undefined, isStoreAway: boolean): boolean {
    if (verdict?.kind === 'reserved') return this.#options.serve(waiter)
    if (verdict === undefined || isStoreAway) return false
    waiter.resolve(verdict)
    return true
  }

  #refuseExpired (waiters: readonly Waiter[]): readonly Waiter[] {
    const nowMs = this.#options.nowMs()
    for (const waiter of waiters) if (waiter.deadlineMs <= nowMs) this.#options.refuse(waiter)
    return waiters.filter(({ deadlineMs }) => deadlineMs > nowMs)
  }
}
