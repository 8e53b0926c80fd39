/**
 * Share of a service's retry budget that this router may use. Routers do not
 * ask each other: each keeps to a share of its own requests, and to its part of
 * the fleet's fixed allowance.
 */

interface Bucket {
  readonly startMs: number
  requests: number
  repeats: number
}

export interface RetryQuotaSettings {
  /** Repeats as a share of the requests. */
  readonly share: number
  /** Repeats beyond the share, for this router; changes with the size of the fleet. */
  readonly slack: () => number
  readonly windowMs: number
}

/** Windows slide, so counts are kept by tenths of one. */
const bucketsPerWindow = 10

export class RetryQuota {
  readonly #settings: RetryQuotaSettings
  #buckets: Bucket[] = []

  constructor (settings: RetryQuotaSettings) {
    this.#settings = settings
  }

  noteRequest (nowMs: number): void {
    this.#bucket(nowMs).requests++
  }

  /** Takes one repeated arrival; false when the window's quota is used up. */
  tryTake (nowMs: number): boolean {
    const bucket = this.#bucket(nowMs)
    let requests = 0
    let repeats = 0
    for (const each of this.#buckets) {
      requests += each.requests
      repeats += each.repeats
    }
    if (repeats + 1 > requests * this.#settings.share + this.#settings.slack()) return false
    bucket.repeats++
    return true
  }

  #bucket (nowMs: number): Bucket {
    const lengthMs = this.#settings.windowMs / bucketsPerWindow
    // One bucket more than the window is kept, so that every span of the window's length is covered.
    this.#buckets = this.#buckets.filter(bucket => nowMs - bucket.startMs < this.#settings.windowMs + lengthMs)
    const last = this.#buckets.at(-1)
    if (last !== undefined && nowMs - last.startMs < lengthMs) return last
    const bucket = { startMs: nowMs, requests: 0, repeats: 0 }
    this.#buckets.push(bucket)
    return bucket
  }
}
