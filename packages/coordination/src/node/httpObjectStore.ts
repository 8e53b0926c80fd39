/** HTTP client of the platform's object API. */
import { Agent, request, type Dispatcher } from 'undici'
import { Err, Ok, type Result } from 'ts-results-es'
import { z } from 'zod'
import type { TimerService } from '@buckthorndrift/kernel'
import type { ObjectStore, StoreFailure } from '../shared/objectStore.ts'

export interface HttpObjectStoreOptions {
  /** Base URL of the object API, without a trailing slash. */
  readonly url: string
  readonly timers: TimerService
  /** Returns a random number in [0, 1), for the jitter of retries; `Math.random` by default. */
  readonly random?: () => number
  /** Time limit of one attempt; 2000 ms by default. A watch call may take `waitMs` longer. */
  readonly timeoutMs?: number
  /** Time limit of a connection attempt; 1000 ms by default. */
  readonly connectTimeoutMs?: number
  /** Number of retries of a failed read; 2 by default. Writes and watches are never retried by this client. */
  readonly readRetries?: number
}

export interface HttpObjectStore extends ObjectStore {
  /** Aborts calls in flight, which fail as `unavailable`, and closes the connections. */
  close (): Promise<void>
}

const versionSchema = z.object({ version: z.number().int().nonnegative() })
const objectSchema = z.object({ name: z.string(), version: z.number().int().positive(), value: z.unknown() })
const listSchema = z.object({ objects: z.array(z.object({ name: z.string(), version: z.number().int() })) })
const revisionSchema = z.object({ revision: z.number().int().nonnegative() })
const watchSchema = revisionSchema.extend({
  changes: z.array(z.object({ name: z.string(), version: z.number().int(), isRemoved: z.boolean() }))
})
const vmsSchema = z.object({ vms: z.array(z.object({ vm: z.string(), state: z.enum(['live', 'leaving']) })) })

/** Codes of errors that occur before any byte of the request is sent, so that a write cannot have taken effect. */
const connectErrors = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'])

/** Delay before the first retry of a read; doubles with each retry. */
const initialRetryDelayMs = 100
/** Longest `Retry-After` that a read waits for. If the response asks for a longer delay, the read fails without a retry. */
const maxRetryAfterMs = 1000

interface ApiResponse {
  readonly status: number
  readonly body: unknown
  readonly retryAfterMs: number | undefined
}

interface Attempt {
  readonly result: Result<ApiResponse, StoreFailure>
  readonly retryAfterMs: number | undefined
}

function unavailable (detail: string, mayHaveApplied: boolean): StoreFailure {
  return { kind: 'unavailable', mayHaveApplied, detail }
}

function describeError (error: unknown): string {
  if (!(error instanceof Error)) return String(error)
  return 'code' in error ? `${String(error.code)}: ${error.message}` : error.message
}

function isConnectError (error: unknown): boolean {
  return error instanceof Error && 'code' in error && connectErrors.has(String(error.code))
}

