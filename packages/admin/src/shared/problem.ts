/** Problem bodies of the administration API (RFC 9457). */
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
  notFound: 'There is no such thing',
  conflict: 'Somebody else made a change first, or the name is taken',
  invalidFleetText: 'The fleet text is refused',
  tooLarge: 'The request or the stored object is too large',
  notSupported: 'This process cannot do that',
  unavailable: 'The platform or another process cannot be reached',
  internal: 'The administration API failed'
}

type ProblemDetails = Partial<Pick<AdminProblem, 'version' | 'mayHaveApplied' | 'problems'>>

/** Builds a problem. `detail` never contains keys or secrets. */
export function problemOf (code: AdminProblemCode, detail: string, details: ProblemDetails = {}): AdminProblem {
  return { type: `urn:buckthorndrift:admin:${code}`, title: titles[code], status: statuses[code], detail, code, ...details }
}

/** `problemOf` as an `Err`. */
export function refuse (code: AdminProblemCode, detail: string, details: ProblemDetails = {}): Result<never, AdminProblem> {
  return Err(problemOf(code, detail, details))
}

/** Problem for a failed call to the platform. */
export function storeProblem (failure: StoreFailure): AdminProblem {
  switch (failure.kind) {
    case 'conflict':
      return problemOf('conflict', 'another change of the same object came first; read again and repeat', { version: failure.version })
    case 'unavailable':
      return problemOf('unavailable', `the platform did not answer: ${failure.detail}`, { mayHaveApplied: failure.mayHaveApplied })
    case 'rejected':
      return problemOf('tooLarge', `the platform rejected the write: ${failure.detail}`)
    default:
      return assertNever(failure)
  }
}
