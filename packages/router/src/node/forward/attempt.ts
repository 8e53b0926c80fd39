/**
 * One attempt of a request at one endpoint. When its connection breaks or goes
 * silent it re-attaches on a new one, so that the answer goes on without a gap.
 */
import type { Client, Dispatcher } from 'undici'
import { Err, Ok, type Result } from 'ts-results-es'
import type { TimerService } from '@buckthorndrift/kernel'
import { mayHaveRun, notRun, ran, type Failure } from '@buckthorndrift/policy'
import { loadHeader, requestIdHeader, verdictHeader, type Member, type Settlement } from '@buckthorndrift/protocol'
import type { EndpointPools } from './endpointPools.ts'
import type { SilenceWatch } from './silenceMonitor.ts'
import { Upstream, type ChunkSink, type UpstreamFailure, type UpstreamHead } from './upstream.ts'
import { failureOf, settlementOf } from './wire.ts'

export interface AttemptDeps {
  readonly pools: EndpointPools
  readonly timers: TimerService
  readonly silence: SilenceWatch
  readonly fleetSecret: string
  readonly attachForMs: number
  readonly onLoad: (endpoint: Member, header: string | string[] | undefined) => void
  /** Called when the endpoint process does not answer; `isGone` when nothing listens at its address. */
  readonly onUnreachable: (endpoint: Member, isGone: boolean) => void
  readonly onReattach: (endpoint: Member) => void
}

export interface AttemptRequest {
  readonly endpoint: Member
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  /** Whether to give up soon when the endpoint does not answer, because the call may run elsewhere. */
  readonly idempotent: boolean
}

/** `settlement` is `undefined` when the cost cannot be known. */
export interface AttemptFailure {
  readonly failure: Failure
  readonly settlement: Settlement | undefined
  readonly isAborted: boolean
  /** True when the endpoint process died, rather than being out of reach. */
  readonly isGone: boolean
}

export type AttemptEnd = Result<Settlement | undefined, AttemptFailure>

const reattachDelayMs = 50
/** Refused connections in a row after which the process counts as gone. */
const refusalsUntilGone = 2

