/**
 * Refusal accounts of one router. An account counts all refusals of one second
 * with the same cause, so that a flood of refusals creates one entry per second
 * and cause. Each refusal still has an id of its own.
 */
import type { FailureReason, VerdictKind } from '../verdict/index.ts'

/** Cause of a refusal; `''` stands for a value that was not known at that time. */
export interface RefusalCause {
  readonly organisation: string
  readonly budget: string
  readonly service: string
  readonly reason: FailureReason
  readonly verdict: VerdictKind
}

/** A refusal account: the number of refusals of one second with the same cause. */
export interface CountedRefusals extends RefusalCause {
  readonly accountId: string
  readonly number: number
  readonly routerId: string
  readonly secondMs: number
  readonly count: number
}

export interface RefusalAccountsOptions {
  readonly routerId: string
  /** `<routerId>.<incarnation>` */
  readonly writer: string
  /** Maximum number of accounts per second that distinguish budget and service. Further refusals share accounts with both left empty. */
  readonly maxAccountsPerSecond: number
}

const secondMs = 1000

export class RefusalAccounts {
  readonly #options: RefusalAccountsOptions
  #currentSecondMs = -1
  #nextNumber = 0
  #openAccounts = new Map<string, CountedRefusals>()

  constructor (options: RefusalAccountsOptions) {
    this.#options = options
  }

  /** Counts one refusal. `refusalId` is `<accountId>.<n>`. */
  count (cause: RefusalCause, nowMs: number): { readonly refusalId: string, readonly account: CountedRefusals } {
    this.#startSecond(nowMs)
    const kept = this.#causeToCount(cause)
    const key = keyOf(kept)
    const account = this.#increment(key, kept)
    return { refusalId: `${account.accountId}.${account.count}`, account }
  }

  /** Number of the next new account; all existing accounts have lower numbers. */
  get nextNumber (): number {
    return this.#nextNumber
  }

  #startSecond (nowMs: number): void {
    const second = Math.floor(nowMs / secondMs) * secondMs
    if (second === this.#currentSecondMs) return
    this.#currentSecondMs = second
    this.#openAccounts = new Map()
  }

  #causeToCount (cause: RefusalCause): RefusalCause {
    const isFull = this.#openAccounts.size >= this.#options.maxAccountsPerSecond
    if (!isFull || this.#openAccounts.has(keyOf(cause))) return cause
    return { ...cause, budget: '', service: '' }
  }

  #increment (key: string, cause: RefusalCause): CountedRefusals {
    const open = this.#openAccounts.get(key)
    const account = open === undefined ? this.#openAccount(cause) : { ...open, count: open.count + 1 }
    this.#openAccounts.set(key, account)
    return account
  }

  #openAccount (cause: RefusalCause): CountedRefusals {
    const number = this.#nextNumber++
    return {
      ...cause,
      accountId: `${this.#options.writer}.${number}`,
      number,
      routerId: this.#options.routerId,
      secondMs: this.#currentSecondMs,
      count: 1
    }
  }
}

function keyOf (cause: RefusalCause): string {
  return JSON.stringify([cause.organisation, cause.budget, cause.service, cause.reason, cause.verdict])
}
