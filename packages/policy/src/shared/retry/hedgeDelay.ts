/** Observed latency of a call, for the delay after which it is hedged. */
import { build, type Histogram } from 'hdr-histogram-js'

/** Answers needed before a quantile is believed. */
const minObservations = 50
const windowMs = 30_000
/** A hedge earlier than this would repeat calls that are merely a little late. */
const minDelayMs = 5

function emptyHistogram (): Histogram {
  return build({ bitBucketSize: 32, lowestDiscernibleValue: 1, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 2 })
}

export class HedgeDelay {
  #previous: Histogram | undefined
  #current = emptyHistogram()
  #startedMs: number

  constructor (nowMs: number) {
    this.#startedMs = nowMs
  }

  /** Notes the time to the whole answer. */
  observe (durationMs: number, nowMs: number): void {
    if (nowMs - this.#startedMs >= windowMs) {
      this.#previous = this.#current
      this.#current = emptyHistogram()
      this.#startedMs = nowMs
    }
    this.#current.recordValue(Math.max(1, Math.round(durationMs)))
  }

  /** The observed p95 in ms; `undefined` until enough answers were seen. */
  delayMs (): number | undefined {
    const histogram = this.#current.totalCount >= minObservations ? this.#current : this.#previous
    if (histogram === undefined || histogram.totalCount < minObservations) return undefined
    return Math.max(minDelayMs, histogram.getValueAtPercentile(95))
  }
}
