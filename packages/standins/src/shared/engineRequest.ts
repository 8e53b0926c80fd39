/** One execution of a request in the model engine. */
import { createHash } from 'node:crypto'
import { blocksOf } from './prefixCache.ts'

export type EngineRequestState = 'waiting' | 'prefill' | 'decoding' | 'finished' | 'cancelled' | 'failed'

export interface EngineInput {
  readonly id: string
  readonly prompt: string
  /** Tokens to generate. */
  readonly tokens: number
  /** Lower numbers start earlier. */
  readonly priority: number
}

/** Characters that count as one token of a prompt. */
const charactersPerToken = 4

/** Tokens of a prompt. */
export function promptTokensOf (prompt: string): number {
  return Math.ceil(prompt.length / charactersPerToken)
}

function promptHash (prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, 6)
}

/** Content of a complete response; tests compare what a caller received with it. */
export function expectedContent (prompt: string, tokens: number): string {
  const hash = promptHash(prompt)
  return Array.from({ length: tokens }, (_, index) => `${hash}-${index} `).join('')
}

export class EngineRequest {
  readonly input: EngineInput
  readonly promptTokens: number
  readonly blocks: readonly string[]
  readonly #hash: string
  readonly #listeners = new Set<() => void>()
  state: EngineRequestState = 'waiting'
  isPaused = false
  cachedTokens = 0
  /** Tokens generated so far; fractions are progress towards the next one. */
  progress = 0
  slowdown = 1

  constructor (input: EngineInput) {
    this.input = input
    this.promptTokens = promptTokensOf(input.prompt)
    this.blocks = blocksOf(input.prompt)
    this.#hash = promptHash(input.prompt)
  }

  get generated (): number {
    return Math.min(this.input.tokens, Math.floor(this.progress))
  }

  get isActive (): boolean {
    return this.state === 'waiting' || this.state === 'prefill' || this.state === 'decoding'
  }

  token (index: number): string {
    return `${this.#hash}-${index} `
  }

  notify (): void {
    for (const listener of [...this.#listeners]) listener()
  }

  /** Resolves when there are tokens beyond `from` or the request is over. */
  async waitBeyond (from: number): Promise<void> {
    while (this.isActive && this.generated <= from) {
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
