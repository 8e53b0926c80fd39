/** Problem bodies (RFC 9457) for callers. */
import type { ServerResponse } from 'node:http'
import { httpStatusOf, type Failure } from '@buckthorndrift/policy'
import { requestIdHeader, verdictHeader, type Problem } from '@buckthorndrift/protocol'

export const problemType = 'application/problem+json'

/** Titles are the same for all problems of a reason, so the reason in words serves. */
function titleOf (reason: string): string {
  const words = reason.replaceAll(/[A-Z]/g, letter => ` ${letter.toLowerCase()}`)
  return words.charAt(0).toUpperCase() + words.slice(1)
}

/** Builds the body; `requestId` is the refusal's id. */
export function problemOf (failure: Failure, requestId: string): Problem {
  return {
    type: `urn:buckthorndrift:problem:${failure.reason}`,
    title: titleOf(failure.reason),
    status: httpStatusOf(failure.reason),
    detail: failure.detail,
    verdict: failure.verdict.kind,
    reason: failure.reason,
    requestId,
    ...(failure.retryAfterMs === undefined ? {} : { retryAfterMs: failure.retryAfterMs })
  }
}

/** Answers with a problem body. `Retry-After` is in whole seconds, rounded up. */
export function sendProblem (response: ServerResponse, problem: Problem): void {
  const body = Buffer.from(JSON.stringify(problem))
  response.statusCode = problem.status
  response.setHeader('content-type', problemType)
  response.setHeader('content-length', body.length)
  response.setHeader(verdictHeader, problem.verdict)
  response.setHeader(requestIdHeader, problem.requestId)
  if (problem.retryAfterMs !== undefined) response.setHeader('retry-after', Math.max(1, Math.ceil(problem.retryAfterMs / 1000)))
  response.end(body)
}
