/** Reads what an endpoint process says in headers, trailers and problem bodies. */
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

/** The settlement in trailers, or in the headers of a response without a body; `undefined` when there is none. */
export function settlementOf (fields: IncomingHttpHeaders): Settlement | undefined {
  return parseJson(settlementSchema, fields[settlementTrailer])
}

/** The failure in a problem body. A body that cannot be read proves nothing about the back end. */
export function failureOf (text: string): Failure {
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
