/** Decides whether a failed attempt is retried. */
import type { Failure, FailureReason } from '../verdict/index.ts'

export interface RetryInput {
  readonly failure: Failure
  /** Whether the call may run more than once. */
  readonly idempotent: boolean
  /** Attempts made so far. */
  readonly attempts: number
  readonly remainingMs: number
  /** Returns a random number that is uniformly distributed in [0, 1). */
  readonly random: () => number
}

export type RetryDecision =
  | { readonly kind: 'retry', readonly delayMs: number }
  | { readonly kind: 'stop' }

/** Maximum number of attempts of one request, including the first. */
export const maxAttempts = 4
const initialDelayMs = 10
const maxDelayMs = 500
/** Minimum time needed for another attempt. With less time left, the caller gets the failure. */
const minRemainingMs = 20

/** Reasons that may not recur at another endpoint, or at the same one a little later. */
const transientReasons: ReadonlySet<FailureReason> = new Set([
  'noEndpoint', 'endpointFull', 'endpointLeaving', 'endpointLost', 'backEndFailed', 'recordsFull', 'sliceFenced', 'claimUnavailable'
])

/** Backoff with full jitter before attempt `attempts + 1`, in ms. */
export function backoffMs (attempts: number, random: () => number): number {
  return random() * Math.min(maxDelayMs, initialDelayMs * 2 ** (attempts - 1))
}

/** Decides on one failed attempt. After `stop`, the caller gets the failure unchanged. */
export function decideRetry (input: RetryInput): RetryDecision {
  const { failure } = input
  // Without a granted claim, this request has not run: the verdict is about earlier requests with the same key.
  const isSafe = failure.verdict.kind === 'notRun' || input.idempotent || failure.reason === 'claimUnavailable'
  if (!isSafe || !transientReasons.has(failure.reason) || input.attempts >= maxAttempts) return { kind: 'stop' }
  const delayMs = backoffMs(input.attempts, input.random)
  if (input.remainingMs - delayMs < minRemainingMs) return { kind: 'stop' }
  return { kind: 'retry', delayMs }
}
