/**
 * The timer service. All parts take time from it, so that tests can replace it
 * with a manual one.
 */

/** Ends a subscription; calling it again has no effect. */
export type Unsubscribe = () => void

export interface TimerService {
  /** Wall-clock time in ms since the Unix epoch; used for records, never for ordering. */
  nowMs (): number
  /** Monotonic time in ms from an arbitrary origin; used for durations. */
  monotonicMs (): number
  /** Calls `listener` once after `delayMs`. */
  after (delayMs: number, listener: () => void): Unsubscribe
  /** Calls `listener` each `intervalMs` until unsubscribed. */
  every (intervalMs: number, listener: () => void): Unsubscribe
}
