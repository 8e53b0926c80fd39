/** Attributes of calls and answers. */

/** A part of a prompt; requests with the same leading parts share them in an engine's cache. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

export interface Generation {
  readonly promptTokens: number
  readonly maxOutputTokens: number
  readonly prompt: readonly PromptPart[]
}

export interface CallAttributes {
  readonly attemptId: string | undefined
  /** How long the caller waits, in ms. */
  readonly deadlineMs: number | undefined
  readonly apiKey: string | undefined
  readonly generation: Generation | undefined
  /** Id of the last event that the caller already has. */
  readonly resumeAfter: string | undefined
}

export interface ResponseAttributes {
  readonly attemptId: string | undefined
  /** Whether the endpoint signed the answer. */
  readonly isSigned: boolean
  /** Whether the endpoint says that it did not run the call. */
  readonly isNotExecuted: boolean
  /** Length of the body in bytes; `undefined` when the headers do not tell. */
  readonly contentLengthBytes: number | undefined
  readonly isChunked: boolean
  readonly isEventStream: boolean
  /** Whether the body is encoded, which the endpoint was not asked for. */
  readonly isEncoded: boolean
}
