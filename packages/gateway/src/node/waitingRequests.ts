/** Requests that wait for tokens of one budget, in order of arrival. */
import { withheldTokens } from '@buckthorndrift/policy'
import type { BudgetRequest, Reservation, Waiter } from './budgetRequest.ts'

export class WaitingRequests {
  #waiters: Waiter[] = []

  get length (): number {
    return this.#waiters.length
  }

  add (waiter: Waiter): void {
    this.#waiters.push(waiter)
  }

  /** Puts requests back that came before those that wait now. */
  putBack (waiters: readonly Waiter[]): void {
    this.#waiters = [...waiters, ...this.#waiters]
  }

  takeAll (): readonly Waiter[] {
    return this.#waiters.splice(0)
  }

  /** Takes those whose time is over. */
  takeLate (nowMs: number): readonly Waiter[] {
    const late = this.#waiters.filter(({ deadlineMs }) => deadlineMs <= nowMs)
    this.#waiters = this.#waiters.filter(({ deadlineMs }) => deadlineMs > nowMs)
    return late
  }

  /** Answers all that can be served. */
  serve (tryReserve: (request: BudgetRequest) => Reservation | undefined): void {
    for (const waiter of this.takeAll()) {
      const reservation = tryReserve(waiter)
      if (reservation === undefined) this.#waiters.push(waiter)
      else waiter.resolve(reservation)
    }
  }

  /** Tokens of those that fit into what is free for their rank. */
  fittingTokens (freeTokens: number, prepaidTokens: number): number {
    let sum = 0
    for (const { tokens, rank } of this.#waiters) {
      if (sum + tokens <= freeTokens - withheldTokens(prepaidTokens, rank)) sum += tokens
    }
    return sum
  }
}
