/** Stand-in for a model engine: OpenAI-compatible chat completions, load, prefix cache events, fenced orders and KV cache transfer. */
import { randomUUID } from 'node:crypto'
import { createEventStream, H3, type H3Event } from 'h3'
import { z } from 'zod'
import { SystemTimers, type TimerService } from '@buckthorndrift/kernel'
import { badVersionSchema, type BadVersion } from '../shared/badVersion.ts'
import { defaultEngineSettings, EngineModel, type EngineSettings } from '../shared/engineModel.ts'
import { type EngineRequest } from '../shared/engineRequest.ts'
import { randomFrom } from '../shared/random.ts'
import { breakConnection, nameInPath, neverAnswer, onClose, problemResponse, startStandInServer } from './standInServer.ts'

const completionSchema = z.object({
  model: z.string().default('stand-in'),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  stream: z.boolean().default(false),
  /** Requests with lower numbers start earlier. */
  priority: z.number().default(0),
  /** Request id, used when the header `x-request-id` is absent. */
  request_id: z.string().optional()
})
type CompletionRequest = z.infer<typeof completionSchema>

const orderSchema = z.object({ fencingToken: z.number().int().nonnegative(), order: z.record(z.string(), z.unknown()) })
/** Order to the engine, such as to load a model, with the fencing token of its sender. */
export type EngineOrder = z.infer<typeof orderSchema>

const faultsSchema = z.object({
  /** Whether an order is rejected with 409 when its fencing token is lower than the highest accepted one. */
  checksFencingToken: z.boolean(),
  /** `null` ends the fault. */
  badVersion: badVersionSchema.nullable(),
  /** Delay before each completion starts. */
  delayMs: z.number().nonnegative(),
  /** Streams stay open but carry no further tokens; completions without streaming get no response. */
  silent: z.boolean(),
  /** Crashes the engine. */
  fall: z.literal(true)
}).partial().strict()
export type EngineFaults = Omit<Partial<z.infer<typeof faultsSchema>>, 'badVersion'> & { readonly badVersion?: BadVersion | null }

export interface EngineOptions extends Partial<EngineSettings> {
  readonly port?: number
  readonly timers?: TimerService
  /** Seed of the random failures and cache event gaps; default 1. */
  readonly seed?: number
  /** Tokens generated when the request sets no limit; default 64. */
  readonly defaultTokens?: number
}

export interface Engine {
  readonly url: string
  readonly model: EngineModel
  /** Sets the given faults and leaves the others unchanged. Throws a `ZodError` when `badVersion` is invalid. */
  setFaults (faults: EngineFaults): void
  /** Accepted orders, oldest first. */
  orders (): readonly EngineOrder[]
  close (): Promise<void>
}

/** Marker in a prompt that sets the number of tokens to generate, so that a completion can end before its limit. */
const outputTokensMarker = /\[\[tokens=(\d+)\]\]/

