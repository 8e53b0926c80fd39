/** Generates the OpenAPI 3.1 description of the administration API from the table of operations. */
import { z } from 'zod'
import { operations, type Operation } from './operations.ts'
import { adminProblemSchema, problemOf, type AdminProblemCode } from './problem.ts'

type JsonObject = Readonly<Record<string, unknown>>
type AnyOperation = Operation<z.ZodObject, z.ZodObject, z.ZodObject, z.ZodType>

const commonProblems: readonly AdminProblemCode[] = ['badRequest', 'unauthenticated', 'unavailable', 'internal']

function schemaOf (schema: z.ZodType, io: 'input' | 'output'): JsonObject {
  const { $schema: _, ...rest } = z.toJSONSchema(schema, { io, unrepresentable: 'any' })
  return rest
}

function parametersOf (schema: z.ZodObject, location: 'path' | 'query'): readonly JsonObject[] {
  return Object.entries(schema.shape).map(([name, type]) => ({
    name,
    in: location,
    required: !type.safeParse(undefined).success,
    // The server converts query values from the strings in the URL. The description gives the type after conversion.
    schema: schemaOf(type, 'output')
  }))
}

function content (schema: JsonObject, mediaType = 'application/json'): JsonObject {
  return { [mediaType]: { schema } }
}

function problemResponses (codes: readonly AdminProblemCode[]): JsonObject {
  return Object.fromEntries(codes.map(code => {
    const { status, title } = problemOf(code, '')
    return [String(status), { description: `${title} (\`${code}\`).`, content: content({ $ref: '#/components/schemas/Problem' }, 'application/problem+json') }]
  }))
}

function describeOperation (name: string, operation: AnyOperation): JsonObject {
  return {
    operationId: name,
    summary: operation.summary,
    parameters: [...parametersOf(operation.params, 'path'), ...parametersOf(operation.query, 'query')],
    ...(operation.body === undefined ? {} : { requestBody: { required: true, content: content(schemaOf(operation.body, 'input')) } }),
    responses: {
      [String(operation.status)]: { description: 'Done.', content: content(schemaOf(operation.output, 'output')) },
      ...problemResponses([...commonProblems, ...(operation.body === undefined ? [] : ['tooLarge' as const]), ...operation.problems])
    }
  }
}

/** Returns the description that is served at `/openapi.json`. */
export function createOpenApi (): JsonObject {
  const paths: Record<string, Record<string, unknown>> = {}
  for (const [name, operation] of Object.entries(operations as Readonly<Record<string, AnyOperation>>)) {
    paths[operation.path] = { ...paths[operation.path], [operation.method.toLowerCase()]: describeOperation(name, operation) }
  }
  return {
    openapi: '3.1.0',
    info: {
      title: 'buckthorndrift administration API',
      version: '0.1.0',
      description: 'Every router serves this API on a separate listener. Calls carry `Authorization: Bearer <administration key>`.'
    },
    security: [{ administrationKey: [] }],
    paths,
    components: {
      securitySchemes: { administrationKey: { type: 'http', scheme: 'bearer' } },
      schemas: { Problem: schemaOf(adminProblemSchema, 'output') }
    }
  }
}
