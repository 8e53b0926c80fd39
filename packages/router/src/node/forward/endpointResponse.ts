/** Parses settlements and failures in the responses of endpoint processes. */
import type { IncomingHttpHeaders } from 'node:http'
import type { z } from 'zod'
import { mayHaveRun, type Failure, type FailureReason } from '@buckthorndrift/policy'
import { problemSchema, settlementSchema, settlementTrailer, type Settlement } from '@buckthorndrift/protocol'

function parseJson<Schema extends z.ZodType> (schema: Schema, text: unknown): z.infer<Schema> | undefined {
  if (typeof text !== 'string') return undefined
  try {
    const parsed = schema.safeParse(JSON.parse(text))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

/** Parses the settlement in trailers, or in the headers of a response without a body. `undefined` when it is missing or malformed. */
export function parseSettlement (fields: IncomingHttpHeaders): Settlement | undefined {
  return parseJson(settlementSchema, fields[settlementTrailer])
}

/** Parses a problem body. A malformed one does not tell whether the back end ran the request, so its verdict is `mayHaveRun`. */
export function parseFailure (text: string): Failure {
  const problem = parseJson(problemSchema, text)
  if (problem === undefined) {
    return { verdict: mayHaveRun, reason: 'backEndFailed', detail: 'the endpoint answered with a failure that cannot be read' }
  }
  return {
    verdict: { kind: problem.verdict },
    reason: problem.reason as FailureReason,
    detail: problem.detail,
    ...(problem.retryAfterMs === undefined ? {} : { retryAfterMs: problem.retryAfterMs })
  }
}
