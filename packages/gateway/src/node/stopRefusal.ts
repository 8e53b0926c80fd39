/** Refusal of requests during a planned stop. */
import { notRun, type Failure } from '@buckthorndrift/policy'

/** Retry delay for callers that should retry at another router. */
export const retryElsewhereMs = 50
export const stopTooSoonDetail = 'this router is shutting down before the request could end'

export function stopRefusal (detail: string): Failure {
  return { verdict: notRun, reason: 'draining', detail, retryAfterMs: retryElsewhereMs }
}
