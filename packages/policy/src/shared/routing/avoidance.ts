/** Backoff for endpoints that fail repeatedly. */

/** A single failure is not enough evidence that an endpoint is faulty. */
const failuresUntilAvoided = 2
const firstAvoidanceMs = 250
const maxAvoidanceMs = 10_000

/** Time for which an endpoint is avoided after consecutive failures; it doubles with each further failure. */
export function avoidanceMs (consecutiveFailures: number): number {
  if (consecutiveFailures < failuresUntilAvoided) return 0
  return Math.min(maxAvoidanceMs, firstAvoidanceMs * 2 ** (consecutiveFailures - failuresUntilAvoided))
}
