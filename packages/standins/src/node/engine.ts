/** Stand-in of a model engine: OpenAI-style completions, load, cache events, orders, KV cache exchange. */
import { randomUUID } from 'node:crypto'
import { createEventStream, H3, type H3Event } from 'h3'
import { z } from 'zod'
import { SystemTimers, type TimerService } from '@buckthorndrift/kernel'
import { badVersionSchema, type BadVersion } from '../shared/badVersion.ts'
import { defaultEngineSettings, EngineModel, type EngineSettings } from '../shared/engineModel.ts'
import { type EngineRequest } from '../shared/engineRequest.ts'
import { randomFrom } from '../shared/random.ts'
import { breakConnection, nameInPath, neverAnswer, onClose, problem, startStandInServer } from './standInServer.ts'

const completionSchema = z.object({
  model: z.string().default('stand-in'),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  stream: z.boolean().default(false),
  /** Lower numbers start earlier. */
  priority: z.number().default(0),
  /** Used when there is no header `x-request-id`. */
  request_id: z.string().optional()
})
type Completion = z.infer<typeof completionSchema>

const orderSchema = z.object({ fencingToken: z.number().int().nonnegative(), order: z.record(z.string(), z.unknown()) })
export type EngineOrder = z.infer<typeof orderSchema>

const faultsSchema = z.object({
  /** Whether an order with a token below the highest seen one is refused with 409. */
  checksFencingToken: z.boolean(),
  /** `null` makes the version good again. */
  badVersion: badVersionSchema.nullable(),
  /** Added before each completion starts. */
  delayMs: z.number().nonnegative(),
  /** Streams stay open without another token, and new requests are accepted without an answer. */
  silent: z.boolean(),
  /** Falls over now. */
  fall: z.literal(true)
}).partial().strict()
export type EngineFaults = Omit<Partial<z.infer<typeof faultsSchema>>, 'badVersion'> & { readonly badVersion?: BadVersion | null }

export interface EngineOptions extends Partial<EngineSettings> {
  readonly port?: number
  readonly timers?: TimerService
  /** Seed of failures and gaps, 1. */
  readonly seed?: number
  /** Tokens generated when the request gives no limit, 64. */
  readonly defaultTokens?: number
}

export interface Engine {
  readonly url: string
  readonly model: EngineModel
  /** Throws a `ZodError` for settings out of range. */
  setFaults (faults: EngineFaults): void
  /** Accepted orders, oldest first. */
  orders (): readonly EngineOrder[]
  close (): Promise<void>
}

/** Number of tokens to generate, when a prompt has one; lets a request end before its limit. */
const tokensMarker = /\[\[tokens=(\d+)\]\]/