/** Starts the stand-in on a loopback port. */
export async function startEngine (options: EngineOptions = {}): Promise<Engine> {
  const timers = options.timers ?? new SystemTimers()
  const settings = { ...defaultEngineSettings, ...options }
  const faults = { checksFencingToken: true, delayMs: 0, silent: false }
  const acceptedOrders: EngineOrder[] = []
  let highestFencingToken = 0
  const model = new EngineModel({ settings, timers, random: randomFrom(options.seed ?? 1), onCrash: () => { server.breakConnections() } })

  function setFaults (changes: EngineFaults): void {
    const { badVersion, fall, ...others } = changes
    Object.assign(faults, others)
    if (badVersion !== undefined) model.badVersion.set(badVersion ?? undefined, timers.monotonicMs())
    if (fall === true) model.crash()
  }

  function outputTokensOf (completion: CompletionRequest, prompt: string): number {
    const limit = completion.max_completion_tokens ?? completion.max_tokens ?? options.defaultTokens ?? 64
    const marked = outputTokensMarker.exec(prompt)?.[1]
    return marked === undefined ? limit : Math.max(1, Math.min(limit, Number(marked)))
  }

  async function handleCompletion (event: H3Event): Promise<Response | unknown> {
    const parsed = completionSchema.safeParse(await event.req.json().catch(() => undefined))
    if (!parsed.success) return problemResponse(400, z.prettifyError(parsed.error))
    if (faults.delayMs > 0) await new Promise<void>(resolve => { timers.after(faults.delayMs, resolve) })
    const prompt = parsed.data.messages.map(message => `${message.role}: ${message.content}`).join('\n')
    const id = event.req.headers.get('x-request-id') ?? parsed.data.request_id ?? randomUUID()
    const input = { id, prompt, tokens: outputTokensOf(parsed.data, prompt), priority: parsed.data.priority }
    const request = model.submit(input, 'POST /v1/chat/completions')
    if (parsed.data.stream) return streamResponse(event, request, 0)
    await request.waitForTokensBeyond(input.tokens)
    return jsonResponse(event, request, parsed.data.model)
  }

  function jsonResponse (event: H3Event, request: EngineRequest, modelName: string): Response | Promise<Response> {
    if (faults.silent) return neverAnswer(event)
    if (request.state === 'failed') return model.isDown ? breakConnection(event) : problemResponse(500, 'the model failed')
    return Response.json({
      id: request.input.id,
      object: 'chat.completion',
      created: Math.floor(timers.nowMs() / 1000),
      model: modelName,
      choices: [{ index: 0, message: { role: 'assistant', content: contentFrom(request, 0, request.generatedTokens) }, finish_reason: finishReasonOf(request) }],
      usage: usageOf(request)
    })
  }

  async function streamResponse (event: H3Event, request: EngineRequest, from: number): Promise<unknown> {
    // A request that has already failed gets an error status, unless the engine crashed. A failure after the stream has started breaks the connection.
    if (request.state === 'failed') return model.isDown ? breakConnection(event) : problemResponse(500, 'the model failed')
    const stream = createEventStream(event)
    const connection = { isClosed: false }
    onClose(event, () => { connection.isClosed = true })
    const push = (body: object): Promise<void> => stream.push(JSON.stringify({ id: request.input.id, object: 'chat.completion.chunk', ...body }))

    async function sendChunks (): Promise<void> {
      let next = from
      while (!connection.isClosed) {
        await request.waitForTokensBeyond(next)
        if (faults.silent) return
        if (request.state === 'failed') {
          breakConnection(event)
          return
        }
        if (next >= request.generatedTokens) break
        await push({ choices: [{ index: 0, delta: { content: request.tokenText(next) }, finish_reason: null }] })
        next += 1
      }
      await push({ choices: [{ index: 0, delta: {}, finish_reason: finishReasonOf(request) }] })
      await push({ choices: [], usage: usageOf(request) })
      await stream.push('[DONE]')
      await stream.close()
    }
    sendChunks().catch(() => { breakConnection(event) })
    return stream
  }

  function requestStatusResponse (event: H3Event, action: (id: string) => EngineRequest | undefined): Response {
    const id = nameInPath(event)
    const request = action(id)
    if (request === undefined) return problemResponse(404, 'there is no such request')
    return Response.json({ id, state: request.state, isPaused: request.isPaused, usage: usageOf(request) })
  }

  async function acceptOrder (event: H3Event): Promise<Response> {
    const parsed = orderSchema.safeParse(await event.req.json().catch(() => undefined))
    if (!parsed.success) return problemResponse(400, z.prettifyError(parsed.error))
    if (faults.checksFencingToken && parsed.data.fencingToken < highestFencingToken) return Response.json({ fencingToken: highestFencingToken }, { status: 409 })
    highestFencingToken = Math.max(highestFencingToken, parsed.data.fencingToken)
    acceptedOrders.push(parsed.data)
    return Response.json({ fencingToken: parsed.data.fencingToken })
  }

  const app = new H3()
  app.post('/v1/chat/completions', handleCompletion)
  app.get('/requests/:id/stream', event => {
    const request = model.find(nameInPath(event))
    const from = Number(event.url.searchParams.get('from') ?? '0')
    if (!Number.isInteger(from) || from < 0) return problemResponse(400, 'from must be the number of tokens already received')
    return request === undefined ? problemResponse(404, 'there is no such request') : streamResponse(event, request, from)
  })
  app.post('/requests/:id/cancel', event => requestStatusResponse(event, id => model.cancel(id)))
  app.post('/requests/:id/pause', event => requestStatusResponse(event, id => model.setPaused(id, true)))
  app.post('/requests/:id/resume', event => requestStatusResponse(event, id => model.setPaused(id, false)))
  app.get('/load', () => model.load())
  app.get('/executions', () => model.executions())
  app.get('/cache-events', event => {
    const events = model.cache.eventsSince(Number(event.url.searchParams.get('since') ?? '0'), timers.monotonicMs())
    return { events, next: events.at(-1)?.seq ?? Number(event.url.searchParams.get('since') ?? '0') }
  })
  app.post('/orders', acceptOrder)
  app.get('/kv/:prefix', event => {
    const prefix = nameInPath(event)
    return model.cache.has(prefix) ? Response.json({ prefix }) : problemResponse(404, 'the prefix is not cached')
  })
  app.post('/kv/:prefix', event => {
    model.cache.store([nameInPath(event)], timers.monotonicMs())
    return {}
  })
  app.post('/faults', async event => {
    const parsed = faultsSchema.safeParse(await event.req.json().catch(() => undefined))
    if (!parsed.success) return problemResponse(400, z.prettifyError(parsed.error))
    // The faults apply after the response is sent, because a crash breaks this connection too.
    timers.after(1, () => { setFaults(parsed.data as EngineFaults) })
    return {}
  })

  const server = await startStandInServer(app, { port: options.port ?? 0, isDown: () => model.isDown })
  return { url: server.url, model, setFaults, orders: () => [...acceptedOrders], close: () => server.close() }
}

function contentFrom (request: EngineRequest, from: number, to: number): string {
  let content = ''
  for (let index = from; index < to; index += 1) content += request.tokenText(index)
  return content
}

function finishReasonOf (request: EngineRequest): 'stop' | 'cancelled' {
  return request.state === 'cancelled' ? 'cancelled' : 'stop'
}

function usageOf (request: EngineRequest): object {
  return {
    prompt_tokens: request.promptTokens,
    completion_tokens: request.generatedTokens,
    total_tokens: request.promptTokens + request.generatedTokens,
    prompt_tokens_details: { cached_tokens: request.cachedTokens }
  }
}