/** Creates a client, which connects on the first call. */
export function createHttpObjectStore (options: HttpObjectStoreOptions): HttpObjectStore {
  const { url, timers } = options
  const timeoutMs = options.timeoutMs ?? 2000
  const random = options.random ?? Math.random
  const agent = new Agent({ connect: { timeout: options.connectTimeoutMs ?? 1000 } })

  async function send (method: Dispatcher.HttpMethod, path: string, extra: { readonly headers?: Record<string, string>, readonly body?: string, readonly waitMs?: number }): Promise<Result<ApiResponse, StoreFailure>> {
    const isWrite = method !== 'GET'
    const attemptTimeoutMs = timeoutMs + (extra.waitMs ?? 0)
    try {
      const response = await request(`${url}${path}`, {
        method,
        headers: extra.headers ?? {},
        ...(extra.body === undefined ? {} : { body: extra.body }),
        dispatcher: agent,
        // The signal bounds the whole attempt; undici's own timeouts would abort a long watch.
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: AbortSignal.timeout(attemptTimeoutMs)
      })
      const text = await response.body.text()
      return Ok({ status: response.statusCode, body: parseJson(text), retryAfterMs: parseRetryAfter(response.headers['retry-after']) })
    } catch (error) {
      return Err(unavailable(describeError(error), isWrite && !isConnectError(error)))
    }
  }

  /** Turns responses that say the API cannot serve the call now into `unavailable`; callers interpret the others. */
  function checkAvailability (response: ApiResponse, isWrite: boolean): Result<ApiResponse, StoreFailure> {
    if (response.status === 429) return Err(unavailable('the rate limit of the object API is exceeded', false))
    // A 5xx may come from a proxy that timed out while the API was still applying the write, so the write may have taken effect.
    if (response.status >= 500) return Err(unavailable(`the object API responded with status ${response.status}`, isWrite))
    return Ok(response)
  }

  async function attempt (method: Dispatcher.HttpMethod, path: string, extra: Parameters<typeof send>[2] = {}): Promise<Attempt> {
    const sent = await send(method, path, extra)
    if (sent.isErr()) return { result: sent, retryAfterMs: undefined }
    return { result: checkAvailability(sent.value, method !== 'GET'), retryAfterMs: sent.value.retryAfterMs }
  }

  async function get (path: string): Promise<Result<ApiResponse, StoreFailure>> {
    for (let count = 0; ; count += 1) {
      const { result, retryAfterMs } = await attempt('GET', path)
      const isLast = count >= (options.readRetries ?? 2) || (retryAfterMs ?? 0) > maxRetryAfterMs
      if (result.isOk() || isLast) return result
      const pauseMs = (retryAfterMs ?? 0) + initialRetryDelayMs * 2 ** count * (0.5 + random())
      await new Promise<void>(resolve => { timers.after(pauseMs, resolve) })
    }
  }

  function parseWriteResponse (response: ApiResponse): Result<number, StoreFailure> {
    const parsed = versionSchema.safeParse(response.body)
    if (response.status === 200) return parsed.success ? Ok(parsed.data.version) : Err(unavailable('malformed response to a write', true))
    if (response.status === 412) return parsed.success ? Err({ kind: 'conflict', version: parsed.data.version }) : Err(unavailable('malformed response to a write', true))
    return Err(toRejection(response))
  }

  async function writeConditionally (method: 'PUT' | 'DELETE', name: string, expectedVersion: number, body?: string): Promise<Result<number, StoreFailure>> {
    const headers = {
      'content-type': 'application/json',
      ...(expectedVersion === 0 ? { 'if-none-match': '*' } : { 'if-match': String(expectedVersion) })
    }
    const { result } = await attempt(method, objectPath(name), { headers, ...(body === undefined ? {} : { body }) })
    return result.andThen(parseWriteResponse)
  }

  return {
    async read (name) {
      const result = await get(objectPath(name))
      return result.andThen(response => response.status === 404 ? Ok(undefined) : parseBody(objectSchema, response))
    },
    write: (name, value, expectedVersion) => writeConditionally('PUT', name, expectedVersion, JSON.stringify(value)),
    async remove (name, expectedVersion) {
      return (await writeConditionally('DELETE', name, expectedVersion)).map(() => undefined)
    },
    async list (prefix, listOptions = {}) {
      const query = new URLSearchParams({ prefix })
      if (listOptions.after !== undefined) query.set('after', listOptions.after)
      if (listOptions.limit !== undefined) query.set('limit', String(listOptions.limit))
      const result = await get(`/objects?${query.toString()}`)
      return result.andThen(response => parseBody(listSchema, response))
        .map(({ objects }) => objects.map(object => ({ ...object, isRemoved: false })))
    },
    async watch (prefix, revision, waitMs) {
      const query = new URLSearchParams({ prefix, since: String(revision), waitMs: String(waitMs) })
      const { result } = await attempt('GET', `/watch?${query.toString()}`, { waitMs })
      return result.andThen(response => response.status === 410
        ? parseBody(revisionSchema, { ...response, status: 200 }).map(({ revision: present }) => ({ revision: present, changes: [], isReset: true }))
        : parseBody(watchSchema, response))
    },
    async vms () {
      const result = await get('/vms')
      return result.andThen(response => parseBody(vmsSchema, response)).map(({ vms }) => vms)
    },
    close: () => agent.destroy()
  }
}

function objectPath (name: string): string {
  return `/objects/${encodeURIComponent(name)}`
}

function toRejection (response: ApiResponse): StoreFailure {
  const message = z.object({ message: z.string() }).safeParse(response.body)
  return { kind: 'rejected', detail: message.success ? message.data.message : `the object API responded with status ${response.status}` }
}

function parseBody<Schema extends z.ZodType> (schema: Schema, response: ApiResponse): Result<z.output<Schema>, StoreFailure> {
  if (response.status !== 200) return Err(toRejection(response))
  const parsed = schema.safeParse(response.body)
  return parsed.success ? Ok(parsed.data) : Err(unavailable('malformed response to a read', false))
}

function parseRetryAfter (header: string | string[] | undefined): number | undefined {
  const seconds = Number(header)
  return header !== undefined && Number.isFinite(seconds) ? seconds * 1000 : undefined
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}
