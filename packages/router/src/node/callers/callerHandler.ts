/** Handles caller requests, each from its arrival to the end of its response. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { SpanStatusCode, type Span } from '@opentelemetry/api'
import { Ok, type Result } from 'ts-results-es'
import { fail, mayHaveRun, notRun, type DirectoryKey, type Failure } from '@buckthorndrift/policy'
import type { Problem } from '@buckthorndrift/protocol'
import type { CallPlan } from '../../shared/callPlan.ts'
import type { ConfigService, RecordService, RefusalDetails } from '../../shared/services.ts'
import { RequestRun } from '../forward/requestRun.ts'
import type { RunDeps } from '../forward/runDeps.ts'
import { CallerResponse } from './callerResponse.ts'
import { RequestAdmission } from './requestAdmission.ts'
import { planModelCall, planServiceCall, type PlanInput } from './planCall.ts'
import { createProblem } from './problem.ts'

export interface CallerHandlerDeps {
  readonly config: ConfigService
  readonly records: RecordService
  readonly runDeps: RunDeps
  readonly isDraining: () => boolean
}

/** What is known about a request so far, for its refusal account, span and metrics. */
interface RequestContext {
  organisation: string
  budget: string
  service: string
}

type Planner = (input: PlanInput) => Promise<Result<CallPlan, Failure>>

const servicesPath = /^\/services\/([^/?]+)(\/[^?]*)(\?.*)?$/
const bearer = /^Bearer +(\S+)$/i
const notReadyRetryMs = 1000
const routerFullFailure: Failure = {
  verdict: notRun, reason: 'endpointFull', detail: 'the router has reached its limit of open requests or request bodies', retryAfterMs: notReadyRetryMs
}

export class CallerHandler {
  readonly #deps: CallerHandlerDeps
  readonly #openResponses = new Set<CallerResponse>()
  readonly #admission: RequestAdmission

  constructor (deps: CallerHandlerDeps) {
    this.#deps = deps
    this.#admission = new RequestAdmission(deps.runDeps.settings)
  }

