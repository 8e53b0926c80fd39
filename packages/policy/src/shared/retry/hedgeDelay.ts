/** Tracks the latency of a call, which determines the delay before a hedged request is sent. */
import { build, type Histogram } from 'hdr-histogram-js'

/** Minimum number of responses from which a quantile is computed. */
const minObservations = 50
const windowMs = 30_000
/** A shorter delay would hedge calls that are only slightly slow. */
const minDelayMs = 5

function emptyHistogram (): Histogram {
  return build({ bitBucketSize: 32, lowestDiscernibleValue: 1, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 2 })
}

export class HedgeDelay {
  #previous: Histogram | undefined
  #current = emptyHistogram()
  #windowStartedMs: number

  constructor (nowMs: number) {
    this.#windowStartedMs = nowMs
  }

  /** Records the time until the response was complete. */
  observe (durationMs: number, nowMs: number): void {
    if (nowMs - this.#windowStartedMs >= windowMs) {
      this.#previous = this.#current
      this.#current = emptyHistogram()
      this.#windowStartedMs = nowMs
    }
    this.#current.recordValue(Math.max(1, Math.round(durationMs)))
  }

  /** Delay before hedging, in ms: the observed p95 latency; `undefined` until enough responses were observed. */
  delayMs (): number | undefined {
    const histogram = this.#current.totalCount >= minObservations ? this.#current : this.#previous
    if (histogram === undefined || histogram.totalCount < minObservations) return undefined
    return Math.max(minDelayMs, histogram.getValueAtPercentile(95))
  }
}
