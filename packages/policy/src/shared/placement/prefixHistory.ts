/** Prompt parts that an endpoint has probably cached, judging by the requests that this router sent there. */

/** A part of a prompt; requests with the same part have the same id. */
export interface PrefixPart {
  readonly id: string
  readonly tokens: number
}

/** Parts that were not used for this time are assumed to be evicted. */
const retentionMs = 20_000
/** Maximum number of parts kept per endpoint; the least recently used are dropped first. */
const maxParts = 2000

export class PrefixHistory {
  /** Time of the last use by part id, least recently used first. */
  readonly #usedMs = new Map<string, number>()

  /** Records that the endpoint has prefilled a request with these parts. */
  recordUse (parts: readonly PrefixPart[], nowMs: number): void {
    for (const part of parts) {
      this.#usedMs.delete(part.id)
      this.#usedMs.set(part.id, nowMs)
    }
    for (const id of this.#usedMs.keys()) {
      if (this.#usedMs.size <= maxParts) break
      this.#usedMs.delete(id)
    }
  }

  /** Tokens of the leading parts that are probably cached. A part counts only if all parts before it are cached. */
  cachedTokens (parts: readonly PrefixPart[], nowMs: number): number {
    let tokens = 0
    for (const part of parts) {
      const usedMs = this.#usedMs.get(part.id)
      if (usedMs === undefined || nowMs - usedMs > retentionMs) break
      tokens += part.tokens
    }
    return tokens
  }

  /** Drops all parts, for example after a restart of the endpoint. */
  clear (): void {
    this.#usedMs.clear()
  }
}
