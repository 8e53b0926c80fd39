/** Prompt-prefix cache of the model engine: blocks in limited memory, with events that arrive late and with gaps. */
import { createHash } from 'node:crypto'
import { LRUCache } from 'lru-cache'

/** Characters of a prompt in one block. */
export const blockCharacters = 64

export interface CacheEvent {
  /** Increases by one per event; a missing number is a gap. */
  readonly seq: number
  readonly kind: 'stored' | 'evicted'
  readonly block: string
}

interface LoggedEvent extends CacheEvent {
  readonly visibleAtMs: number
}

export interface PrefixCacheOptions {
  readonly blocks: number
  readonly eventLagMs: number
  /** Share of events that is never published. */
  readonly eventGapShare: number
  readonly random: () => number
}

const eventLimit = 10_000

/** Names of the whole blocks of a prompt; each covers the prompt up to its end. */
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
  #events: LoggedEvent[] = []
  #seq = 0
  #nowMs = 0

  constructor (options: PrefixCacheOptions) {
    this.#options = options
    this.#blocks = new LRUCache({
      max: options.blocks,
      dispose: (_, block, reason) => { if (reason === 'evict') this.#log('evicted', block) }
    })
  }

  /** Number of leading characters of the prompt that are cached; marks them as used. */
  cachedCharacters (blocks: readonly string[]): number {
    const missing = blocks.findIndex(block => this.#blocks.get(block) === undefined)
    return (missing === -1 ? blocks.length : missing) * blockCharacters
  }

  store (blocks: readonly string[], nowMs: number): void {
    this.#nowMs = nowMs
    for (const block of blocks) {
      if (this.#blocks.has(block)) continue
      this.#blocks.set(block, true)
      this.#log('stored', block)
    }
  }

  has (block: string): boolean {
    return this.#blocks.has(block)
  }

  /** Forgets all blocks without events, as an engine that falls over does. */
  clear (): void {
    this.#blocks.clear()
  }

  /** Published events above `since`, in order. */
  eventsSince (since: number, nowMs: number): readonly CacheEvent[] {
    return this.#events.filter(event => event.seq > since && event.visibleAtMs <= nowMs)
      .map(({ seq, kind, block }) => ({ seq, kind, block }))
  }

  #log (kind: 'stored' | 'evicted', block: string): void {
    this.#seq += 1
    if (this.#options.random() < this.#options.eventGapShare) return
    this.#events.push({ seq: this.#seq, kind, block, visibleAtMs: this.#nowMs + this.#options.eventLagMs })
    if (this.#events.length > eventLimit * 2) this.#events = this.#events.slice(-eventLimit)
  }
}
