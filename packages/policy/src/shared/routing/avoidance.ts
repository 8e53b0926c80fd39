/** How long an endpoint that keeps failing is avoided. */

/** A single failure says little about an endpoint. */
const failuresUntilAvoided = 2
const firstAvoidanceMs = 250
const maxAvoidanceMs = 10_000

/** Time in ms for which an endpoint is avoided after consecutive failures; doubles with each. */
export function avoidanceMs (consecutiveFailures: number): number {
  if (consecutiveFailures < failuresUntilAvoided) return 0
  return Math.min(maxAvoidanceMs, firstAvoidanceMs * 2 ** (consecutiveFailures - failuresUntilAvoided))
}
