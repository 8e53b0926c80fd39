/** Attributes that the gateway reads from requests and responses, independent of their header names. */

/** A part of a prompt. Requests with the same leading parts share them in the prefix cache of an engine. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Sizes of a request to a model engine. */
export interface Generation {
  readonly promptTokens: number
  readonly maxOutputTokens: number
  readonly prompt: readonly PromptPart[]
}

export interface CallAttributes {
  readonly attemptId: string | undefined
  /** Time that the caller waits for the response, in ms. */
  readonly deadlineMs: number | undefined
  readonly apiKey: string | undefined
  readonly generation: Generation | undefined
  /** Id of the last event that the caller received before it reconnected. */
  readonly resumeAfter: string | undefined
}

/** What a response says of the number of requests that its endpoint takes from all routers together. */
export type RequestLimit =
  | { readonly kind: 'none' }
  | { readonly kind: 'named', readonly requestsPerSecond: number }
  /** The limit is malformed, so it neither sets a limit nor ends one. */
  | { readonly kind: 'malformed' }

export interface ResponseAttributes {
  readonly attemptId: string | undefined
  /** Whether the endpoint signed the response. */
  readonly isSigned: boolean
  /** Whether the endpoint states that it did not run the request. */
  readonly isNotExecuted: boolean
  /** Whether the endpoint states that it is shutting down. */
  readonly isLeaving: boolean
  /** Time for which the endpoint asks to get no further requests, in ms; `undefined` if it states none. */
  readonly retryAfterMs: number | undefined
  readonly requestLimit: RequestLimit
  /** Length of the body in bytes; `undefined` without a Content-Length header. */
  readonly contentLengthBytes: number | undefined
  readonly isChunked: boolean
  readonly isEventStream: boolean
  /** Whether the body has a content encoding. The gateway requests none. */
  readonly isEncoded: boolean
}
