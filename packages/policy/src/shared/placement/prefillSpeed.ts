/**
 * Speed at which the engines of a service read prompts, learned from the first tokens of
 * long prompts that met an engine with nothing else to read. It follows the median of the
 * samples, so that prompts that waited after all, or were cached more than expected, move it
 * no further than any other sample. Answers services whose engines are faster or slower than
 * assumed, where backlogs would be taken for too long or too short.
 */

/** Speed that is assumed before the first sample. */
export const initialTokensPerMs = 55
const minTokensPerMs = 10
const maxTokensPerMs = 500
/** Prompts below this size say little, because their time is mostly that of the first step. */
const minSampleTokens = 4000
/** Backlog up to which an engine counts as having nothing else to read. */
const maxBacklogTokens = 500
/** Time to the first token of a prompt without anything to read. */
const emptyPromptMs = 20
/** Shortest time that a prefill is taken for. */
const minPrefillMs = 5
/** Change of the speed by one sample. */
const stepShare = 0.08

export interface PrefillSample {
  /** Tokens that the engine probably read. */
  readonly readTokens: number
  /** Tokens that it had to read before them, of all routers; `undefined` if they are not known. */
  readonly backlogTokens: number | undefined
  readonly firstTokenMs: number
}

export class PrefillSpeed {
  #tokensPerMs = initialTokensPerMs

  get tokensPerMs (): number {
    return this.#tokensPerMs
  }

  record ({ readTokens, backlogTokens, firstTokenMs }: PrefillSample): void {
    if (readTokens < minSampleTokens || backlogTokens === undefined || backlogTokens > maxBacklogTokens) return
    const sample = readTokens / Math.max(minPrefillMs, firstTokenMs - emptyPromptMs)
    const changed = this.#tokensPerMs * (sample > this.#tokensPerMs ? 1 + stepShare : 1 / (1 + stepShare))
    this.#tokensPerMs = Math.min(maxTokensPerMs, Math.max(minTokensPerMs, changed))
  }
}
