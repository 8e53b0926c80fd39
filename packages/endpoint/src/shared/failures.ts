/** Refusals and failures of the endpoint process. */
import { mayHaveRun, notRun, type Failure, type FailureReason, type OfferResult } from '@buckthorndrift/policy'

/** Pause before a refused call is worth another try here, in ms. */
export const retryAfterMs = 1000
/** Shortest pause named by a full queue, in ms; without samples the expected wait is 0. */
const shortestRetryMs = 100

/** A failure of a request that no back end was handed. */
export function refusal (reason: FailureReason, detail: string, retryMs?: number): Failure {
  return { verdict: notRun, reason, detail, ...(retryMs === undefined ? {} : { retryAfterMs: retryMs }) }
}

export const fenced = refusal('sliceFenced', 'The holder of the reservation is fenced.')
export const alreadySettled = refusal('sliceFenced', 'The reservation is already settled.')
export const seqReused = refusal('sliceFenced', 'Another request ran under the reservation.')
export const leaving = refusal('endpointLeaving', 'The endpoint is leaving.')
export const notOpen = refusal('noEndpoint', 'The endpoint has not read the fences yet.', retryAfterMs)
export const backEndDown = refusal('backEndFailed', 'The back end is down.', retryAfterMs)
export const fellOverBefore = refusal('backEndFailed', 'The back end fell over before the request ran.', retryAfterMs)
export const recordsFull = refusal('recordsFull', 'The endpoint holds too many billing records.', retryAfterMs)
export const bytesFull = refusal('endpointFull', 'Too many bytes of requests are waiting.', retryAfterMs)
export const deadlinePassed = refusal('deadlineExceeded', 'The deadline passed while the request waited.')
export const callerLeft = refusal('deadlineExceeded', 'The caller left before the request ran.')
export const malformedId = refusal('badRequest', 'The request id is malformed.')
export const malformedCall = refusal('badRequest', 'The call header is missing or malformed.')
export const unauthenticated = refusal('unauthenticated', 'The fleet secret is missing or wrong.')
export const requestTooLarge = refusal('requestTooLarge', 'The request body is too large.')

/** Answer to an attach for an id that this process has not seen. */
export const unknownRequest = refusal('endpointLost', 'This endpoint has not seen the request and will not run it.')

/** The same for an id that may have been sent to an earlier life of the process. */
export const otherLife: Failure = {
  verdict: mayHaveRun, reason: 'endpointLost', detail: 'An earlier life of this endpoint may have run the request.'
}

export const staleRequest: Failure = {
  verdict: mayHaveRun, reason: 'answerExpired', detail: 'The request id is too old to tell whether it ran.'
}

export const cancelled: Failure = { verdict: mayHaveRun, reason: 'deadlineExceeded', detail: 'The request was cancelled at the back end.' }

/** The answer ran, but the bytes that were asked for are gone. */
export const answerExpired: Failure = { verdict: { kind: 'ran' }, reason: 'answerExpired', detail: 'The request ran; its answer is no longer kept.' }

/** Refusal by the queue. */
export function failureOfOffer (offer: Extract<OfferResult, { kind: 'full' | 'tooLate' }>): Failure {
  return offer.kind === 'full'
    ? refusal('endpointFull', 'The queue of the endpoint is full.', Math.max(offer.retryAfterMs, shortestRetryMs))
    : refusal('deadlineExceeded', 'The request cannot be answered before its deadline.')
}
