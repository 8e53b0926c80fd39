/** What this router knows of the limit that an endpoint puts on the requests of all routers together. */

/** Knowledge as routers exchange it. Ages are used because the clocks of routers differ. */
export interface LimitReport {
  /** `undefined` if the endpoint named no limit at that time. */
  readonly requestsPerSecond: number | undefined
  readonly ageMs: number
}

export class KnownLimit {
  #requestsPerSecond: number | undefined
  /** Time up to which the knowledge holds. */
  #asOfMs = -Infinity

  /** `undefined` if the endpoint is not known to have a limit. */
  get requestsPerSecond (): number | undefined {
    return this.#requestsPerSecond
  }

  /** Records a response that names a limit. Returns whether the limit is another one than before. */
  recordNamed (requestsPerSecond: number, receivedMs: number): boolean {
    return this.#apply(requestsPerSecond, receivedMs)
  }

  /** Records a response that names no limit, to a request sent at `sentMs`. An older request proves nothing, because its response may have been under way when the limit was named. Returns whether this ends a limit. */
  recordUnlimited (sentMs: number): boolean {
    return this.#apply(undefined, sentMs)
  }

  /** Applies the knowledge of another router if it is newer. Returns whether the limit is another one than before. */
  merge (report: LimitReport, nowMs: number): boolean {
    return this.#apply(report.requestsPerSecond, nowMs - report.ageMs)
  }

  report (nowMs: number): LimitReport {
    return { requestsPerSecond: this.#requestsPerSecond, ageMs: nowMs - this.#asOfMs }
  }

  #apply (requestsPerSecond: number | undefined, asOfMs: number): boolean {
    if (asOfMs <= this.#asOfMs) return false
    const isChange = requestsPerSecond !== this.#requestsPerSecond
    this.#asOfMs = asOfMs
    this.#requestsPerSecond = requestsPerSecond
    return isChange
  }
}
