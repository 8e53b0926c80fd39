/** Verdicts: whether a failed request may have run at a back end. */
import { Err, type Result } from 'ts-results-es'

export type VerdictKind = 'notRun' | 'mayHaveRun' | 'ran'

/**
 * `notRun`: no back end has received the request, and none will.
 * `mayHaveRun`: it is unknown whether a back end ran the request.
 * `ran`: a back end ran it, although the response was lost or is incomplete.
 */
export type Verdict =
  | { readonly kind: 'notRun' }
  | { readonly kind: 'mayHaveRun' }
  | { readonly kind: 'ran' }

export const notRun: Verdict = { kind: 'notRun' }
export const mayHaveRun: Verdict = { kind: 'mayHaveRun' }
export const ran: Verdict = { kind: 'ran' }

/** Why a request failed or was refused; stable names, part of the public API. */
export type FailureReason =
  | 'unauthenticated'
  | 'badRequest'
  | 'requestTooLarge'
  | 'unknownService'
  | 'unknownCall'
  | 'budgetExhausted'
  | 'budgetUnavailable'
  | 'sliceFenced'
  | 'endpointFull'
  | 'noEndpoint'
  | 'endpointLeaving'
  | 'endpointLost'
  | 'backEndFailed'
  | 'deadlineExceeded'
  | 'keyReused'
  | 'keyInProgress'
  | 'answerExpired'
  | 'claimUnavailable'
  | 'crashSuspect'
  | 'recordsFull'
  | 'draining'
  | 'overloaded'
  | 'internal'

/** A failed or refused request, as reported to the caller. */
export interface Failure {
  readonly verdict: Verdict
  readonly reason: FailureReason
  /** One sentence for the caller; never contains keys or secrets. */
  readonly detail: string
  /** Time after which the caller should retry, in ms from now. */
  readonly retryAfterMs?: number
}

/** Creates an `Err` that holds a failure. */
export function fail (verdict: Verdict, reason: FailureReason, detail: string, retryAfterMs?: number): Result<never, Failure> {
  return Err(retryAfterMs === undefined ? { verdict, reason, detail } : { verdict, reason, detail, retryAfterMs })
}

/** Combines the verdicts of several attempts of one request. `ran` takes precedence over `mayHaveRun`, and that over `notRun`. */
export function combineVerdicts (verdicts: readonly Verdict[]): Verdict {
  if (verdicts.some(verdict => verdict.kind === 'ran')) return ran
  if (verdicts.some(verdict => verdict.kind === 'mayHaveRun')) return mayHaveRun
  return notRun
}
