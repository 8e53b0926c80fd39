/** HTTP status of each failure reason. */
import { assertNever } from '@buckthorndrift/kernel'
import { type FailureReason } from './verdict.ts'

/** Status code under which a caller sees the failure. */
export function httpStatusOf (reason: FailureReason): number {
  switch (reason) {
    case 'badRequest': return 400
    case 'unauthenticated': return 401
    case 'budgetExhausted': return 402
    case 'unknownService':
    case 'unknownCall': return 404
    case 'keyInProgress':
    case 'answerExpired': return 409
    case 'requestTooLarge': return 413
    case 'keyReused':
    case 'crashSuspect': return 422
    case 'endpointFull': return 429
    case 'internal': return 500
    case 'endpointLost':
    case 'backEndFailed': return 502
    case 'budgetUnavailable':
    case 'sliceFenced':
    case 'noEndpoint':
    case 'endpointLeaving':
    case 'claimUnavailable':
    case 'recordsFull':
    case 'draining':
    case 'overloaded': return 503
    case 'deadlineExceeded': return 504
    default: return assertNever(reason)
  }
}
