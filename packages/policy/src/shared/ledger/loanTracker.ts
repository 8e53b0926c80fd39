/**
 * The loans that a lender has given from its slice, by borrower. All amounts are
 * absolute and the borrower numbers its messages. A duplicated, late or lost
 * message therefore never lets tokens be spent twice; at worst some stay unused.
 */

export interface Loan {
  /** Sequence number of the last message of the borrower that was applied. */
  readonly sequence: number
  /** Tokens that the borrower may spend in total. */
  readonly grantedTokens: number
  /** The part of `grantedTokens` that the borrower had spent or reserved when it sent that message. */
  readonly committedTokens: number
}

const emptyLoan: Loan = { sequence: 0, grantedTokens: 0, committedTokens: 0 }

export class LoanTracker {
  readonly #loans = new Map<string, Loan>()

  /** Number of borrowers. */
  get borrowerCount (): number {
    return this.#loans.size
  }

  /** Holder ids of the borrowers. */
  get borrowers (): readonly string[] {
    return [...this.#loans.keys()]
  }

  /** Lent tokens that the borrowers have not reported as spent or reserved. */
  get idleTokens (): number {
    let idle = 0
    for (const { grantedTokens, committedTokens } of this.#loans.values()) idle += Math.max(0, grantedTokens - committedTokens)
    return idle
  }

  /** The loan of a borrower; empty if there is none. */
  loanOf (borrower: string): Loan {
    return this.#loans.get(borrower) ?? emptyLoan
  }

  /**
   * Applies a borrower's statement of its granted and committed tokens. Returns
   * the tokens that it gave back, or `undefined` when the message is not newer
   * than the last one that was applied.
   */
  recordStatement (borrower: string, statement: Loan): number | undefined {
    const before = this.loanOf(borrower)
    if (statement.sequence <= before.sequence) return undefined
    // A borrower may state less than it was granted if an answer was lost, but can never hold more.
    const grantedTokens = Math.min(before.grantedTokens, statement.grantedTokens)
    this.#loans.set(borrower, { ...statement, grantedTokens })
    return before.grantedTokens - grantedTokens
  }

  /** Adds tokens to a loan. Returns false if the borrower has sent another message since `sequence`. */
  addTokens (borrower: string, sequence: number, tokens: number): boolean {
    const before = this.loanOf(borrower)
    if (before.sequence !== sequence) return false
    this.#loans.set(borrower, { ...before, grantedTokens: before.grantedTokens + tokens })
    return true
  }
}
