/** Queue of requests that wait for tokens of one budget, in order of arrival. */
import { withheldTokens } from '@buckthorndrift/policy'
import type { BudgetRequest, Reservation, Waiter } from './budgetRequest.ts'

export class WaitingRequests {
  #waiters: Waiter[] = []

  get length (): number {
    return this.#waiters.length
  }

  /** Tokens of all requests together. */
  get tokens (): number {
    return this.#waiters.reduce((sum, { tokens }) => sum + tokens, 0)
  }

  add (waiter: Waiter): void {
    this.#waiters.push(waiter)
  }

  /** Puts requests back at the head of the queue. */
  putBack (waiters: readonly Waiter[]): void {
    this.#waiters = [...waiters, ...this.#waiters]
  }

  takeAll (): readonly Waiter[] {
    return this.#waiters.splice(0)
  }

  /** Removes and returns the requests whose deadline has passed. */
  takeExpired (nowMs: number): readonly Waiter[] {
    const expired = this.#waiters.filter(({ deadlineMs }) => deadlineMs <= nowMs)
    this.#waiters = this.#waiters.filter(({ deadlineMs }) => deadlineMs > nowMs)
    return expired
  }

  /** Whether one of the requests needs at most `tokens`. */
  hasFitting (tokens: number): boolean {
    return this.#waiters.some(waiter => waiter.tokens <= tokens)
  }

  /** Tries to reserve tokens for each request. Requests whose reservation succeeds are resolved; the others stay in the queue. */
  serveFitting (tryReserve: (request: BudgetRequest) => Reservation | undefined): void {
    for (const waiter of this.takeAll()) {
      const reservation = tryReserve(waiter)
      if (reservation === undefined) this.#waiters.push(waiter)
      else waiter.resolve(reservation)
    }
  }

  /** Total tokens of the requests that together fit into the tokens of the budget that are free for their rank, and into `sliceTokens`. */
  fittingTokens (freeTokens: number, prepaidTokens: number, sliceTokens = Infinity): number {
    let sum = 0
    for (const { tokens, rank } of this.#waiters) {
      const limitTokens = Math.min(sliceTokens, freeTokens - withheldTokens(prepaidTokens, rank))
      if (sum + tokens <= limitTokens) sum += tokens
    }
    return sum
  }
}