export class Attempt {
  readonly endpoint: Member
  readonly #deps: AttemptDeps
  readonly #request: AttemptRequest
  #upstream: Upstream | undefined
  #freshClient: Client | undefined
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
    return this.#wasSent || this.#upstream?.wasSent === true
  }

  /** Body bytes received so far. */
  get offsetBytes (): number {
    return this.#offsetBytes
  }

  /** Sends the request and waits for the head of its answer. */
  async open (): Promise<Result<UpstreamHead, AttemptFailure>> {
    const { method, path, headers, body } = this.#request
    const pool = this.#deps.pools.get(this.endpoint)
    this.#upstream = this.#exchange(pool, method, path, headers, body)
    const head = await this.#upstream.head
    if (head.isOk()) {
      if (this.#isOwn(head.value)) return this.#accept(head.value)
      if (isFromListener(head.value)) return this.#refusedByListener(head.value)
      return this.#recover({ kind: 'broken', detail: 'the answer names another request' })
    }
    if (head.error.kind === 'invalid') return failed({ verdict: notRun, reason: 'badRequest', detail: `the request cannot be forwarded: ${head.error.detail}` })
    if (head.error.kind === 'notSent') {
      this.#deps.onUnreachable(this.endpoint, head.error.isRefused === true)
      return failed({ verdict: notRun, reason: 'endpointLost', detail: 'no connection to the endpoint' })
    }
    return this.#recover(head.error)
  }

  /** Attaches to the answer of a request that was sent before, by this router or another one. */
  attach (offsetBytes = 0): Promise<Result<UpstreamHead, AttemptFailure>> {
    this.#offsetBytes = offsetBytes
    return this.#attachUntil(this.#deps.timers.monotonicMs() + this.#deps.attachForMs)
  }

  /** Passes the body to `sink` to its end; resolves with the settlement. */
  async read (sink: ChunkSink): Promise<AttemptEnd> {
    for (;;) {
      const upstream = this.#upstream
      if (upstream === undefined) return failed(lost)
      const end = await upstream.read(chunk => {
        this.#offsetBytes += chunk.length
        return sink(chunk)
      })
      if (end.isOk()) {
        this.#closeFresh()
        return Ok(settlementOf(end.value) ?? settlementOf(this.#head?.headers ?? {}))
      }
      const recovered = await this.#recover(end.error)
      if (recovered.isErr()) return this.#incomplete(recovered.error)
    }
  }

  /** Tells the endpoint process that nobody comes back for the answer, so that it stops what can be stopped. */
  async abandon (): Promise<void> {
    this.#freshClient = this.#deps.pools.fresh(this.endpoint)
    const path = `/attach/${encodeURIComponent(this.#request.requestId)}`
    await this.#exchange(this.#freshClient, 'DELETE', path, { authorization: `Bearer ${this.#deps.fleetSecret}` }).head
    this.#closeFresh()
  }

  /** Continues after the sink asked for a pause. */
  resume (): void {
    this.#upstream?.resume()
  }

  /** Gives the attempt up; the endpoint process cancels it unless somebody attaches. */
  abort (): void {
    this.#isAborted = true
    this.#wasSent = this.wasSent
    this.#upstream?.abort()
    this.#cancelWait?.()
    this.close()
  }

  /** Ends the attempt; calling it again has no effect. */
  close (): void {
    this.#closeFresh()
    const { onClosed } = this
    this.onClosed = () => {}
    onClosed()
  }

  #exchange (dispatcher: Dispatcher, method: string, path: string, headers: Readonly<Record<string, string>>, body?: Buffer): Upstream {
    const { timers, silence } = this.#deps
    return new Upstream({
      dispatcher,
      timers,
      silence,
      origin: new URL(this.endpoint.controlUrl).origin,
      method,
      path,
      headers,
      ...(body === undefined ? {} : { body })
    })
  }

  #isOwn (head: UpstreamHead): boolean {
    return head.headers[requestIdHeader] === this.#request.requestId
  }

  #refusedByListener (head: UpstreamHead): Result<never, AttemptFailure> {
    this.#upstream?.abort()
    return failed({ verdict: notRun, reason: 'endpointLost', detail: `the endpoint process does not take requests (status ${head.status})` })
  }

  async #accept (head: UpstreamHead): Promise<Result<UpstreamHead, AttemptFailure>> {
    this.#deps.onLoad(this.endpoint, head.headers[loadHeader])
    if (head.headers[verdictHeader] === undefined) {
      this.#head ??= head
      return Ok(head)
    }
    const text = await this.#upstream?.readText() ?? ''
    this.#closeFresh()
    const failure = failureOf(text)
    // A later life of the process answers for the one that had the request.
    const isGone = failure.reason === 'endpointLost' && failure.verdict.kind === 'mayHaveRun'
    if (isGone) this.#deps.onUnreachable(this.endpoint, true)
    return failed(failure, isGone ? undefined : this.#settlementOf(failure), isGone)
  }

  /** The endpoint process charges nothing for a failure that it reports itself, unless the answer did run and is gone. */
  #settlementOf (failure: Failure): Settlement | undefined {
    if (failure.reason === 'answerExpired') return undefined
    return { requestId: this.#request.requestId, tokens: 0, outcome: failure.verdict.kind === 'notRun' ? 'notRun' : 'failed' }
  }

  /** After the connection failed: the endpoint process may still have the answer. */
  async #recover (cause: UpstreamFailure): Promise<Result<UpstreamHead, AttemptFailure>> {
    if (this.#isAborted || cause.kind === 'aborted') return aborted()
    // Other idle connections may have gone silent at the same time.
    if (cause.kind === 'silent') this.#deps.pools.renew(this.endpoint)
    this.#upstream?.abort()
    this.#deps.onReattach(this.endpoint)
    return this.#attachUntil(this.#deps.timers.monotonicMs() + this.#deps.attachForMs)
  }

  async #attachUntil (untilMs: number): Promise<Result<UpstreamHead, AttemptFailure>> {
    for (let refusals = 0; ;) {
      const head = await this.#attachOnce()
      if (head.isOk() && this.#isOwn(head.value)) return this.#accept(head.value)
      if (this.#isAborted) return aborted()
      this.#upstream?.abort()
      const isRefused = head.isErr() && head.error.isRefused === true
      refusals = isRefused ? refusals + 1 : 0
      const isGone = refusals >= refusalsUntilGone
      const canRunElsewhere = this.#request.idempotent && this.#offsetBytes === 0 && !isRefused
      if (isGone || canRunElsewhere || this.#deps.timers.monotonicMs() >= untilMs) {
        this.#deps.onUnreachable(this.endpoint, isGone)
        return failed(lost, undefined, isGone)
      }
      await this.#wait(reattachDelayMs)
      if (this.#isAborted) return aborted()
    }
  }

  #attachOnce (): Promise<Result<UpstreamHead, UpstreamFailure>> {
    this.#wasSent = true
    this.#closeFresh()
    this.#freshClient = this.#deps.pools.fresh(this.endpoint)
    // Another life of the process at the same address must not say "not run" of what this one may have run.
    const query = `offset=${this.#offsetBytes}&incarnation=${encodeURIComponent(this.endpoint.incarnation)}`
    const path = `/attach/${encodeURIComponent(this.#request.requestId)}?${query}`
    this.#upstream = this.#exchange(this.#freshClient, 'GET', path, { authorization: `Bearer ${this.#deps.fleetSecret}` })
    return this.#upstream.head
  }

  /** After a part of the body was passed on, "not run" can only mean that the endpoint process forgot the request. */
  #incomplete (failure: AttemptFailure): AttemptEnd {
    if (failure.isAborted || failure.failure.verdict.kind !== 'notRun') return Err(failure)
    return failed({ verdict: ran, reason: 'endpointLost', detail: 'the endpoint lost the rest of the answer' })
  }

  #closeFresh (): void {
    const client = this.#freshClient
    this.#freshClient = undefined
    client?.destroy().catch(() => {})
  }

  #wait (delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.#deps.timers.after(delayMs, resolve)
      this.#cancelWait = () => { cancel(); resolve() }
    })
  }
}

/** The gate names the request in all of its answers; the listener in front of it refuses without a name, for example before the gate is open. */
function isFromListener (head: UpstreamHead): boolean {
  return head.status >= 400 && (head.headers[requestIdHeader] ?? '') === ''
}

const lost: Failure = { verdict: mayHaveRun, reason: 'endpointLost', detail: 'the endpoint was lost before it answered' }

function failed (failure: Failure, settlement?: Settlement, isGone = false): Result<never, AttemptFailure> {
  return Err({ failure, settlement, isAborted: false, isGone })
}

function aborted (): Result<never, AttemptFailure> {
  return Err({ failure: lost, settlement: undefined, isAborted: true, isGone: false })
}
