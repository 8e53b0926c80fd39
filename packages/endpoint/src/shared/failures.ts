/** Refusals and failures that the endpoint process sends to routers. */
import { mayHaveRun, notRun, type Failure, type FailureReason, type OfferResult } from '@buckthorndrift/policy'

/** `retryAfterMs` of refusals for a temporary condition of this process. */
export const defaultRetryAfterMs = 1000
/** Lower bound of `retryAfterMs` when the queue is full. It is needed because the expected wait is 0 until the first request has completed. */
const minRetryAfterMs = 100

/** Creates a failure for a request that was not sent to the back end. */
export function createRefusal (reason: FailureReason, detail: string, retryMs?: number): Failure {
  return { verdict: notRun, reason, detail, ...(retryMs === undefined ? {} : { retryAfterMs: retryMs }) }
}

export const holderFenced = createRefusal('sliceFenced', 'The holder of the reservation is fenced.')
export const alreadySettled = createRefusal('sliceFenced', 'The reservation is already settled.')
export const seqReused = createRefusal('sliceFenced', 'Another request already used the reservation.')
export const endpointLeaving = createRefusal('endpointLeaving', 'The endpoint is shutting down.')
export const fencesNotRead = createRefusal('noEndpoint', 'The endpoint has not yet read the fenced holders from the platform.', defaultRetryAfterMs)
export const backEndDown = createRefusal('backEndFailed', 'The back end is down.', defaultRetryAfterMs)
export const crashedBeforeRun = createRefusal('backEndFailed', 'The back end crashed before the request was sent to it.', defaultRetryAfterMs)
export const recordsFull = createRefusal('recordsFull', 'The endpoint has reached its limit of unacknowledged billing records.', defaultRetryAfterMs)
export const waitingBytesExceeded = createRefusal('endpointFull', 'Too many bytes of request bodies are waiting for the back end.', defaultRetryAfterMs)
export const deadlineExceeded = createRefusal('deadlineExceeded', 'The deadline passed while the request waited.')
export const callerDisconnected = createRefusal('deadlineExceeded', 'The caller disconnected before the request ran.')
export const malformedRequestId = createRefusal('badRequest', 'The request id is malformed.')
export const malformedCall = createRefusal('badRequest', 'The call header is missing or malformed.')
export const unauthenticated = createRefusal('unauthenticated', 'The fleet secret is missing or wrong.')
export const requestTooLarge = createRefusal('requestTooLarge', 'The request body is too large.')

/** Response to an attach with a request id that this process has not received. */
export const unknownRequest = createRefusal('endpointLost', 'This endpoint has not received the request and will not run it.')

/** Response to an attach with an unknown request id that may have been sent to an earlier incarnation of the process. */
export const earlierIncarnation: Failure = {
  verdict: mayHaveRun, reason: 'endpointLost', detail: 'An earlier incarnation of this endpoint may have run the request.'
}

export const staleRequest: Failure = {
  verdict: mayHaveRun, reason: 'answerExpired', detail: 'The request id is too old to tell whether it ran.'
}

export const requestCancelled: Failure = { verdict: mayHaveRun, reason: 'deadlineExceeded', detail: 'The request was cancelled at the back end.' }

/** The request ran, but the requested bytes of its response are not available. */
export const answerExpired: Failure = { verdict: { kind: 'ran' }, reason: 'answerExpired', detail: 'The request ran; its response is no longer available.' }

/** Creates the failure for a request that the admission queue did not accept. */
export function createQueueRefusal (offer: Extract<OfferResult, { kind: 'full' | 'tooLate' }>): Failure {
  return offer.kind === 'full'
    ? createRefusal('endpointFull', 'The queue of the endpoint is full.', Math.max(offer.retryAfterMs, minRetryAfterMs))
    : createRefusal('deadlineExceeded', 'The request cannot be answered before its deadline.')
}
