/**
 * Estimate of the prompt tokens of a router's requests that an engine still has to read.
 * It falls while the engine reads, and is at most what the requests without a first token
 * brought, of which a part counts until that token comes.
 */

/** Part of the tokens that counts until the first token shows that they were read. */
const unconfirmedShare = 0.5

export class PrefillBacklog {
  /** Tokens of the requests without a first token. */
  #outstandingTokens = 0
  #remainingTokens = 0
  #updatedMs = -Infinity

  /** Adds the tokens of a request that is sent now. */
  add (tokens: number, tokensPerMs: number, nowMs: number): void {
    this.#remainingTokens = this.tokens(tokensPerMs, nowMs) + tokens
    this.#outstandingTokens += tokens
    this.#updatedMs = nowMs
  }

  /** Removes the tokens of a request that got its first token, or ended without one. */
  remove (tokens: number, tokensPerMs: number, nowMs: number): void {
    this.#outstandingTokens = Math.max(0, this.#outstandingTokens - tokens)
    this.#remainingTokens = this.tokens(tokensPerMs, nowMs)
    this.#updatedMs = nowMs
  }

  /** Tokens left now, if the engine reads `tokensPerMs` of this router's prompts. */
  tokens (tokensPerMs: number, nowMs: number): number {
    if (this.#outstandingTokens === 0) return 0
    const readTokens = (nowMs - this.#updatedMs) * tokensPerMs
    const remainingTokens = this.#remainingTokens - readTokens
    return Math.min(this.#outstandingTokens, Math.max(remainingTokens, this.#outstandingTokens * unconfirmedShare))
  }
}