  /** Reports the gauges of open requests and of bytes buffered for callers. */
  reportGauges (): void {
    const { metrics } = this.#deps.runDeps
    metrics.gauge('caller.open', this.#openResponses.size)
    metrics.gauge('caller.waitingBytes', [...this.#openResponses].reduce((sum, callerResponse) => sum + callerResponse.bufferedBytes, 0))
  }

  /** `GET /health`, for the load balancer: 200 while requests can be served, 503 before that and during a graceful shutdown. */
  handleHealth (response: ServerResponse): void {
    const status = this.#deps.isDraining() ? 'draining' : this.#deps.config.fleet() === undefined ? 'starting' : 'ready'
    response.writeHead(status === 'ready' ? 200 : 503, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ status }))
  }

  /** `POST /v1/chat/completions` */
  handleChat (request: IncomingMessage, response: ServerResponse): Promise<void> {
    return this.#handle(request, response, planModelCall)
  }

  /** `ANY /services/<service>/<path>` */
  handleService (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [, service, path, query = ''] = servicesPath.exec(request.url ?? '') ?? []
    if (service === undefined || path === undefined) return this.handleUnknownPath(request, response)
    return this.#handle(request, response, input => planServiceCall(input, service, `${path}${query}`))
  }

  /** Refuses a request for any other path. */
  handleUnknownPath (request: IncomingMessage, response: ServerResponse): Promise<void> {
    return this.#handle(request, response, async () => fail(notRun, 'unknownCall', 'there is no such path'))
  }

  async #handle (request: IncomingMessage, response: ServerResponse, plan: Planner): Promise<void> {
    const { timers, metrics, tracing } = this.#deps.runDeps
    const startedMs = timers.monotonicMs()
    const callerResponse = new CallerResponse(response)
    this.#openResponses.add(callerResponse)
    const span = tracing.tracer.startSpan('caller request', { attributes: { method: request.method ?? '' } }, tracing.extract(request.headers))
    if (this.#deps.isDraining()) response.setHeader('connection', 'close')
    const requestContext: RequestContext = { organisation: '', budget: '', service: '' }
    let outcome = 'failed'
    const release = this.#admission.tryAdmit(request)
    try {
      outcome = release === undefined
        ? await this.#refuse(callerResponse, requestContext, routerFullFailure)
        : await this.#serve(request, callerResponse, plan, requestContext, span, startedMs)
    } catch (error) {
      this.#deps.runDeps.log.event('callerRequestFailed', { error: String(error) })
      span.setStatus({ code: SpanStatusCode.ERROR, message: String(error) })
      await this.#refuse(callerResponse, requestContext, { verdict: mayHaveRun, reason: 'internal', detail: 'the router failed to handle the request' })
    }
    release?.()
    this.#openResponses.delete(callerResponse)
    span.setAttributes({ ...requestContext, outcome })
    span.end()
    metrics.increment('caller.requests', 1, { service: requestContext.service, outcome })
    metrics.timing('caller.durationMs', timers.monotonicMs() - startedMs, { service: requestContext.service, outcome })
  }

  async #serve (request: IncomingMessage, callerResponse: CallerResponse, plan: Planner, requestContext: RequestContext, span: Span, arrivedMs: number): Promise<string> {
    const plannedCall = await this.#plan(request, plan, requestContext, arrivedMs)
    if (plannedCall.isErr()) return this.#refuse(callerResponse, requestContext, plannedCall.error)
    const run = new RequestRun(this.#deps.runDeps, plannedCall.value, callerResponse, span)
    const end = await run.run()
    span.setAttribute('requestId', run.requestId)
    switch (end.kind) {
      case 'answered': return String(end.status)
      case 'gone': return 'callerGone'
      case 'refused':
      case 'broken': return this.#refuse(callerResponse, requestContext, end.failure)
    }
  }

  async #plan (request: IncomingMessage, plan: Planner, requestContext: RequestContext, arrivedMs: number): Promise<Result<CallPlan, Failure>> {
    const owner = this.#authenticate(request)
    if (owner.isErr()) return owner
    requestContext.organisation = owner.value.organisation
    requestContext.budget = owner.value.budget
    const fleet = this.#deps.config.fleet()
    if (fleet === undefined) return fail(notRun, 'noEndpoint', 'the router has no fleet configuration yet', notReadyRetryMs)
    if (!this.#deps.records.canAdmit()) return fail(notRun, 'recordsFull', 'the router has reached its limit of unwritten records', notReadyRetryMs)
    return plan({
      request,
      owner: owner.value,
      fleet,
      arrivedMs,
      settings: this.#deps.runDeps.settings,
      onService: service => { requestContext.service = service }
    })
  }

  #authenticate (request: IncomingMessage): Result<DirectoryKey, Failure> {
    const key = bearer.exec(request.headers.authorization ?? '')?.[1]
    if (key === undefined) return fail(notRun, 'unauthenticated', 'header Authorization must be "Bearer <API key>"')
    const owner = this.#deps.config.findKey(key)
    return owner === undefined ? fail(notRun, 'unauthenticated', 'the API key is unknown') : Ok(owner)
  }

  async #refuse (callerResponse: CallerResponse, requestContext: RequestContext, failure: Failure): Promise<string> {
    const problem = await this.#recordRefusal(requestContext, failure)
    if (callerResponse.hasBegun) await callerResponse.abort(problem)
    else callerResponse.refuse(problem)
    return failure.reason
  }

  /** Records the refusal and builds the problem response for it. If recording fails, the id in the problem begins with `unaccounted`. */
  async #recordRefusal (requestContext: RequestContext, failure: Failure): Promise<Problem> {
    const draft: RefusalDetails = { ...requestContext, reason: failure.reason, verdict: failure.verdict.kind }
    try {
      return createProblem(failure, await this.#deps.records.recordRefusal(draft))
    } catch (error) {
      this.#deps.runDeps.log.event('refusalNotAccounted', { error: String(error) })
      return createProblem(failure, `unaccounted.${this.#deps.runDeps.nextRequestId()}`)
    }
  }
}
