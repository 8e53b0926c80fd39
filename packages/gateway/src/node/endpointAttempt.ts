/** Accounting of one attempt: the load that it adds to the endpoint, and the latency samples that it yields. */
import type { Observation } from '@buckthorndrift/policy'
import type { Generation } from '../shared/call.ts'
import type { TrackedEndpoint } from './trackedEndpoints.ts'

export interface EndpointAttemptOptions {
  readonly generation: Generation | undefined
  /** Prompt tokens that the endpoint is not expected to have in its prefix cache. */
  readonly uncachedTokens: number
  /** Tokens that the engine had to read before, of all routers; `undefined` if they are not known. */
  readonly backlogTokens?: number | undefined
  /** Expected time to the first token in ms. */
  readonly estimateMs: number
  readonly nowMs: number
  /** Called with what the attempt shows about the version of the endpoint, as soon as it is known. The latency is that of the first byte of a generation, and of the whole response of another call. */
  readonly onObservation: (observation: Observation) => void
}

/** Prompts with more uncached tokens yield no latency sample. They take long to process, so their latency says little about the queue of the endpoint. */
const maxSampledPromptTokens = 4000

/** Number of gaps between events over which the mean is taken, or the time for which events are observed if it ends earlier. Over fewer gaps, the prompts that an engine reads in between hide its pace. */
const observedGaps = 20
const observedMs = 1500

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
  readonly #backlogTokens: number | undefined
  #pendingTokens: number
  #firstByteMs: number | undefined
  readonly #onObservation: EndpointAttemptOptions['onObservation']
  #firstEventMs: number | undefined
  #laterEvents = 0
  #isGapObserved = false
  #isEnded = false

  constructor (endpoint: TrackedEndpoint, options: EndpointAttemptOptions) {
    this.endpoint = endpoint
    this.sentMs = options.nowMs
    this.estimateMs = options.estimateMs
    this.#generation = options.generation
    this.#uncachedTokens = options.uncachedTokens
    this.#backlogTokens = options.backlogTokens
    this.#onObservation = options.onObservation
    this.#pendingTokens = options.uncachedTokens
    endpoint.running++
    endpoint.lastSentMs = options.nowMs
    endpoint.heldTokens += heldTokensOf(options.generation)
    if (options.generation !== undefined) endpoint.backlog.add(options.uncachedTokens, endpoint.prefillSpeed.tokensPerMs, options.nowMs)
  }

  /** Records the first byte of the response. By then the engine has read the prompt. */
  recordFirstByte (nowMs: number): void {
    if (this.#firstByteMs !== undefined) return
    this.#firstByteMs = nowMs
    this.#clearPending(nowMs)
    if (this.#generation === undefined) return
    this.#onObservation({ kind: 'latency', durationMs: nowMs - this.sentMs })
    if (this.#uncachedTokens <= maxSampledPromptTokens) this.endpoint.recordExcessMs(nowMs - this.sentMs - this.estimateMs, nowMs)
    this.endpoint.prefillSpeed.record({ readTokens: this.#uncachedTokens, backlogTokens: this.#backlogTokens, firstTokenMs: nowMs - this.sentMs })
    this.endpoint.prefixes.recordUse(this.#generation.prompt, nowMs)
  }

  /** Records events of a stream. The time between the first ones is observed at once, because streams may last long. */
  recordEvents (count: number, nowMs: number): void {
    if (this.#firstEventMs === undefined) {
      this.#firstEventMs = nowMs
      return
    }
    this.#laterEvents += count
    if (this.#laterEvents >= observedGaps || nowMs - this.#firstEventMs >= observedMs) this.#observeGap(nowMs, this.#laterEvents)
  }

  /** Ends the accounting after the caller left. The times that it had waited are lower bounds of those that the endpoint would have needed. A caller that left before the objective says nothing about the endpoint. */
  endAbandoned (objectiveMs: number, nowMs: number): void {
    const waitedMs = nowMs - this.sentMs
    if (this.#firstByteMs === undefined && waitedMs >= objectiveMs) this.#onObservation({ kind: 'latency', durationMs: waitedMs })
    this.#observeGap(nowMs, this.#laterEvents + 1)
    this.end(undefined, nowMs)
  }

  /** Ends the accounting. `isSuccess` is `undefined` if the attempt says nothing about the endpoint, for example because the caller disconnected. */
  end (isSuccess: boolean | undefined, nowMs: number): void {
    if (this.#isEnded) return
    this.#isEnded = true
    if (isSuccess !== undefined) this.#onObservation({ kind: isSuccess ? 'completed' : 'failed' })
    if (isSuccess === true && (this.#generation === undefined || this.#firstByteMs === undefined)) this.#onObservation({ kind: 'latency', durationMs: nowMs - this.sentMs })
    // A stream that fails, for example at its deadline, would have had at least one more event.
    if (isSuccess !== undefined) this.#observeGap(nowMs, isSuccess ? this.#laterEvents : this.#laterEvents + 1)
    this.#clearPending(nowMs)
    this.endpoint.running--
    this.endpoint.heldTokens -= heldTokensOf(this.#generation)
  }

  #observeGap (nowMs: number, gaps: number): void {
    if (this.#isGapObserved || this.#firstEventMs === undefined || gaps === 0) return
    this.#isGapObserved = true
    this.#onObservation({ kind: 'eventGap', durationMs: (nowMs - this.#firstEventMs) / gaps })
  }

  #clearPending (nowMs: number): void {
    this.endpoint.backlog.remove(this.#pendingTokens, this.endpoint.prefillSpeed.tokensPerMs, nowMs)
    this.#pendingTokens = 0
  }
}
