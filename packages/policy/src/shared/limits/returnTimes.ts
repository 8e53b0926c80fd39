/** Times at which refused callers may come back to a service whose endpoints all limit their requests. Each caller gets a time of its own, so that they do not all return for the same request that an endpoint takes. */

/** Longest time that is promised. Whether the limits still hold then is not known. */
const maxReturnMs = 30_000

export interface ReturnInput {
  readonly nowMs: number
  /** Time until this router may send one of the endpoints a request. */
  readonly firstMs: number
  /** Sum of the limits of the endpoints. */
  readonly requestsPerSecond: number
  /** Routers that share the limits. */
  readonly routers: number
}

export class ReturnTimes {
  #lastMs = -Infinity

  /** Returns the time until the next caller may come back, in ms. The callers of one router get its share of the requests that the endpoints take, also at routers that may not send to them, because callers return to any router. */
  nextDelayMs ({ nowMs, firstMs, requestsPerSecond, routers }: ReturnInput): number {
    const intervalMs = Math.min(maxReturnMs, 1000 * routers / requestsPerSecond)
    const atMs = Math.max(nowMs + Math.min(firstMs, intervalMs), this.#lastMs + intervalMs)
    this.#lastMs = Math.min(atMs, nowMs + maxReturnMs)
    return this.#lastMs - nowMs
  }
}
