/**
 * Admission control for one back end: a concurrency limit with a bounded queue in
 * front of it. Interactive requests run before batch requests. Within a priority,
 * deficit round robin by tokens shares the back end between organisations. Within
 * an organisation, the earliest deadline runs first.
 */

export interface WaitingRequest {
  readonly id: string
  readonly organisation: string
  readonly priority: 'interactive' | 'batch'
  /** Deadline of the request, in monotonic time. */
  readonly deadlineAtMs: number
  /** Reserved tokens; the cost of the request in the round robin. */
  readonly tokens: number
}

export interface AdmissionOptions {
  /** Maximum number of requests that run at the back end. */
  readonly limit: number
  /** Maximum number of queued requests. */
  readonly queueLimit: number
}

/** What happened to a request that was offered to the queue. */
export type OfferResult =
  | { readonly kind: 'run' }
  | { readonly kind: 'queued' }
  | { readonly kind: 'full', readonly retryAfterMs: number }
  /** The request was rejected because it cannot finish before its deadline. */
  | { readonly kind: 'tooLate', readonly retryAfterMs: number }

/** The queued requests of one organisation in one priority. */
interface Flow<Request> {
  readonly organisation: string
  /** Sorted by deadline, earliest first. */
  readonly requests: Request[]
  deficitTokens: number
}

/** Weight of the newest sample in the moving average of the duration. */
const durationWeight = 0.1
/** Maximum growth of the estimated shortest duration per sample, so that one unusually fast request loses its effect over time. */
const shortestGrowthFactor = 1.02

export class AdmissionQueue<Request extends WaitingRequest> {
  readonly #classes = { interactive: [] as Flow<Request>[], batch: [] as Flow<Request>[] }
  readonly #queueLimit: number
  #limit: number
  #running = 0
  #queued = 0
  #meanMs: number | undefined
  #shortestMs = 0
  /** Round robin quantum: the largest request so far, so that each flow sends at least one request per round. */
  #quantumTokens = 1

  constructor (options: AdmissionOptions) {
    this.#limit = options.limit
    this.#queueLimit = options.queueLimit
  }

  get running (): number { return this.#running }
  get queued (): number { return this.#queued }
  get limit (): number { return this.#limit }

  /** Changes the concurrency limit. Running requests above a lower limit continue. */
  setLimit (limit: number): void {
    this.#limit = limit
  }

  /**
   * Admits, queues or rejects a request. After `run` it counts as running. After
   * `queued` it stays in the queue until `next`, `remove` or `expire` returns it.
   * If `mayStart` is false, the queue does not admit the request at once, even below
   * the concurrency limit.
   */
  offer (request: Request, nowMs: number, mayStart = true): OfferResult {
    if (nowMs + this.#shortestMs > request.deadlineAtMs) return { kind: 'tooLate', retryAfterMs: 0 }
    if (mayStart && this.#queued === 0 && this.#running < this.#limit) {
      this.#running += 1
      return { kind: 'run' }
    }
    const waitMs = this.#expectedWaitMs(request)
    if (this.#queued >= this.#queueLimit) return { kind: 'full', retryAfterMs: waitMs }
    if (nowMs + waitMs + this.#shortestMs > request.deadlineAtMs) return { kind: 'tooLate', retryAfterMs: waitMs }
    this.#enqueue(request)
    return { kind: 'queued' }
  }

  /** Dequeues the next request if the concurrency limit allows it; the request then counts as running. */
  next (): Request | undefined {
    if (this.#running >= this.#limit) return undefined
    const request = this.#dequeue('interactive') ?? this.#dequeue('batch')
    if (request !== undefined) this.#running += 1
    return request
  }

  /** Records the end of a running request. Omit `durationMs` if it does not reflect the speed of the back end. */
  finished (durationMs?: number): void {
    this.#running -= 1
    if (durationMs === undefined) return
    this.#meanMs = this.#meanMs === undefined ? durationMs : this.#meanMs + durationWeight * (durationMs - this.#meanMs)
    this.#shortestMs = this.#shortestMs === 0 ? durationMs : Math.min(durationMs, this.#shortestMs * shortestGrowthFactor)
  }

  /** Removes and returns the queued requests for which `matches` is true. */
  remove (matches: (request: Request) => boolean): readonly Request[] {
    const removed: Request[] = []
    for (const flows of Object.values(this.#classes)) {
      for (const flow of flows.toReversed()) {
        removed.push(...flow.requests.filter(matches))
        const kept = flow.requests.filter(request => !matches(request))
        flow.requests.splice(0, flow.requests.length, ...kept)
        if (kept.length === 0) flows.splice(flows.indexOf(flow), 1)
      }
    }
    this.#queued -= removed.length
    return removed
  }

  /** Removes and returns the queued requests that would miss their deadline even if they started now. */
  expire (nowMs: number): readonly Request[] {
    return this.remove(request => nowMs + this.#shortestMs > request.deadlineAtMs)
  }

  #expectedWaitMs (request: Request): number {
    return Math.ceil((this.#countAhead(request) + 1) * (this.#meanMs ?? 0) / this.#limit)
  }

  /**
   * Estimates how many queued requests run before this one: all of a higher
   * priority, those of its own flow with no later deadline, and as many of each
   * other flow as the round robin lets run until then.
   */
  #countAhead (request: Request): number {
    const own = this.#classes[request.priority]
    const before = own.find(flow => flow.organisation === request.organisation)?.requests
      .filter(other => other.deadlineAtMs <= request.deadlineAtMs).length ?? 0
    const fromOthers = own.filter(flow => flow.organisation !== request.organisation)
      .reduce((sum, flow) => sum + Math.min(flow.requests.length, before + 1), 0)
    const above = request.priority === 'batch' ? this.#classes.interactive.reduce((sum, flow) => sum + flow.requests.length, 0) : 0
    return above + before + fromOthers
  }

  #enqueue (request: Request): void {
    const flows = this.#classes[request.priority]
    let flow = flows.find(candidate => candidate.organisation === request.organisation)
    if (flow === undefined) {
      flow = { organisation: request.organisation, requests: [], deficitTokens: 0 }
      flows.push(flow)
    }
    const after = flow.requests.findIndex(other => other.deadlineAtMs > request.deadlineAtMs)
    flow.requests.splice(after === -1 ? flow.requests.length : after, 0, request)
    this.#queued += 1
    this.#quantumTokens = Math.max(this.#quantumTokens, request.tokens)
  }

  /**
   * Deficit round robin: the first flow sends while its deficit counter covers its
   * first request. It then gets a quantum and moves to the back.
   */
  #dequeue (priority: WaitingRequest['priority']): Request | undefined {
    const flows = this.#classes[priority]
    for (let flow = flows[0]; flow !== undefined; flow = flows[0]) {
      const request = flow.requests[0]!
      const weight = Math.max(1, request.tokens)
      if (flow.deficitTokens < weight) {
        flow.deficitTokens += this.#quantumTokens
        if (flows.length > 1) { flows.push(flows.shift()!) }
        continue
      }
      flow.deficitTokens -= weight
      flow.requests.shift()
      this.#queued -= 1
      if (flow.requests.length === 0) flows.shift()
      return request
    }
    return undefined
  }
}
