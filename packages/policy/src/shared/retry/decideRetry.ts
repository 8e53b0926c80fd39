/** Decides whether a failed attempt may be repeated. */
import type { Failure, FailureReason } from '../verdict/index.ts'

export interface RetryInput {
  readonly failure: Failure
  /** Whether the call may run more than once. */
  readonly idempotent: boolean
  /** Attempts made so far. */
  readonly attempts: number
  readonly remainingMs: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

export type RetryDecision =
  | { readonly kind: 'retry', readonly delayMs: number }
  | { readonly kind: 'stop' }

/** Most attempts of one request. */
export const maxAttempts = 4
const firstDelayMs = 10
const maxDelayMs = 500
/** Time that a further attempt needs at least; below it the caller gets the failure instead. */
const minRemainingMs = 20

/** Reasons that another endpoint, or the same one a little later, may not have. */
const passingReasons: ReadonlySet<FailureReason> = new Set([
  'noEndpoint', 'endpointFull', 'endpointLeaving', 'endpointLost', 'backEndFailed', 'recordsFull', 'sliceFenced', 'claimUnavailable'
])

/** Backoff with full jitter before attempt `attempts + 1`, in ms. */
export function backoffMs (attempts: number, random: () => number): number {
  return random() * Math.min(maxDelayMs, firstDelayMs * 2 ** (attempts - 1))
}

/** `stop` means that the caller gets the failure as it is. */
export function decideRetry (input: RetryInput): RetryDecision {
  const { failure } = input
  // A claim that was not granted let nothing run; its verdict is about earlier requests with the key.
  const isSafe = failure.verdict.kind === 'notRun' || input.idempotent || failure.reason === 'claimUnavailable'
  if (!isSafe || !passingReasons.has(failure.reason) || input.attempts >= maxAttempts) return { kind: 'stop' }
  const delayMs = backoffMs(input.attempts, input.random)
  if (input.remainingMs - delayMs < minRemainingMs) return { kind: 'stop' }
  return { kind: 'retry', delayMs }
}
