/**
 * One attempt of a request at one endpoint. When the connection breaks or goes
 * silent, the attempt reattaches on a new connection and continues the response
 * where it stopped.
 */
import type { Client, Dispatcher } from 'undici'
import { Err, Ok, type Result } from 'ts-results-es'
import type { TimerService } from '@buckthorndrift/kernel'
import { mayHaveRun, notRun, ran, type Failure } from '@buckthorndrift/policy'
import { loadHeader, requestIdHeader, verdictHeader, type Member, type Settlement } from '@buckthorndrift/protocol'
import type { EndpointPools } from './endpointPools.ts'
import type { SilenceMonitor } from './silenceMonitor.ts'
import { UpstreamExchange, type ChunkSink, type UpstreamFailure, type UpstreamHead } from './upstreamExchange.ts'
import { parseFailure, parseSettlement } from './endpointResponse.ts'

export interface AttemptDeps {
  readonly pools: EndpointPools
  readonly timers: TimerService
  readonly silenceMonitor: SilenceMonitor
  readonly fleetSecret: string
  readonly attachForMs: number
  readonly onLoad: (endpoint: Member, header: string | string[] | undefined) => void
  /** Called when the endpoint process does not respond. `isEndpointDead` is true when nothing listens at its address. */
  readonly onUnreachable: (endpoint: Member, isEndpointDead: boolean) => void
  readonly onReattach: (endpoint: Member) => void
}

export interface AttemptRequest {
  readonly endpoint: Member
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  /** Whether the call may run more than once. If so, the attempt fails at the first reattach without a response, so that another endpoint can run the call. */
  readonly idempotent: boolean
}

export interface AttemptFailure {
  readonly failure: Failure
  /** `undefined` when the cost is unknown. */
  readonly settlement: Settlement | undefined
  readonly isAborted: boolean
  /** True when the endpoint process has died, false when it may only be unreachable. */
  readonly isEndpointDead: boolean
}

export type AttemptResult = Result<Settlement | undefined, AttemptFailure>

const reattachDelayMs = 50
/** Consecutive refused connections after which the endpoint process counts as dead. */
const refusalsUntilDead = 2

export class Attempt {
  readonly endpoint: Member
  readonly #deps: AttemptDeps
  readonly #request: AttemptRequest
  #exchange: UpstreamExchange | undefined
  #reattachClient: Client | undefined
  #head: UpstreamHead | undefined
  #offsetBytes = 0
  #isAborted = false
  #cancelWait: (() => void) | undefined
  #wasSent = false
  /** Called once when the attempt is over. */
  onClosed: () => void = () => {}

  constructor (deps: AttemptDeps, request: AttemptRequest) {
    this.#deps = deps
    this.#request = request
    this.endpoint = request.endpoint
  }

  /** True when a byte of the request may have reached the endpoint. */
  get wasSent (): boolean {
    return this.#wasSent || this.#exchange?.wasSent === true
  }

  /** Body bytes received so far. */
  get offsetBytes (): number {
    return this.#offsetBytes
  }

