/** Limits and timeouts of the caller path, with their defaults. */

export interface CallerSettings {
  /** Maximum number of bytes of a request body. */
  readonly maxBodyBytes: number
  /** Maximum number of bytes of all request headers; less than endpoint processes accept, because they also get the header `bd-call`. */
  readonly maxHeaderBytes: number
  /** Time for a caller to send all headers, in ms. */
  readonly headersTimeoutMs: number
  /** Time for a caller to send the whole request, in ms. */
  readonly requestTimeoutMs: number
  /** Maximum number of open connections from callers. */
  readonly maxConnections: number
  /** Maximum number of requests that are open at the same time; the request of a slow caller may use some 200 kB of memory. */
  readonly maxOpenRequests: number
  /** Maximum number of bytes of all request bodies in memory at the same time. */
  readonly maxBufferedBodyBytes: number
  /** Deadline of requests without `X-Deadline-Ms`, in ms. */
  readonly defaultDeadlineMs: number
  /** Longest deadline that a caller can ask for, in ms. */
  readonly maxDeadlineMs: number
  /** Bytes of a response that are buffered for a slow caller before reading from the endpoint pauses. */
  readonly streamBufferBytes: number
  /** Time without a byte from an endpoint after which its connection counts as silent, in ms. */
  readonly silenceMs: number
  /** Time to open a connection to an endpoint, in ms. */
  readonly connectTimeoutMs: number
  /** Time for a control call to an endpoint or router, in ms. */
  readonly controlTimeoutMs: number
  /** Time for which the router tries to reattach to a response before its endpoint counts as lost, in ms. */
  readonly reattachTimeoutMs: number
  /** Longest wait for reports of crashes during a request before its failure is answered, in ms. */
  readonly crashReportWaitMs: number
  /** Time from the start of a graceful shutdown, when the health check begins to fail, to the closing of the listener, in ms. */
  readonly drainDelayMs: number
  /** Time for which an endpoint is avoided after it refused a request because it is full, in ms. */
  readonly avoidFullMs: number
}

export const defaultCallerSettings: CallerSettings = {
  maxBodyBytes: 4 * 1024 * 1024,
  maxHeaderBytes: 12 * 1024,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  maxConnections: 20_000,
  maxOpenRequests: 4000,
  maxBufferedBodyBytes: 128 * 1024 * 1024,
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
