/**
 * What a lender has lent of its slice, by borrower. All amounts are absolute and
 * numbered by the borrower, so that a message that comes twice, late or not at
 * all never lets tokens be spent twice: at worst a part stays unused.
 */

export interface Loan {
  /** Number of the last message that was taken into account. */
  readonly sequence: number
  /** Tokens that the borrower may spend in all. */
  readonly grantedTokens: number
  /** Tokens of these that the borrower had spent or reserved. */
  readonly committedTokens: number
}

const noLoan: Loan = { sequence: 0, grantedTokens: 0, committedTokens: 0 }

export class LoanTracker {
  readonly #loans = new Map<string, Loan>()

  get borrowerCount (): number {
    return this.#loans.size
  }

  /** Tokens that are lent and, as far as is known, not used. */
  get idleTokens (): number {
    let idle = 0
    for (const { grantedTokens, committedTokens } of this.#loans.values()) idle += Math.max(0, grantedTokens - committedTokens)
    return idle
  }

  loanOf (borrower: string): Loan {
    return this.#loans.get(borrower) ?? noLoan
  }

  /**
   * Takes a borrower's statement of what it holds and has committed. Returns the
   * tokens that came free, or `undefined` for a message that was overtaken.
   */
  recordStatement (borrower: string, statement: Loan): number | undefined {
    const before = this.loanOf(borrower)
    if (statement.sequence <= before.sequence) return undefined
    // A borrower may know less than was granted, when an answer was lost, but never more.
    const grantedTokens = Math.min(before.grantedTokens, statement.grantedTokens)
    this.#loans.set(borrower, { ...statement, grantedTokens })
    return before.grantedTokens - grantedTokens
  }

  /** Adds tokens to a loan, if the borrower has not sent another message meanwhile. */
  addTokens (borrower: string, sequence: number, tokens: number): boolean {
    const before = this.loanOf(borrower)
    if (before.sequence !== sequence) return false
    this.#loans.set(borrower, { ...before, grantedTokens: before.grantedTokens + tokens })
    return true
  }
}
