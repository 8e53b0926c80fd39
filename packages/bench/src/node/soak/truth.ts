/** What endpoints truly ran, and by how much the ledger may count more. */

interface Run {
  readonly budget: string
  readonly reservedTokens: number
  tokens: number
}

export class Truth {
  readonly #runs = new Map<string, Run>()
  readonly grantedTokens = new Map<string, number>()
  /** Tokens that the ledger may count above what ran: lost endpoints, orphaned reservations. */
  readonly slackTokens = new Map<string, number>()

  start (requestId: string, budget: string, tokens: number): void {
    if (this.#runs.has(requestId)) throw new Error(`request ${requestId} ran twice`)
    // A running request may cost its whole reservation.
    this.#runs.set(requestId, { budget, reservedTokens: tokens, tokens })
  }

  finish (requestId: string, tokens: number): void {
    const run = this.#runs.get(requestId)
    if (run !== undefined) run.tokens = tokens
  }

  addSlack (budget: string, tokens: number): void {
    this.slackTokens.set(budget, (this.slackTokens.get(budget) ?? 0) + tokens)
  }

  spentOf (budget: string): number {
    let sum = 0
    for (const run of this.#runs.values()) if (run.budget === budget) sum += run.tokens
    return sum
  }
}
