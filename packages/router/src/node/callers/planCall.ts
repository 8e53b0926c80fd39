/** Parses and validates a caller's request into a call plan, or fails with the reason for its refusal. */
import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { Ok, type Result } from 'ts-results-es'
import { fail, matchCall, notRun, type DirectoryKey, type Failure, type FleetConfig, type ServiceConfig } from '@buckthorndrift/policy'
import type { CallerSettings } from '../../shared/callerSettings.ts'
import { modelRoute, type CallPlan } from '../../shared/callPlan.ts'
import { headersForBackEnd } from './callerHeaders.ts'
import { limitChat, parseChat } from './modelBody.ts'
import { readBody } from './readBody.ts'

export interface PlanInput {
  readonly request: IncomingMessage
  readonly owner: DirectoryKey
  readonly fleet: FleetConfig
  /** Monotonic time in ms when the request arrived. */
  readonly arrivedMs: number
  readonly settings: CallerSettings
  /** Called with the name of the service as soon as it is known. */
  readonly onService: (service: string) => void
}

interface RequestOptions {
  readonly deadlineAtMs: number
  readonly priority: 'interactive' | 'batch'
  readonly keyHash: string | undefined
}

const maxKeyLength = 255

function hashParts (...parts: readonly (string | Buffer)[]): string {
  const hash = createHash('sha256')
  // Each part is preceded by its length, so that different lists of parts never have the same hash input.
  for (const part of parts) hash.update(`${Buffer.byteLength(part)}:`).update(part)
  return hash.digest('hex')
}

function parseRequestOptions ({ request, owner, arrivedMs, settings }: PlanInput): Result<RequestOptions, Failure> {
  const { 'x-deadline-ms': deadline, 'x-priority': priority, 'idempotency-key': key } = request.headers
  const deadlineMs = deadline === undefined ? settings.defaultDeadlineMs : Number(deadline)
  if (!(deadlineMs > 0)) return fail(notRun, 'badRequest', 'header X-Deadline-Ms must be a number of milliseconds above 0')
  if (priority !== undefined && priority !== 'batch' && priority !== 'interactive') {
    return fail(notRun, 'badRequest', 'header X-Priority must be "interactive" or "batch"')
  }
  const isKeyValid = key === undefined || (typeof key === 'string' && key !== '' && key.length <= maxKeyLength)
  if (!isKeyValid) return fail(notRun, 'badRequest', `header Idempotency-Key must have 1 to ${maxKeyLength} characters`)
  return Ok({
    deadlineAtMs: arrivedMs + Math.min(deadlineMs, settings.maxDeadlineMs),
    priority: priority === 'batch' ? 'batch' : 'interactive',
    keyHash: key === undefined ? undefined : hashParts(owner.organisation, key as string)
  })
}

/** Plans `POST /v1/chat/completions`. Model calls have no effect besides their response, so they are idempotent. */
export async function planModelCall (input: PlanInput): Promise<Result<CallPlan, Failure>> {
  const options = parseRequestOptions(input)
  if (options.isErr()) return options
  const body = await readBody(input.request, input.settings.maxBodyBytes)
  if (body.isErr()) return body
  const chat = parseChat(body.value)
  if (chat.isErr()) return chat
  const service = findService(input.fleet, chat.value.model)
  if (service?.kind !== 'model') return fail(notRun, 'unknownService', `there is no model service "${chat.value.model}"`)
  input.onService(service.name)
  const limitedChat = limitChat(chat.value, service.maxOutputTokens, options.value.priority)
  return Ok({
    ...input.owner,
    ...options.value,
    service,
    route: modelRoute,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: headersForBackEnd(input.request.headers),
    body: limitedChat.body,
    idempotent: true,
    maxTokens: limitedChat.maxTokens,
    priceTokens: undefined,
    contentHash: hashParts(service.name, modelRoute, limitedChat.content),
    prefix: hashParts(input.owner.organisation, limitedChat.prefix)
  })
}

/** Plans a call of a plain service; `path` is the part of the URL after the service name, with leading slash and query. */
export async function planServiceCall (input: PlanInput, serviceName: string, path: string): Promise<Result<CallPlan, Failure>> {
  const options = parseRequestOptions(input)
  if (options.isErr()) return options
  const service = findService(input.fleet, serviceName)
  if (service?.kind !== 'plain') return fail(notRun, 'unknownService', `there is no plain service "${serviceName}"`)
  input.onService(service.name)
  const method = input.request.method ?? 'GET'
  const call = matchCall(service.calls, method, path.split('?')[0] ?? path)
  if (call === undefined) return fail(notRun, 'unknownCall', `service "${service.name}" has no such call`)
  const body = await readBody(input.request, input.settings.maxBodyBytes)
  if (body.isErr()) return body
  return Ok({
    ...input.owner,
    ...options.value,
    service,
    route: call.route,
    method,
    path,
    headers: headersForBackEnd(input.request.headers),
    body: body.value,
    idempotent: call.idempotent,
    maxTokens: call.priceTokens,
    priceTokens: call.priceTokens,
    contentHash: hashParts(service.name, method, path, body.value),
    prefix: undefined
  })
}

/** Looks up a service by name. Only own properties count, because callers choose the name and could pass that of an inherited one, such as `constructor`. */
function findService (fleet: FleetConfig, name: string): ServiceConfig | undefined {
  return Object.hasOwn(fleet.services, name) ? fleet.services[name] : undefined
}
