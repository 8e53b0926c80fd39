/** The operations of the administration API. The server, the client and the OpenAPI description are derived from this table. */
import { z } from 'zod'
import type { AdminProblemCode } from './problem.ts'
import {
  billingEntry, budgetFigures, budgetName, createdKey, fleetChange, follower, keyId, memberStatus, operationId,
  organisationDetails, organisationName, organisationSummary, pageOf, pageQuery, recordQuery, refusalEntry,
  rolloutStatus, serviceStatus, storedFleet, tokens
} from './schemas.ts'
import { fleetProblemSchema } from './problem.ts'

export interface Operation<Params extends z.ZodObject, Query extends z.ZodObject, Body extends z.ZodObject, Output extends z.ZodType> {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  /** Path with parameters in braces. */
  readonly path: string
  readonly summary: string
  readonly params: Params
  readonly query: Query
  /** Absent when the request has no body. */
  readonly body?: Body
  /** Status of a successful response. */
  readonly status: 200 | 201
  readonly output: Output
  /** Possible problems besides those that every operation can have. */
  readonly problems: readonly AdminProblemCode[]
}

const noFields = z.object({})
type NoFields = typeof noFields

function operation<Output extends z.ZodType, Params extends z.ZodObject = NoFields, Query extends z.ZodObject = NoFields, Body extends z.ZodObject = NoFields> (
  method: Operation<Params, Query, Body, Output>['method'],
  path: string,
  summary: string,
  output: Output,
  parts: { readonly params?: Params, readonly query?: Query, readonly body?: Body, readonly status?: 201, readonly problems?: readonly AdminProblemCode[] } = {}
): Operation<Params, Query, Body, Output> {
  return {
    method,
    path,
    summary,
    output,
    params: parts.params ?? noFields as unknown as Params,
    query: parts.query ?? noFields as unknown as Query,
    ...(parts.body === undefined ? {} : { body: parts.body }),
    status: parts.status ?? 200,
    problems: parts.problems ?? []
  }
}

const organisationParams = z.object({ organisation: organisationName })
const budgetParams = organisationParams.extend({ budget: budgetName })
const text = z.string().describe('The fleet text, YAML.')

export const operations = {
  readFleet: operation('GET', '/fleet', 'Read the fleet text and its version', storedFleet),
  checkFleet: operation('POST', '/fleet/check', 'Check a fleet text without applying it', z.object({
    version: z.int().min(0).describe('Version of the text that the changes are relative to.'),
    problems: z.array(fleetProblemSchema),
    changes: z.array(fleetChange).describe('Empty when the text is refused.')
  }), { body: z.object({ text }) }),
  applyFleet: operation('PUT', '/fleet', 'Apply a fleet text if nobody changed it since it was read', z.object({
    version: z.int(),
    changes: z.array(fleetChange)
  }), {
    body: z.object({ text, expectedVersion: z.int().min(0).describe('Version that the operator read; 0 when no text was applied.') }),
    problems: ['invalidFleetText', 'conflict']
  }),
  listFollowers: operation('GET', '/fleet/followers', 'List the version of the fleet text that each process holds', z.object({
    version: z.int().min(0),
    followers: z.array(follower)
  })),

  listOrganisations: operation('GET', '/organisations', 'List organisations', pageOf(organisationSummary), { query: pageQuery }),
  createOrganisation: operation('POST', '/organisations', 'Create an organisation', organisationDetails, {
    body: z.object({ name: organisationName }), status: 201, problems: ['conflict', 'tooLarge']
  }),
  readOrganisation: operation('GET', '/organisations/{organisation}', 'Read an organisation with its keys and budget names', organisationDetails, {
    params: organisationParams, problems: ['notFound']
  }),
  createKey: operation('POST', '/organisations/{organisation}/keys', 'Create an API key; it is shown only in this response', createdKey, {
    params: organisationParams, body: z.object({ budget: budgetName }), status: 201, problems: ['notFound', 'conflict', 'tooLarge']
  }),
  revokeKey: operation('DELETE', '/organisations/{organisation}/keys/{keyId}', 'Revoke an API key', z.object({ keyId }), {
    params: organisationParams.extend({ keyId }), problems: ['notFound', 'conflict']
  }),
  listBudgets: operation('GET', '/organisations/{organisation}/budgets', 'Read the budgets of an organisation', z.object({ items: z.array(budgetFigures) }), {
    params: organisationParams, problems: ['notFound']
  }),
  createBudget: operation('POST', '/organisations/{organisation}/budgets', 'Create a budget', budgetFigures, {
    params: organisationParams,
    body: z.object({ name: budgetName, grantedTokens: tokens, operationId }),
    status: 201,
    problems: ['notFound', 'conflict', 'tooLarge']
  }),
  readBudget: operation('GET', '/organisations/{organisation}/budgets/{budget}', 'Read a budget', budgetFigures, {
    params: budgetParams, problems: ['notFound']
  }),
  topUpBudget: operation('POST', '/organisations/{organisation}/budgets/{budget}/top-ups', 'Grant further tokens to a budget, once per operation id', budgetFigures, {
    params: budgetParams, body: z.object({ tokens, operationId }), problems: ['notFound', 'conflict']
  }),

  listServices: operation('GET', '/services', 'List services, their versions and endpoint processes', z.object({ items: z.array(serviceStatus) })),
  listMembers: operation('GET', '/members', 'List the processes of the fleet', z.object({ items: z.array(memberStatus) })),
  drainMember: operation('POST', '/members/{member}/drain', 'Start a graceful shutdown of a process', z.object({ member: z.string() }), {
    params: z.object({ member: z.string().min(1).max(200) }), problems: ['notFound', 'notSupported']
  }),
  listRollouts: operation('GET', '/rollouts', 'List rollouts', z.object({ items: z.array(rolloutStatus) })),
  listRefusals: operation('GET', '/refusals', 'List refused requests: which organisation, when, and why', pageOf(refusalEntry), {
    query: recordQuery.extend({ organisation: organisationName.optional().describe('When absent, refusals of all organisations and of unknown callers.'), reason: z.string().max(60).optional() }), problems: ['tooLarge']
  }),
  listBilling: operation('GET', '/billing', 'Billing records of an organisation, each request once', pageOf(billingEntry), {
    query: recordQuery, problems: ['tooLarge']
  })
}

export type Operations = typeof operations
export type OperationName = keyof Operations
type BodyOf<Name extends OperationName> = Operations[Name] extends Operation<z.ZodObject, z.ZodObject, infer Body, z.ZodType> ? Body : NoFields

/** Type of the fields that a schema returns; `InputFields` is the type of those that it accepts. For an object without fields Zod infers `Record<string, never>`, whose intersection with other types has no values; `unknown` replaces it. */
type OutputFields<Schema extends z.ZodObject> = keyof Schema['shape'] extends never ? unknown : z.output<Schema>
type InputFields<Schema extends z.ZodObject> = keyof Schema['shape'] extends never ? unknown : z.input<Schema>

/** Parameters, query and body of a call in one object, after validation. */
export type InputOf<Name extends OperationName> =
  Readonly<OutputFields<Operations[Name]['params']> & OutputFields<Operations[Name]['query']> & OutputFields<BodyOf<Name>>>
/** Input of a call before validation; fields with defaults are optional. */
export type CallInputOf<Name extends OperationName> =
  Readonly<InputFields<Operations[Name]['params']> & InputFields<Operations[Name]['query']> & InputFields<BodyOf<Name>>>
/** Body of a successful response. */
export type OutputOf<Name extends OperationName> = Readonly<z.output<Operations[Name]['output']>>
