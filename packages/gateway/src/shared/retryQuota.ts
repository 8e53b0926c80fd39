/**
 * Retry budget of one service at this router, over a sliding window. Routers do
 * not coordinate their retries. Each router may retry a share of its own requests,
 * and in addition its part of a fixed number of retries for the whole fleet.
 */

interface Bucket {
  readonly startMs: number
  requests: number
  retries: number
}

export interface RetryQuotaSettings {
  /** Allowed retries as a share of the requests. */
  readonly share: number
  /** Retries that this router may send in addition to the share; depends on the number of routers. */
  readonly slack: () => number
  readonly windowMs: number
}

/** Counts are kept in buckets of a tenth of the window length, so that the window can slide. */
const bucketsPerWindow = 10

export class RetryQuota {
  readonly #settings: RetryQuotaSettings
  #buckets: Bucket[] = []

  constructor (settings: RetryQuotaSettings) {
    this.#settings = settings
  }

  recordRequest (nowMs: number): void {
    this.#bucket(nowMs).requests++
  }

  /** Takes one retry from the quota; returns false when the quota of the window is exhausted. */
  tryTake (nowMs: number): boolean {
    const bucket = this.#bucket(nowMs)
    let requests = 0
    let retries = 0
    for (const each of this.#buckets) {
      requests += each.requests
      retries += each.retries
    }
    if (retries + 1 > requests * this.#settings.share + this.#settings.slack()) return false
    bucket.retries++
    return true
  }

  #bucket (nowMs: number): Bucket {
    const bucketMs = this.#settings.windowMs / bucketsPerWindow
    // One extra bucket is kept, so that the buckets cover every interval of the length of the window.
    this.#buckets = this.#buckets.filter(bucket => nowMs - bucket.startMs < this.#settings.windowMs + bucketMs)
    const last = this.#buckets.at(-1)
    if (last !== undefined && nowMs - last.startMs < bucketMs) return last
    const bucket = { startMs: nowMs, requests: 0, retries: 0 }
    this.#buckets.push(bucket)
    return bucket
  }
}
