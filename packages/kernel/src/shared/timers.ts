/**
 * Timer service interface. All code takes clocks and timers from it, so that
 * tests can replace it with `ManualTimers`.
 */

/** Cancels a subscription or timer. Calling it again has no effect. */
export type Unsubscribe = () => void

export interface TimerService {
  /** Wall-clock time in ms since the Unix epoch. Used for timestamps in records, never to order events. */
  nowMs (): number
  /** Monotonic time in ms from an arbitrary origin. Used for durations and deadlines. */
  monotonicMs (): number
  /** Calls `listener` once after `delayMs`, unless cancelled. */
  after (delayMs: number, listener: () => void): Unsubscribe
  /** Calls `listener` every `intervalMs` until cancelled. */
  every (intervalMs: number, listener: () => void): Unsubscribe
}