/** Starts the stand-in on loopback. */
export async function startEngine (options: EngineOptions = {}): Promise<Engine> {
  const timers = options.timers ?? new SystemTimers()
  const settings = { ...defaultEngineSettings, ...options }
  const faults = { checksFencingToken: true, delayMs: 0, silent: false }
  const orders: EngineOrder[] = []
  let highestToken = 0
  const model = new EngineModel({ settings, timers, random: randomFrom(options.seed ?? 1), onFall: () => { server.breakConnections() } })

  function setFaults (given: EngineFaults): void {
    const { badVersion, fall, ...others } = given
    Object.assign(faults, others)
    if (badVersion !== undefined) model.badVersion.set(badVersion ?? undefined, timers.monotonicMs())
    if (fall === true) model.fall()
  }

  function tokensOf (completion: Completion, prompt: string): number {
    const limit = completion.max_completion_tokens ?? completion.max_tokens ?? options.defaultTokens ?? 64
    const marked = tokensMarker.exec(prompt)?.[1]
    return marked === undefined ? limit : Math.max(1, Math.min(limit, Number(marked)))
  }

  async function complete (event: H3Event): Promise<Response | unknown> {
    const given = completionSchema.safeParse(await event.req.json().catch(() => undefined))
    if (!given.success) return problem(400, z.prettifyError(given.error))
    if (faults.delayMs > 0) await new Promise<void>(resolve => { timers.after(faults.delayMs, resolve) })
    const prompt = given.data.messages.map(message => `${message.role}: ${message.content}`).join('\n')
    const id = event.req.headers.get('x-request-id') ?? given.data.request_id ?? randomUUID()
    const input = { id, prompt, tokens: tokensOf(given.data, prompt), priority: given.data.priority }
    const request = model.submit(input, 'POST /v1/chat/completions')
    if (given.data.stream) return answerStream(event, request, 0)
    await request.waitBeyond(input.tokens)
    return answerWhole(event, request, given.data.model)
  }

  function answerWhole (event: H3Event, request: EngineRequest, modelName: string): Response | Promise<Response> {
    if (faults.silent) return neverAnswer(event)
    if (request.state === 'failed') return model.isDown ? breakConnection(event) : problem(500, 'the model failed')
    return Response.json({
      id: request.input.id,
      object: 'chat.completion',
      created: Math.floor(timers.nowMs() / 1000),
      model: modelName,
      choices: [{ index: 0, message: { role: 'assistant', content: contentFrom(request, 0, request.generated) }, finish_reason: finishReasonOf(request) }],
      usage: usageOf(request)
    })
  }

  async function answerStream (event: H3Event, request: EngineRequest, from: number): Promise<unknown> {
    // A failure before the first token is answered with a status, later ones break the stream.
    if (request.state === 'failed') return model.isDown ? breakConnection(event) : problem(500, 'the model failed')
    const stream = createEventStream(event)
    const closed = { isClosed: false }
    onClose(event, () => { closed.isClosed = true })
    const push = (body: object): Promise<void> => stream.push(JSON.stringify({ id: request.input.id, object: 'chat.completion.chunk', ...body }))

    async function pump (): Promise<void> {
      let next = from
      while (!closed.isClosed) {
        await request.waitBeyond(next)
        if (faults.silent) return
        if (request.state === 'failed') {
          breakConnection(event)
          return
        }
        if (next >= request.generated) break
        await push({ choices: [{ index: 0, delta: { content: request.token(next) }, finish_reason: null }] })
        next += 1
      }
      await push({ choices: [{ index: 0, delta: {}, finish_reason: finishReasonOf(request) }] })
      await push({ choices: [], usage: usageOf(request) })
      await stream.push('[DONE]')
      await stream.close()
    }
    pump().catch(() => { breakConnection(event) })
    return stream
  }

  function withRequest (event: H3Event, find: (id: string) => EngineRequest | undefined): Response {
    const id = nameInPath(event)
    const request = find(id)
    if (request === undefined) return problem(404, 'there is no such request')
    return Response.json({ id, state: request.state, isPaused: request.isPaused, usage: usageOf(request) })
  }

  async function order (event: H3Event): Promise<Response> {
    const given = orderSchema.safeParse(await event.req.json().catch(() => undefined))
    if (!given.success) return problem(400, z.prettifyError(given.error))
    if (faults.checksFencingToken && given.data.fencingToken < highestToken) return Response.json({ fencingToken: highestToken }, { status: 409 })
    highestToken = Math.max(highestToken, given.data.fencingToken)
    orders.push(given.data)
    return Response.json({ fencingToken: given.data.fencingToken })
  }

  const app = new H3()
  app.post('/v1/chat/completions', complete)
  app.get('/requests/:id/stream', event => {
    const request = model.find(nameInPath(event))
    const from = Number(event.url.searchParams.get('from') ?? '0')
    if (!Number.isInteger(from) || from < 0) return problem(400, 'from must be the number of tokens already received')
    return request === undefined ? problem(404, 'there is no such request') : answerStream(event, request, from)
  })
  app.post('/requests/:id/cancel', event => withRequest(event, id => model.cancel(id)))
  app.post('/requests/:id/pause', event => withRequest(event, id => model.setPaused(id, true)))
  app.post('/requests/:id/resume', event => withRequest(event, id => model.setPaused(id, false)))
  app.get('/load', () => model.load())
  app.get('/executions', () => model.executions())
  app.get('/cache-events', event => {
    const events = model.cache.eventsSince(Number(event.url.searchParams.get('since') ?? '0'), timers.monotonicMs())
    return { events, next: events.at(-1)?.seq ?? Number(event.url.searchParams.get('since') ?? '0') }
  })
  app.post('/orders', order)
  app.get('/kv/:prefix', event => {
    const prefix = nameInPath(event)
    return model.cache.has(prefix) ? Response.json({ prefix }) : problem(404, 'the prefix is not cached')
  })
  app.post('/kv/:prefix', event => {
    model.cache.store([nameInPath(event)], timers.monotonicMs())
    return {}
  })
  app.post('/faults', async event => {
    const given = faultsSchema.safeParse(await event.req.json().catch(() => undefined))
    if (!given.success) return problem(400, z.prettifyError(given.error))
    // The reply goes out before a fall breaks the connection.
    timers.after(1, () => { setFaults(given.data as EngineFaults) })
    return {}
  })

  const server = await startStandInServer(app, { port: options.port ?? 0, isDown: () => model.isDown })
  return { url: server.url, model, setFaults, orders: () => [...orders], close: () => server.close() }
}

function contentFrom (request: EngineRequest, from: number, to: number): string {
  let content = ''
  for (let index = from; index < to; index += 1) content += request.token(index)
  return content
}

function finishReasonOf (request: EngineRequest): 'stop' | 'cancelled' {
  return request.state === 'cancelled' ? 'cancelled' : 'stop'
}

function usageOf (request: EngineRequest): object {
  return {
    prompt_tokens: request.promptTokens,
    completion_tokens: request.generated,
    total_tokens: request.promptTokens + request.generated,
    prompt_tokens_details: { cached_tokens: request.cachedTokens }
  }
}
