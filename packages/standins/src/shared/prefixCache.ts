/** Prefix cache of the simulated model engine: an LRU cache of prompt blocks whose events are published late and with gaps. */
import { createHash } from 'node:crypto'
import { LRUCache } from 'lru-cache'

/** Characters of a prompt in one block. */
export const blockCharacters = 64

export interface CacheEvent {
  /** Increases by one per event; a missing number is an event that was not published. */
  readonly seq: number
  readonly kind: 'stored' | 'evicted'
  readonly block: string
}

interface DelayedCacheEvent extends CacheEvent {
  readonly visibleAtMs: number
}

export interface PrefixCacheOptions {
  /** Capacity in blocks. */
  readonly blocks: number
  /** Delay until an event becomes visible. */
  readonly eventLagMs: number
  /** Share of events that are never published. */
  readonly eventGapShare: number
  readonly random: () => number
}

/** Minimum number of recent events that stay readable. */
const minKeptEvents = 10_000

/** Ids of the full blocks of a prompt. The id of a block is a hash of the prompt up to the end of that block. */
export function blocksOf (prompt: string): readonly string[] {
  const blocks: string[] = []
  for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
    blocks.push(createHash('sha256').update(blocks.at(-1) ?? '').update(prompt.slice(end - blockCharacters, end)).digest('hex').slice(0, 16))
  }
  return blocks
}

export class PrefixCache {
  readonly #options: PrefixCacheOptions
  readonly #blocks: LRUCache<string, true>
  #events: DelayedCacheEvent[] = []
  #seq = 0
  #lastStoreMs = 0

  constructor (options: PrefixCacheOptions) {
    this.#options = options
    this.#blocks = new LRUCache({
      max: options.blocks,
      dispose: (_, block, reason) => { if (reason === 'evict') this.#recordEvent('evicted', block) }
    })
  }

  /** Number of leading characters of the prompt that are cached. Marks their blocks as recently used. */
  cachedCharacters (blocks: readonly string[]): number {
    const missing = blocks.findIndex(block => this.#blocks.get(block) === undefined)
    return (missing === -1 ? blocks.length : missing) * blockCharacters
  }

  store (blocks: readonly string[], nowMs: number): void {
    this.#lastStoreMs = nowMs
    for (const block of blocks) {
      if (this.#blocks.has(block)) continue
      this.#blocks.set(block, true)
      this.#recordEvent('stored', block)
    }
  }

  has (block: string): boolean {
    return this.#blocks.has(block)
  }

  /** Removes all blocks without events, as a crash of the engine does. */
  clear (): void {
    this.#blocks.clear()
  }

  /** Visible events with a sequence number above `since`, in order. */
  eventsSince (since: number, nowMs: number): readonly CacheEvent[] {
    return this.#events.filter(event => event.seq > since && event.visibleAtMs <= nowMs)
      .map(({ seq, kind, block }) => ({ seq, kind, block }))
  }

  #recordEvent (kind: 'stored' | 'evicted', block: string): void {
    this.#seq += 1
    if (this.#options.random() < this.#options.eventGapShare) return
    this.#events.push({ seq: this.#seq, kind, block, visibleAtMs: this.#lastStoreMs + this.#options.eventLagMs })
    if (this.#events.length > minKeptEvents * 2) this.#events = this.#events.slice(-minKeptEvents)
  }
}