  /** Sends the request and waits for the response head. */
  async open (): Promise<Result<UpstreamHead, AttemptFailure>> {
    const { method, path, headers, body } = this.#request
    const pool = this.#deps.pools.get(this.endpoint)
    this.#exchange = this.#startExchange(pool, method, path, headers, body)
    const head = await this.#exchange.head
    if (head.isOk()) {
      if (this.#isForThisRequest(head.value)) return this.#acceptHead(head.value)
      if (isListenerRefusal(head.value)) return this.#refusedByListener(head.value)
      return this.#reattach({ kind: 'broken', detail: 'the response has the id of another request' })
    }
    if (head.error.kind === 'invalid') return failed({ verdict: notRun, reason: 'badRequest', detail: `the request cannot be forwarded: ${head.error.detail}` })
    if (head.error.kind === 'notSent') {
      this.#deps.onUnreachable(this.endpoint, head.error.isRefused === true)
      return failed({ verdict: notRun, reason: 'endpointLost', detail: 'no connection to the endpoint' })
    }
    return this.#reattach(head.error)
  }

  /** Attaches to the response of a request that this router or another one has sent before. */
  attach (offsetBytes = 0): Promise<Result<UpstreamHead, AttemptFailure>> {
    this.#offsetBytes = offsetBytes
    return this.#attachUntil(this.#deps.timers.monotonicMs() + this.#deps.attachForMs)
  }

  /** Passes the whole response body to `sink`, reattaching when the connection fails. Resolves with the settlement. */
  async read (sink: ChunkSink): Promise<AttemptResult> {
    for (;;) {
      const exchange = this.#exchange
      if (exchange === undefined) return failed(endpointLost)
      const result = await exchange.read(chunk => {
        this.#offsetBytes += chunk.length
        return sink(chunk)
      })
      if (result.isOk()) {
        this.#closeReattachClient()
        return Ok(parseSettlement(result.value) ?? parseSettlement(this.#head?.headers ?? {}))
      }
      const recovered = await this.#reattach(result.error)
      if (recovered.isErr()) return this.#toIncompleteFailure(recovered.error)
    }
  }

  /** Tells the endpoint process that nobody will fetch the response, so that it cancels the request if it can. */
  async abandon (): Promise<void> {
    this.#reattachClient = this.#deps.pools.createClient(this.endpoint)
    const path = `/attach/${encodeURIComponent(this.#request.requestId)}`
    await this.#startExchange(this.#reattachClient, 'DELETE', path, { authorization: `Bearer ${this.#deps.fleetSecret}` }).head
    this.#closeReattachClient()
  }

  /** Continues the body after the sink returned false. */
  resume (): void {
    this.#exchange?.resume()
  }

  /** Aborts the attempt. The endpoint process cancels a request without an idempotency key unless a router reattaches in time. */
  abort (): void {
    this.#isAborted = true
    this.#wasSent = this.wasSent
    this.#exchange?.abort()
    this.#cancelWait?.()
    this.close()
  }

  /** Ends the attempt; calling it again has no effect. */
  close (): void {
    this.#closeReattachClient()
    const { onClosed } = this
    this.onClosed = () => {}
    onClosed()
  }

  #startExchange (dispatcher: Dispatcher, method: string, path: string, headers: Readonly<Record<string, string>>, body?: Buffer): UpstreamExchange {
    const { timers, silenceMonitor } = this.#deps
    return new UpstreamExchange({
      dispatcher,
      timers,
      silenceMonitor,
      origin: new URL(this.endpoint.controlUrl).origin,
      method,
      path,
      headers,
      ...(body === undefined ? {} : { body })
    })
  }

  #isForThisRequest (head: UpstreamHead): boolean {
    return head.headers[requestIdHeader] === this.#request.requestId
  }

  #refusedByListener (head: UpstreamHead): Result<never, AttemptFailure> {
    this.#exchange?.abort()
    return failed({ verdict: notRun, reason: 'endpointLost', detail: `the endpoint process does not take requests (status ${head.status})` })
  }

  async #acceptHead (head: UpstreamHead): Promise<Result<UpstreamHead, AttemptFailure>> {
    this.#deps.onLoad(this.endpoint, head.headers[loadHeader])
    if (head.headers[verdictHeader] === undefined) {
      this.#head ??= head
      return Ok(head)
    }
    const text = await this.#exchange?.readText() ?? ''
    this.#closeReattachClient()
    const failure = parseFailure(text)
    // A later incarnation of the endpoint process responds with `endpointLost` and `mayHaveRun`. The incarnation that received the request is then dead.
    const isEndpointDead = failure.reason === 'endpointLost' && failure.verdict.kind === 'mayHaveRun'
    if (isEndpointDead) this.#deps.onUnreachable(this.endpoint, true)
    return failed(failure, isEndpointDead ? undefined : this.#settlementForFailure(failure), isEndpointDead)
  }

  /** Returns the settlement of a request whose failure the endpoint process reported: no cost, except for `answerExpired`, where the request may have run at an unknown cost (`undefined`). */
  #settlementForFailure (failure: Failure): Settlement | undefined {
    if (failure.reason === 'answerExpired') return undefined
    return { requestId: this.#request.requestId, tokens: 0, outcome: failure.verdict.kind === 'notRun' ? 'notRun' : 'failed' }
  }

