/** Copies of the refusal accounts of other routers, which this router keeps until their writers have stored them. */

/** The fields of a refusal account that the copies depend on. `number` is its sequence number at its writer. */
export interface CopiedAccount {
  readonly accountId: string
  readonly number: number
  readonly count: number
}

interface Copy<Account> {
  readonly account: Account
  readonly receivedAtMs: number
}

export class AccountCopies<Account extends CopiedAccount> {
  readonly #byWriter = new Map<string, Map<string, Copy<Account>>>()

  /** Adds copies of a writer's accounts, and drops those with a number below `storedBelow`, which the writer has stored. */
  receive (writer: string, storedBelow: number, accounts: readonly Account[], nowMs: number): void {
    const copies = this.#byWriter.get(writer) ?? new Map<string, Copy<Account>>()
    for (const account of accounts) {
      const known = copies.get(account.accountId)
      if (known !== undefined && known.account.count >= account.count) continue
      copies.set(account.accountId, { account, receivedAtMs: known?.receivedAtMs ?? nowMs })
    }
    for (const [accountId, copy] of copies) {
      if (copy.account.number < storedBelow) copies.delete(accountId)
    }
    if (copies.size === 0) this.#byWriter.delete(writer)
    else this.#byWriter.set(writer, copies)
  }

  /** Removes and returns copies that their writer has not stored within `limitMs`. The writer may be lost, so this router stores them instead. */
  takeOverdue (nowMs: number, limitMs: number): readonly Account[] {
    const overdue: Account[] = []
    for (const [writer, copies] of this.#byWriter) {
      for (const [accountId, copy] of copies) {
        if (nowMs - copy.receivedAtMs < limitMs) continue
        overdue.push(copy.account)
        copies.delete(accountId)
      }
      if (copies.size === 0) this.#byWriter.delete(writer)
    }
    return overdue
  }

  get size (): number {
    return [...this.#byWriter.values()].reduce((sum, copies) => sum + copies.size, 0)
  }
}
