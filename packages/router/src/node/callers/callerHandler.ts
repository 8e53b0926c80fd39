/** Handles one caller request from its first byte to the end of its answer. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { SpanStatusCode, type Span } from '@opentelemetry/api'
import { Ok, type Result } from 'ts-results-es'
import { fail, mayHaveRun, notRun, type DirectoryKey, type Failure } from '@buckthorndrift/policy'
import type { Problem } from '@buckthorndrift/protocol'
import type { CallPlan } from '../../shared/callPlan.ts'
import type { ConfigService, RecordService, RefusalDetails } from '../../shared/services.ts'
import { RequestRun } from '../forward/requestRun.ts'
import type { RunDeps } from '../forward/runDeps.ts'
import { CallerAnswer } from './callerResponse.ts'
import { HeldRequests } from './requestAdmission.ts'
import { planModelCall, planServiceCall, type PlanInput } from './planCall.ts'
import { problemOf } from './problem.ts'

export interface CallerHandlerDeps {
  readonly config: ConfigService
  readonly records: RecordService
  readonly run: RunDeps
  readonly isDraining: () => boolean
}

/** What is known about a request so far, for its refusal account. */
interface Known {
  organisation: string
  budget: string
  service: string
}

type Planner = (input: PlanInput) => Promise<Result<CallPlan, Failure>>

const servicesPath = /^\/services\/([^/?]+)(\/[^?]*)(\?.*)?$/
const bearer = /^Bearer +(\S+)$/i
const notReadyRetryMs = 1000
const routerFull: Failure = {
  verdict: notRun, reason: 'endpointFull', detail: 'the router holds as many requests as it can', retryAfterMs: notReadyRetryMs
}

export class CallerHandler {
  readonly #deps: CallerHandlerDeps
  readonly #open = new Set<CallerAnswer>()
  readonly #held: HeldRequests

  constructor (deps: CallerHandlerDeps) {
    this.#deps = deps
    this.#held = new HeldRequests(deps.run.settings)
  }

  /** Sends the gauges of open requests. */
  measure (): void {
    const { metrics } = this.#deps.run
    metrics.gauge('caller.open', this.#open.size)
    metrics.gauge('caller.waitingBytes', [...this.#open].reduce((sum, answer) => sum + answer.waitingBytes, 0))
  }

  /** `GET /health`, for the balancer: 200 when requests can be served, 503 before and during a graceful shutdown. */
  health (response: ServerResponse): void {
    const status = this.#deps.isDraining() ? 'draining' : this.#deps.config.fleet() === undefined ? 'starting' : 'ready'
    response.writeHead(status === 'ready' ? 200 : 503, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ status }))
  }

  /** `POST /v1/chat/completions` */
  chat (request: IncomingMessage, response: ServerResponse): Promise<void> {
    return this.#handle(request, response, planModelCall)
  }

  /** `ANY /services/<service>/<path>` */
  service (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [, service, path, query = ''] = servicesPath.exec(request.url ?? '') ?? []
    if (service === undefined || path === undefined) return this.unknown(request, response)
    return this.#handle(request, response, input => planServiceCall(input, service, `${path}${query}`))
  }

  /** Any other path. */
  unknown (request: IncomingMessage, response: ServerResponse): Promise<void> {
    return this.#handle(request, response, async () => fail(notRun, 'unknownCall', 'there is no such path'))
  }

  async #handle (request: IncomingMessage, response: ServerResponse, plan: Planner): Promise<void> {
    const { timers, metrics, tracing } = this.#deps.run
    const startedMs = timers.monotonicMs()
    const answer = new CallerAnswer(response)
    this.#open.add(answer)
    const span = tracing.tracer.startSpan('caller request', { attributes: { method: request.method ?? '' } }, tracing.extract(request.headers))
    if (this.#deps.isDraining()) response.setHeader('connection', 'close')
    const known: Known = { organisation: '', budget: '', service: '' }
    let outcome = 'failed'
    const release = this.#held.tryHold(request)
    try {
      outcome = release === undefined
        ? await this.#refuse(answer, known, routerFull)
        : await this.#answer(request, answer, plan, known, span, startedMs)
    } catch (error) {
      this.#deps.run.log.event('callerRequestFailed', { error: String(error) })
      span.setStatus({ code: SpanStatusCode.ERROR, message: String(error) })
      await this.#refuse(answer, known, { verdict: mayHaveRun, reason: 'internal', detail: 'the router failed to handle the request' })
    }
    release?.()
    this.#open.delete(answer)
    span.setAttributes({ ...known, outcome })
    span.end()
    metrics.increment('caller.requests', 1, { service: known.service, outcome })
    metrics.timing('caller.durationMs', timers.monotonicMs() - startedMs, { service: known.service, outcome })
  }

  async #answer (request: IncomingMessage, answer: CallerAnswer, plan: Planner, known: Known, span: Span, arrivedMs: number): Promise<string> {
    const planned = await this.#plan(request, plan, known, arrivedMs)
    if (planned.isErr()) return this.#refuse(answer, known, planned.error)
    const run = new RequestRun(this.#deps.run, planned.value, answer, span)
    const end = await run.run()
    span.setAttribute('requestId', run.requestId)
    switch (end.kind) {
      case 'answered': return String(end.status)
      case 'gone': return 'callerGone'
      case 'refused':
      case 'broken': return this.#refuse(answer, known, end.failure)
    }
  }

  async #plan (request: IncomingMessage, plan: Planner, known: Known, arrivedMs: number): Promise<Result<CallPlan, Failure>> {
    const owner = this.#ownerOf(request)
    if (owner.isErr()) return owner
    known.organisation = owner.value.organisation
    known.budget = owner.value.budget
    const fleet = this.#deps.config.fleet()
    if (fleet === undefined) return fail(notRun, 'noEndpoint', 'the router has no fleet configuration yet', notReadyRetryMs)
    if (!this.#deps.records.canAdmit()) return fail(notRun, 'recordsFull', 'the router cannot keep more records now', notReadyRetryMs)
    return plan({
      request,
      owner: owner.value,
      fleet,
      arrivedMs,
      settings: this.#deps.run.settings,
      onService: service => { known.service = service }
    })
  }

  #ownerOf (request: IncomingMessage): Result<DirectoryKey, Failure> {
    const key = bearer.exec(request.headers.authorization ?? '')?.[1]
    if (key === undefined) return fail(notRun, 'unauthenticated', 'header Authorization must be "Bearer <API key>"')
    const owner = this.#deps.config.findKey(key)
    return owner === undefined ? fail(notRun, 'unauthenticated', 'the API key is unknown') : Ok(owner)
  }

  async #refuse (answer: CallerAnswer, known: Known, failure: Failure): Promise<string> {
    const problem = await this.#account(known, failure)
    if (answer.isBegun) await answer.breakOff(problem)
    else answer.refuse(problem)
    return failure.reason
  }

  /** A refusal that cannot be accounted for is still answered, with an id that shows it. */
  async #account (known: Known, failure: Failure): Promise<Problem> {
    const draft: RefusalDetails = { ...known, reason: failure.reason, verdict: failure.verdict.kind }
    try {
      return problemOf(failure, await this.#deps.records.recordRefusal(draft))
    } catch (error) {
      this.#deps.run.log.event('refusalNotAccounted', { error: String(error) })
      return problemOf(failure, `unaccounted.${this.#deps.run.nextRequestId()}`)
    }
  }
}
