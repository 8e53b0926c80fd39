/** Limits and times of the caller path, with their defaults. */

export interface CallerSettings {
  /** Most bytes of a request body. */
  readonly maxBodyBytes: number
  /** Most bytes of all request headers; below the limit of endpoint processes, which get header `bd-call` besides. */
  readonly maxHeaderBytes: number
  /** Time for a caller to send all headers, in ms. */
  readonly headersTimeoutMs: number
  /** Time for a caller to send the whole request, in ms. */
  readonly requestTimeoutMs: number
  /** Most open connections from callers. */
  readonly maxConnections: number
  /** Most requests that are answered at the same time; a slow caller may hold some 200 kB. */
  readonly maxOpenRequests: number
  /** Most bytes of all request bodies held at the same time. */
  readonly maxHeldBodyBytes: number
  /** Deadline of requests without `X-Deadline-Ms`, in ms. */
  readonly defaultDeadlineMs: number
  /** Longest deadline that a caller can ask for, in ms. */
  readonly maxDeadlineMs: number
  /** Bytes of an answer that wait in this process for a slow caller; above it the endpoint is paused. */
  readonly streamBufferBytes: number
  /** Time without a byte from an endpoint after which its connection counts as silent, in ms. */
  readonly silenceMs: number
  /** Time to open a connection to an endpoint, in ms. */
  readonly connectTimeoutMs: number
  /** Time for a control call to an endpoint or router, in ms. */
  readonly controlTimeoutMs: number
  /** Time for which an answer is sought again at its endpoint before the endpoint counts as lost, in ms. */
  readonly reattachTimeoutMs: number
  /** Longest wait for the reports of deaths under a request before its failure is answered, in ms. */
  readonly crashReportWaitMs: number
  /** Time between the first failed health check of a graceful shutdown and the end of the listener, in ms. */
  readonly drainDelayMs: number
  /** Time for which an endpoint that refused as full is avoided, in ms. */
  readonly avoidFullMs: number
}

export const defaultCallerSettings: CallerSettings = {
  maxBodyBytes: 4 * 1024 * 1024,
  maxHeaderBytes: 12 * 1024,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  maxConnections: 20_000,
  maxOpenRequests: 4000,
  maxHeldBodyBytes: 128 * 1024 * 1024,
  defaultDeadlineMs: 60_000,
  maxDeadlineMs: 600_000,
  streamBufferBytes: 16 * 1024,
  silenceMs: 3000,
  connectTimeoutMs: 1000,
  controlTimeoutMs: 2000,
  reattachTimeoutMs: 6000,
  crashReportWaitMs: 250,
  drainDelayMs: 0,
  avoidFullMs: 250
}
