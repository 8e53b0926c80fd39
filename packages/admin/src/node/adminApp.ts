/** h3 application that serves the administration API: routing, authentication, input validation and problem responses. */
import { assertBodySize, H3, HTTPError, type H3Event } from 'h3'
import type { z } from 'zod'
import type { Log } from '@buckthorndrift/kernel'
import type { AdminKey } from '../shared/adminKeys.ts'
import { createOpenApi } from '../shared/openApi.ts'
import { operations, type Operation, type OperationName } from '../shared/operations.ts'
import { problemOf, type AdminProblem } from '../shared/problem.ts'
import { findOperator } from './adminAuthentication.ts'
import type { Handlers } from './handlers/handlers.ts'

/** Large enough for a fleet text of the maximum size, 256 KiB, even if every character is escaped in JSON. */
export const maxBodyBytes = 2 * 1024 * 1024

export interface AdminAppOptions {
  readonly keys: readonly AdminKey[]
  readonly handlers: Handlers
  readonly log: Log
}

type AnyOperation = Operation<z.ZodObject, z.ZodObject, z.ZodObject, z.ZodType>

/** Thrown while a request is parsed; the error handler responds with its problem. */
class ProblemError extends Error {
  readonly problem: AdminProblem

  constructor (problem: AdminProblem) {
    super(problem.detail)
    this.problem = problem
  }
}

function problemResponse (problem: AdminProblem): Response {
  const headers = { 'content-type': 'application/problem+json' }
  // The rest of an oversized body stays unread, so the connection cannot serve another request.
  return Response.json(problem, { status: problem.status, headers: problem.code === 'tooLarge' ? { ...headers, connection: 'close' } : headers })
}

/** Validates the path, the query or the body of a request. Unknown names are rejected: ignoring a mistyped filter would return unfiltered results. */
function parsePart (schema: z.ZodObject, value: unknown, location: string): Readonly<Record<string, unknown>> {
  const parsed = schema.strict().safeParse(value)
  if (parsed.success) return parsed.data
  const problems = parsed.error.issues.map(issue => `${[location, ...issue.path].join('.')}: ${issue.message}`)
  throw new ProblemError(problemOf('badRequest', problems.join('; ')))
}

async function readJson (event: H3Event): Promise<unknown> {
  assertBodySize(event, maxBodyBytes)
  const text = await event.req.text()
  try {
    return JSON.parse(text)
  } catch {
    throw new ProblemError(problemOf('badRequest', 'the request body is not valid JSON'))
  }
}

async function parseInput (operation: AnyOperation, event: H3Event): Promise<Readonly<Record<string, unknown>>> {
  const params = parsePart(operation.params, decodePathParams(event), 'path')
  const query = parsePart(operation.query, Object.fromEntries(event.url.searchParams), 'query')
  const body = operation.body === undefined ? {} : parsePart(operation.body, await readJson(event), 'body')
  return { ...params, ...query, ...body }
}

function decodePathParams (event: H3Event): Readonly<Record<string, string>> {
  try {
    return Object.fromEntries(Object.entries(event.context.params ?? {}).map(([name, value]) => [name, decodeURIComponent(value)]))
  } catch {
    throw new ProblemError(problemOf('badRequest', 'the path contains an invalid percent-encoding'))
  }
}

function toProblem (error: unknown, log: Log): AdminProblem {
  const cause = error instanceof HTTPError ? error.cause ?? error : error
  if (cause instanceof ProblemError) return cause.problem
  if (error instanceof HTTPError && !error.unhandled) {
    if (error.status === 404) return problemOf('notFound', 'no operation has this method and path; see /openapi.json')
    if (error.status === 413) return problemOf('tooLarge', `the request body is larger than ${maxBodyBytes} bytes`)
    if (error.status < 500) return problemOf('badRequest', error.message)
  }
  log.event('adminCallFailed', { error: cause instanceof Error ? cause.message : String(cause) })
  return problemOf('internal', 'the call failed unexpectedly; the log of the router has the cause')
}

/** Creates the application. Every route requires an administration key, except the OpenAPI description. */
export function createAdminApp (options: AdminAppOptions): H3 {
  const { handlers, keys, log } = options
  const description = createOpenApi()
  const app = new H3({ silent: true, onError: error => problemResponse(toProblem(error, log)) })

  app.get('/openapi.json', () => Response.json(description))
  for (const [name, operation] of Object.entries(operations as Readonly<Record<string, AnyOperation>>)) {
    const handle = handlers[name as OperationName] as Handlers['createBudget']
    app.on(operation.method, operation.path.replaceAll(/\{(\w+)\}/g, ':$1'), async event => {
      const operator = findOperator(keys, event.req.headers.get('authorization'))
      if (operator === undefined) {
        log.event('adminKeyRejected', { operation: name, address: event.req.ip ?? '' })
        return problemResponse(problemOf('unauthenticated', 'send the header Authorization: Bearer <administration key>'))
      }
      const input = await parseInput(operation, event)
      const result = await handle(input as Parameters<typeof handle>[0], operator)
      return result.isOk()
        ? Response.json(result.value, { status: operation.status })
        : problemResponse(result.error)
    })
  }
  return app
}
