/**
 * Refusal accounts of one router: all refusals of one second with the same
 * cause share one account, so that a flood of refusals costs one entry a
 * second and cause, while each refusal keeps an identity of its own.
 */
import type { FailureReason, VerdictKind } from '../verdict/index.ts'

/** Cause of a refusal; `''` stands for what was not known when it was refused. */
export interface RefusalCause {
  readonly organisation: string
  readonly budget: string
  readonly service: string
  readonly reason: FailureReason
  readonly verdict: VerdictKind
}

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
  /** Accounts opened per second with budget and service; further ones are kept per organisation and reason only. */
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
    const kept = this.#keptCause(cause)
    const key = keyOf(kept)
    const account = this.#increase(key, kept)
    return { refusalId: `${account.accountId}.${account.count}`, account }
  }

  /** Number that the next new account gets; lower ones may exist. */
  get nextNumber (): number {
    return this.#nextNumber
  }

  #startSecond (nowMs: number): void {
    const second = Math.floor(nowMs / secondMs) * secondMs
    if (second === this.#currentSecondMs) return
    this.#currentSecondMs = second
    this.#openAccounts = new Map()
  }

  #keptCause (cause: RefusalCause): RefusalCause {
    const isFull = this.#openAccounts.size >= this.#options.maxAccountsPerSecond
    if (!isFull || this.#openAccounts.has(keyOf(cause))) return cause
    return { ...cause, budget: '', service: '' }
  }

  #increase (key: string, cause: RefusalCause): CountedRefusals {
    const open = this.#openAccounts.get(key)
    const account = open === undefined ? this.#open(cause) : { ...open, count: open.count + 1 }
    this.#openAccounts.set(key, account)
    return account
  }

  #open (cause: RefusalCause): CountedRefusals {
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
