/** Client of the platform's object API over HTTP. */
import { Agent, request, type Dispatcher } from 'undici'
import { Err, Ok, type Result } from 'ts-results-es'
import { z } from 'zod'
import type { TimerService } from '@buckthorndrift/kernel'
import type { ObjectStore, StoreFailure } from '../shared/objectStore.ts'

export interface HttpObjectStoreOptions {
  /** Base URL of the object API, without a trailing slash. */
  readonly url: string
  readonly timers: TimerService
  /** Numbers from 0 below 1 for the jitter of retries; `Math.random` when absent. */
  readonly random?: () => number
  /** Time limit of one attempt, 2000 ms; a watch waits its `waitMs` longer. */
  readonly timeoutMs?: number
  /** Time limit of a connection attempt, 1000 ms. */
  readonly connectTimeoutMs?: number
  /** Further attempts of a read, 2. Writes and watches are never repeated here. */
  readonly readRetries?: number
}

export interface HttpObjectStore extends ObjectStore {
  /** Breaks calls in progress, which fail as `unavailable`, and closes the connections. */
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

/** Errors that arise before the first byte of a request is handed to a socket. */
const connectErrors = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'])

/** First pause before a repeated read; doubles with each attempt. */
const retryPauseMs = 100
/** A longer `Retry-After` is left to the caller. */
const longestRetryAfterMs = 1000

interface Answer {
  readonly status: number
  readonly body: unknown
  readonly retryAfterMs: number | undefined
}

interface Attempt {
  readonly result: Result<Answer, StoreFailure>
  readonly retryAfterMs: number | undefined
}

function unavailable (detail: string, mayHaveApplied: boolean): StoreFailure {
  return { kind: 'unavailable', mayHaveApplied, detail }
}

function describe (error: unknown): string {
  if (!(error instanceof Error)) return String(error)
  return 'code' in error ? `${String(error.code)}: ${error.message}` : error.message
}

function isConnectError (error: unknown): boolean {
  return error instanceof Error && 'code' in error && connectErrors.has(String(error.code))
}

/** Opens the client; connections are made when needed. */
export function createHttpObjectStore (options: HttpObjectStoreOptions): HttpObjectStore {
  const { url, timers } = options
  const timeoutMs = options.timeoutMs ?? 2000
  const random = options.random ?? Math.random
  const agent = new Agent({ connect: { timeout: options.connectTimeoutMs ?? 1000 } })

  async function send (method: Dispatcher.HttpMethod, path: string, extra: { readonly headers?: Record<string, string>, readonly body?: string, readonly waitMs?: number }): Promise<Result<Answer, StoreFailure>> {
    const isWrite = method !== 'GET'
    const limitMs = timeoutMs + (extra.waitMs ?? 0)
    try {
      const response = await request(`${url}${path}`, {
        method,
        headers: extra.headers ?? {},
        ...(extra.body === undefined ? {} : { body: extra.body }),
        dispatcher: agent,
        // The signal bounds the whole attempt; undici's own limits would end a long watch early.
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: AbortSignal.timeout(limitMs)
      })
      const text = await response.body.text()
      return Ok({ status: response.statusCode, body: parseJson(text), retryAfterMs: retryAfterOf(response.headers['retry-after']) })
    } catch (error) {
      return Err(unavailable(describe(error), isWrite && !isConnectError(error)))
    }
  }

  /** Separates answers of an API that cannot serve from those that callers interpret. */
  function judge (answer: Answer, isWrite: boolean): Result<Answer, StoreFailure> {
    if (answer.status === 429) return Err(unavailable('the rate limit of the object API is reached', false))
    // A 5xx may come from a proxy that gave up while the write went on, so nothing is concluded from it.
    if (answer.status >= 500) return Err(unavailable(`the object API answered ${answer.status}`, isWrite))
    return Ok(answer)
  }

  async function attempt (method: Dispatcher.HttpMethod, path: string, extra: Parameters<typeof send>[2] = {}): Promise<Attempt> {
    const sent = await send(method, path, extra)
    if (sent.isErr()) return { result: sent, retryAfterMs: undefined }
    return { result: judge(sent.value, method !== 'GET'), retryAfterMs: sent.value.retryAfterMs }
  }

  async function get (path: string): Promise<Result<Answer, StoreFailure>> {
    for (let count = 0; ; count += 1) {
      const { result, retryAfterMs } = await attempt('GET', path)
      const isLast = count >= (options.readRetries ?? 2) || (retryAfterMs ?? 0) > longestRetryAfterMs
      if (result.isOk() || isLast) return result
      const pauseMs = (retryAfterMs ?? 0) + retryPauseMs * 2 ** count * (0.5 + random())
      await new Promise<void>(resolve => { timers.after(pauseMs, resolve) })
    }
  }

  function afterWrite (answer: Answer): Result<number, StoreFailure> {
    const given = versionSchema.safeParse(answer.body)
    if (answer.status === 200) return given.success ? Ok(given.data.version) : Err(unavailable('the answer to a write is malformed', true))
    if (answer.status === 412) return given.success ? Err({ kind: 'conflict', version: given.data.version }) : Err(unavailable('the answer to a write is malformed', true))
    return Err(rejected(answer))
  }

  async function change (method: 'PUT' | 'DELETE', name: string, expectedVersion: number, body?: string): Promise<Result<number, StoreFailure>> {
    const headers = {
      'content-type': 'application/json',
      ...(expectedVersion === 0 ? { 'if-none-match': '*' } : { 'if-match': String(expectedVersion) })
    }
    const { result } = await attempt(method, objectPath(name), { headers, ...(body === undefined ? {} : { body }) })
    return result.andThen(afterWrite)
  }

  return {
    async read (name) {
      const result = await get(objectPath(name))
      return result.andThen(answer => answer.status === 404 ? Ok(undefined) : parsed(objectSchema, answer))
    },
    write: (name, value, expectedVersion) => change('PUT', name, expectedVersion, JSON.stringify(value)),
    async remove (name, expectedVersion) {
      return (await change('DELETE', name, expectedVersion)).map(() => undefined)
    },
    async list (prefix, listOptions = {}) {
      const query = new URLSearchParams({ prefix })
      if (listOptions.after !== undefined) query.set('after', listOptions.after)
      if (listOptions.limit !== undefined) query.set('limit', String(listOptions.limit))
      const result = await get(`/objects?${query.toString()}`)
      return result.andThen(answer => parsed(listSchema, answer))
        .map(({ objects }) => objects.map(object => ({ ...object, isRemoved: false })))
    },
    async watch (prefix, revision, waitMs) {
      const query = new URLSearchParams({ prefix, since: String(revision), waitMs: String(waitMs) })
      const { result } = await attempt('GET', `/watch?${query.toString()}`, { waitMs })
      return result.andThen(answer => answer.status === 410
        ? parsed(revisionSchema, { ...answer, status: 200 }).map(({ revision: present }) => ({ revision: present, changes: [], isReset: true }))
        : parsed(watchSchema, answer))
    },
    async vms () {
      const result = await get('/vms')
      return result.andThen(answer => parsed(vmsSchema, answer)).map(({ vms }) => vms)
    },
    close: () => agent.destroy()
  }
}

function objectPath (name: string): string {
  return `/objects/${encodeURIComponent(name)}`
}

function rejected (answer: Answer): StoreFailure {
  const message = z.object({ message: z.string() }).safeParse(answer.body)
  return { kind: 'rejected', detail: message.success ? message.data.message : `the object API answered ${answer.status}` }
}

function parsed<Schema extends z.ZodType> (schema: Schema, answer: Answer): Result<z.output<Schema>, StoreFailure> {
  if (answer.status !== 200) return Err(rejected(answer))
  const given = schema.safeParse(answer.body)
  return given.success ? Ok(given.data) : Err(unavailable('the answer to a read is malformed', false))
}

function retryAfterOf (header: string | string[] | undefined): number | undefined {
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
