/** Prompt parts that an endpoint has probably cached, by the requests that this router sent there. */

export interface PrefixPart {
  readonly id: string
  readonly tokens: number
}

/** Parts not used for this long are taken as evicted. */
const retentionMs = 20_000
/** Parts remembered per endpoint; the oldest are dropped first. */
const maxParts = 2000

export class PrefixHistory {
  /** Last use in ms by part, the least recently used first. */
  readonly #usedMs = new Map<string, number>()

  /** Notes that a request with these parts was read by the endpoint. */
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

  /** Tokens of the leading parts that need not be read again; a part counts only if all before it are cached. */
  cachedTokens (parts: readonly PrefixPart[], nowMs: number): number {
    let tokens = 0
    for (const part of parts) {
      const usedMs = this.#usedMs.get(part.id)
      if (usedMs === undefined || nowMs - usedMs > retentionMs) break
      tokens += part.tokens
    }
    return tokens
  }

  /** Forgets everything, for example after a restart of the endpoint. */
  clear (): void {
    this.#usedMs.clear()
  }
}
