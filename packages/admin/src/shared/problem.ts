/** Problem details (RFC 9457) in error responses of the administration API. */
import { Err, type Result } from 'ts-results-es'
import { z } from 'zod'
import { assertNever } from '@buckthorndrift/kernel'
import type { StoreFailure } from '@buckthorndrift/coordination'

export const fleetProblemSchema = z.object({
  line: z.int().describe('Counted from 1.'),
  column: z.int().describe('Counted from 1.'),
  reason: z.string()
})

const codes = ['badRequest', 'unauthenticated', 'notFound', 'conflict', 'invalidFleetText', 'tooLarge', 'notSupported', 'unavailable', 'internal'] as const

export const adminProblemSchema = z.object({
  type: z.string(),
  title: z.string(),
  status: z.int(),
  detail: z.string().describe('What is wrong and what to do about it.'),
  code: z.enum(codes),
  version: z.int().optional().describe('Present version, on a conflict.'),
  mayHaveApplied: z.boolean().optional().describe('True when the change may have taken effect although its outcome is unknown.'),
  problems: z.array(fleetProblemSchema).optional().describe('Every reason for which a fleet text is refused.')
})
export type AdminProblem = Readonly<z.infer<typeof adminProblemSchema>>
export type AdminProblemCode = AdminProblem['code']

const statuses: Readonly<Record<AdminProblemCode, number>> = {
  badRequest: 400,
  unauthenticated: 401,
  notFound: 404,
  conflict: 409,
  invalidFleetText: 422,
  tooLarge: 413,
  notSupported: 501,
  unavailable: 503,
  internal: 500
}

const titles: Readonly<Record<AdminProblemCode, string>> = {
  badRequest: 'The request is invalid',
  unauthenticated: 'The administration key is missing or unknown',
  notFound: 'The resource does not exist',
  conflict: 'The change conflicts with an earlier one, or the name is taken',
  invalidFleetText: 'The fleet text is invalid',
  tooLarge: 'The request or the stored object is too large',
  notSupported: 'The process does not support the operation',
  unavailable: 'The platform or another process cannot be reached',
  internal: 'The administration API failed'
}

type ProblemDetails = Partial<Pick<AdminProblem, 'version' | 'mayHaveApplied' | 'problems'>>

/** Creates a problem. `detail` must not contain keys or secrets. */
export function problemOf (code: AdminProblemCode, detail: string, details: ProblemDetails = {}): AdminProblem {
  return { type: `urn:buckthorndrift:admin:${code}`, title: titles[code], status: statuses[code], detail, code, ...details }
}

/** `problemOf` as an `Err`. */
export function refuse (code: AdminProblemCode, detail: string, details: ProblemDetails = {}): Result<never, AdminProblem> {
  return Err(problemOf(code, detail, details))
}

/** Converts a failed call to the platform into a problem. */
export function storeProblem (failure: StoreFailure): AdminProblem {
  switch (failure.kind) {
    case 'conflict':
      return problemOf('conflict', 'another change of the same object came first; read it again and repeat the call', { version: failure.version })
    case 'unavailable':
      return problemOf('unavailable', `the platform did not respond: ${failure.detail}`, { mayHaveApplied: failure.mayHaveApplied })
    case 'rejected':
      return problemOf('tooLarge', `the platform rejected the write: ${failure.detail}`)
    default:
      return assertNever(failure)
  }
}
