/** One execution of a request in the simulated model engine. */
import { createHash } from 'node:crypto'
import { blocksOf } from './prefixCache.ts'

export type EngineRequestState = 'waiting' | 'prefill' | 'decoding' | 'finished' | 'cancelled' | 'failed'

export interface EngineRequestInput {
  readonly id: string
  readonly prompt: string
  /** Tokens to generate. */
  readonly tokens: number
  /** Requests with lower numbers start earlier. */
  readonly priority: number
}

const charactersPerToken = 4

/** Number of tokens of a prompt, estimated from its length. */
export function promptTokensOf (prompt: string): number {
  return Math.ceil(prompt.length / charactersPerToken)
}

function promptHash (prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, 6)
}

/** Content of a complete response with `tokens` tokens; tests compare it with what a caller received. */
export function expectedContent (prompt: string, tokens: number): string {
  const hash = promptHash(prompt)
  return Array.from({ length: tokens }, (_, index) => `${hash}-${index} `).join('')
}

export class EngineRequest {
  readonly input: EngineRequestInput
  readonly promptTokens: number
  readonly blocks: readonly string[]
  readonly #hash: string
  readonly #listeners = new Set<() => void>()
  state: EngineRequestState = 'waiting'
  isPaused = false
  cachedTokens = 0
  /** Tokens generated so far; the fractional part is the progress towards the next token. */
  progress = 0
  /** Factor on the duration of prefill and decoding. */
  slowdown = 1

  constructor (input: EngineRequestInput) {
    this.input = input
    this.promptTokens = promptTokensOf(input.prompt)
    this.blocks = blocksOf(input.prompt)
    this.#hash = promptHash(input.prompt)
  }

  get generatedTokens (): number {
    return Math.min(this.input.tokens, Math.floor(this.progress))
  }

  get isActive (): boolean {
    return this.state === 'waiting' || this.state === 'prefill' || this.state === 'decoding'
  }

  tokenText (index: number): string {
    return `${this.#hash}-${index} `
  }

  notifyListeners (): void {
    for (const listener of [...this.#listeners]) listener()
  }

  /** Resolves when more than `count` tokens have been generated or the request has ended. */
  async waitForTokensBeyond (count: number): Promise<void> {
    while (this.isActive && this.generatedTokens <= count) {
      await new Promise<void>(resolve => {
        const listener = (): void => {
          this.#listeners.delete(listener)
          resolve()
        }
        this.#listeners.add(listener)
      })
    }
  }
}
