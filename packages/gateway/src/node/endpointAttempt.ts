/** Accounting of one attempt: the load that it adds to the endpoint, and the latency samples that it yields. */
import type { Generation } from '../shared/call.ts'
import type { TrackedEndpoint } from './trackedEndpoints.ts'

export interface EndpointAttemptOptions {
  readonly generation: Generation | undefined
  /** Prompt tokens that the endpoint is not expected to have in its prefix cache. */
  readonly uncachedTokens: number
  /** Expected time to the first token in ms. */
  readonly estimateMs: number
  readonly nowMs: number
  /** Called at the end if the outcome says something about the endpoint. The latency is that of the first byte of a generation, and of the whole response of another call. */
  readonly onOutcome: (isSuccess: boolean, latencyMs: number) => void
}

/** Prompts with more uncached tokens yield no latency sample. They take long to process, so their latency says little about the queue of the endpoint. */
const maxSampledPromptTokens = 4000

/** Estimate of the tokens that a request holds in the memory of the engine: its prompt, and on average over its run half of its largest output. */
function heldTokensOf (generation: Generation | undefined): number {
  return generation === undefined ? 0 : generation.promptTokens + generation.maxOutputTokens / 2
}

export class EndpointAttempt {
  readonly endpoint: TrackedEndpoint
  readonly sentMs: number
  readonly estimateMs: number
  readonly #generation: Generation | undefined
  readonly #uncachedTokens: number
  #pendingTokens: number
  #firstByteMs: number | undefined
  readonly #onOutcome: EndpointAttemptOptions['onOutcome']
  #isEnded = false

  constructor (endpoint: TrackedEndpoint, options: EndpointAttemptOptions) {
    this.endpoint = endpoint
    this.sentMs = options.nowMs
    this.estimateMs = options.estimateMs
    this.#generation = options.generation
    this.#uncachedTokens = options.uncachedTokens
    this.#onOutcome = options.onOutcome
    this.#pendingTokens = options.uncachedTokens
    endpoint.running++
    endpoint.heldTokens += heldTokensOf(options.generation)
    endpoint.pendingTokens += options.uncachedTokens
  }

  /** Records the first byte of the response. By then the engine has read the prompt. */
  recordFirstByte (nowMs: number): void {
    if (this.#firstByteMs !== undefined) return
    this.#firstByteMs = nowMs
    this.#clearPending()
    if (this.#generation === undefined) return
    if (this.#uncachedTokens <= maxSampledPromptTokens) this.endpoint.recordExcessMs(nowMs - this.sentMs - this.estimateMs, nowMs)
    this.endpoint.prefixes.recordUse(this.#generation.prompt, nowMs)
  }

  /** Ends the accounting. `isSuccess` is `undefined` if the attempt says nothing about the endpoint, for example because the caller disconnected. */
  end (isSuccess: boolean | undefined, nowMs: number): void {
    if (this.#isEnded) return
    this.#isEnded = true
    const answeredMs = this.#generation === undefined ? nowMs : this.#firstByteMs ?? nowMs
    if (isSuccess !== undefined) this.#onOutcome(isSuccess, answeredMs - this.sentMs)
    this.#clearPending()
    this.endpoint.running--
    this.endpoint.heldTokens -= heldTokensOf(this.#generation)
  }

  #clearPending (): void {
    this.endpoint.pendingTokens -= this.#pendingTokens
    this.#pendingTokens = 0
  }
}
