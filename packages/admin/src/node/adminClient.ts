/** HTTP client of the administration API. */
import { Err, Ok, type Result } from 'ts-results-es'
import { request, type Dispatcher } from 'undici'
import type { z } from 'zod'
import { operations, type CallInputOf, type Operation, type OperationName, type OutputOf } from '../shared/operations.ts'
import { adminProblemSchema, type AdminProblem } from '../shared/problem.ts'

export interface AdminClientOptions {
  /** Base URL of the administration listener. */
  readonly url: string
  readonly key: string
  /** Timeout of one call. Reports over long time ranges are the slowest calls. */
  readonly timeoutMs: number
  readonly dispatcher?: Dispatcher
}

export type AdminCallFailure =
  /** The API responded with a problem body. */
  | { readonly kind: 'problem', readonly problem: AdminProblem }
  /** No response, or one that does not match the API. The operation may have taken effect. */
  | { readonly kind: 'unreachable', readonly detail: string }

export interface AdminClient {
  call<Name extends OperationName> (name: Name, input: CallInputOf<Name>): Promise<Result<OutputOf<Name>, AdminCallFailure>>
}

type AnyOperation = Operation<z.ZodObject, z.ZodObject, z.ZodObject, z.ZodType>
type Input = Readonly<Record<string, unknown>>

function pickFields (schema: z.ZodObject | undefined, input: Input): Readonly<Record<string, unknown>> {
  const names = Object.keys(schema?.shape ?? {})
  return Object.fromEntries(names.flatMap(name => input[name] === undefined ? [] : [[name, input[name]]]))
}

function buildUrl (base: string, operation: AnyOperation, input: Input): string {
  const path = operation.path.replaceAll(/\{(\w+)\}/g, (_, name: string) => encodeURIComponent(String(input[name])))
  const query = new URLSearchParams(Object.entries(pickFields(operation.query, input)).map(([name, value]): [string, string] => [name, String(value)]))
  return `${base.replace(/\/+$/, '')}${path}${query.size > 0 ? `?${query.toString()}` : ''}`
}

function describeError (error: unknown): string {
  if (!(error instanceof Error)) return String(error)
  const { code } = error as { code?: unknown }
  return error.message !== '' ? error.message : typeof code === 'string' ? code : error.name
}

/** Creates a client. Its calls report every failure as an `Err` and never reject. */
export function createAdminClient (options: AdminClientOptions): AdminClient {
  async function send (operation: AnyOperation, input: Input): Promise<Result<unknown, AdminCallFailure>> {
    const body = operation.body === undefined ? undefined : JSON.stringify(pickFields(operation.body, input))
    const response = await request(buildUrl(options.url, operation, input), {
      method: operation.method,
      headers: { authorization: `Bearer ${options.key}`, ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
      ...(body === undefined ? {} : { body }),
      ...(options.dispatcher === undefined ? {} : { dispatcher: options.dispatcher }),
      signal: AbortSignal.timeout(options.timeoutMs)
    })
    const value: unknown = await response.body.json()
    if (response.statusCode === operation.status) return Ok(operation.output.parse(value))
    const problem = adminProblemSchema.safeParse(value)
    return problem.success
      ? Err({ kind: 'problem', problem: problem.data })
      : Err({ kind: 'unreachable', detail: `status ${response.statusCode} without a problem body; the URL is not the administration listener of a router` })
  }

  return {
    async call<Name extends OperationName> (name: Name, input: CallInputOf<Name>) {
      try {
        const result = await send(operations[name] as unknown as AnyOperation, input)
        return result as Result<OutputOf<Name>, AdminCallFailure>
      } catch (error) {
        return Err({ kind: 'unreachable' as const, detail: describeError(error) })
      }
    }
  }
}
