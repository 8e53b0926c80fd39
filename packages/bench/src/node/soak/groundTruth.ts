/** Record of the requests that the endpoints of the budget model executed, kept independently of the ledger, so that the ledger can be compared with it. */

interface Run {
  readonly budget: string
  readonly reservedTokens: number
  tokens: number
}

export class GroundTruth {
  readonly #runs = new Map<string, Run>()
  readonly grantedTokens = new Map<string, number>()
  /** By budget, the tokens that the ledger may count as spent beyond the executed ones, because of lost endpoints and orphaned reservations. */
  readonly allowedExcessTokens = new Map<string, number>()

  start (requestId: string, budget: string, tokens: number): void {
    if (this.#runs.has(requestId)) throw new Error(`request ${requestId} ran twice`)
    // A running request counts with its whole reservation, because it may spend all of it.
    this.#runs.set(requestId, { budget, reservedTokens: tokens, tokens })
  }

  finish (requestId: string, tokens: number): void {
    const run = this.#runs.get(requestId)
    if (run !== undefined) run.tokens = tokens
  }

  addAllowedExcess (budget: string, tokens: number): void {
    this.allowedExcessTokens.set(budget, (this.allowedExcessTokens.get(budget) ?? 0) + tokens)
  }

  executedTokens (budget: string): number {
    let sum = 0
    for (const run of this.#runs.values()) if (run.budget === budget) sum += run.tokens
    return sum
  }
}