  /** Reattaches after the connection failed, because the endpoint process may still have the response. */
  async #reattach (cause: UpstreamFailure): Promise<Result<UpstreamHead, AttemptFailure>> {
    if (this.#isAborted || cause.kind === 'aborted') return aborted()
    // The idle connections of the pool may have gone silent at the same time.
    if (cause.kind === 'silent') this.#deps.pools.replacePool(this.endpoint)
    this.#exchange?.abort()
    this.#deps.onReattach(this.endpoint)
    return this.#attachUntil(this.#deps.timers.monotonicMs() + this.#deps.attachForMs)
  }

  async #attachUntil (untilMs: number): Promise<Result<UpstreamHead, AttemptFailure>> {
    for (let refusals = 0; ;) {
      const head = await this.#attachOnce()
      if (head.isOk() && this.#isForThisRequest(head.value)) return this.#acceptHead(head.value)
      if (this.#isAborted) return aborted()
      this.#exchange?.abort()
      const isRefused = head.isErr() && head.error.isRefused === true
      refusals = isRefused ? refusals + 1 : 0
      const isEndpointDead = refusals >= refusalsUntilDead
      const canRunElsewhere = this.#request.idempotent && this.#offsetBytes === 0 && !isRefused
      if (isEndpointDead || canRunElsewhere || this.#deps.timers.monotonicMs() >= untilMs) {
        this.#deps.onUnreachable(this.endpoint, isEndpointDead)
        return failed(endpointLost, undefined, isEndpointDead)
      }
      await this.#wait(reattachDelayMs)
      if (this.#isAborted) return aborted()
    }
  }

  #attachOnce (): Promise<Result<UpstreamHead, UpstreamFailure>> {
    this.#wasSent = true
    this.#closeReattachClient()
    this.#reattachClient = this.#deps.pools.createClient(this.endpoint)
    // The incarnation lets a restarted process at the same address detect that the request went to its predecessor.
    // Without it, the new process would respond "not run" although its predecessor may have run the request.
    const query = `offset=${this.#offsetBytes}&incarnation=${encodeURIComponent(this.endpoint.incarnation)}`
    const path = `/attach/${encodeURIComponent(this.#request.requestId)}?${query}`
    this.#exchange = this.#startExchange(this.#reattachClient, 'GET', path, { authorization: `Bearer ${this.#deps.fleetSecret}` })
    return this.#exchange.head
  }

  /** Turns a "not run" verdict that arrives after the response head into `ran`: the request did run, and the endpoint process only has no record of it any more. */
  #toIncompleteFailure (failure: AttemptFailure): AttemptResult {
    if (failure.isAborted || failure.failure.verdict.kind !== 'notRun') return Err(failure)
    return failed({ verdict: ran, reason: 'endpointLost', detail: 'the endpoint lost the rest of the answer' })
  }

  #closeReattachClient (): void {
    const client = this.#reattachClient
    this.#reattachClient = undefined
    client?.destroy().catch(() => {})
  }

  #wait (delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.#deps.timers.after(delayMs, resolve)
      this.#cancelWait = () => { cancel(); resolve() }
    })
  }
}

/**
 * True for a refusal by the listener of the endpoint process, for example because
 * the process is not ready yet. Responses to a call that the endpoint process has
 * parsed have a request id header; refusals by the listener have none.
 */
function isListenerRefusal (head: UpstreamHead): boolean {
  return head.status >= 400 && (head.headers[requestIdHeader] ?? '') === ''
}

const endpointLost: Failure = { verdict: mayHaveRun, reason: 'endpointLost', detail: 'the endpoint was lost before it answered' }

function failed (failure: Failure, settlement?: Settlement, isEndpointDead = false): Result<never, AttemptFailure> {
  return Err({ failure, settlement, isAborted: false, isEndpointDead })
}

function aborted (): Result<never, AttemptFailure> {
  return Err({ failure: endpointLost, settlement: undefined, isAborted: true, isEndpointDead: false })
}
