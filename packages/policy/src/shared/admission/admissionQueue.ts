/**
 * Admission to one back end: a concurrency limit and a bounded queue in front
 * of it. Interactive requests go before batch ones; within a priority,
 * organisations share by deficit round robin, weighted by tokens; within an
 * organisation the earliest deadline goes first.
 */

export interface WaitingRequest {
  readonly id: string
  readonly organisation: string
  readonly priority: 'interactive' | 'batch'
  /** Monotonic time by which the answer is wanted, in ms. */
  readonly deadlineAtMs: number
  /** Reserved tokens, the weight in the round robin. */
  readonly tokens: number
}

export interface AdmissionOptions {
  /** Most requests at the back end. */
  readonly limit: number
  /** Most requests that wait. */
  readonly queueLimit: number
}

export type OfferResult =
  | { readonly kind: 'run' }
  | { readonly kind: 'queued' }
  | { readonly kind: 'full', readonly retryAfterMs: number }
  /** The request cannot be answered before its deadline. */
  | { readonly kind: 'tooLate', readonly retryAfterMs: number }

interface Lane<Request> {
  readonly organisation: string
  /** By deadline, earliest first. */
  readonly requests: Request[]
  deficitTokens: number
}

/** Weight of the newest sample in the mean duration. */
const durationWeight = 0.1
/** Rise of the shortest duration per sample, so that it forgets a past extreme. */
const shortestDrift = 1.02

export class AdmissionQueue<Request extends WaitingRequest> {
  readonly #classes = { interactive: [] as Lane<Request>[], batch: [] as Lane<Request>[] }
  readonly #queueLimit: number
  #limit: number
  #running = 0
  #queued = 0
  #meanMs: number | undefined
  #shortestMs = 0
  /** Largest weight seen; as the quantum it lets each lane send at least one request per round. */
  #quantumTokens = 1

  constructor (options: AdmissionOptions) {
    this.#limit = options.limit
    this.#queueLimit = options.queueLimit
  }

  get running (): number { return this.#running }
  get queued (): number { return this.#queued }
  get limit (): number { return this.#limit }

  /** Changes the concurrency limit; running requests above it go on. */
  setLimit (limit: number): void {
    this.#limit = limit
  }

  /**
   * `run` counts the request as running; `queued` keeps it until `next`,
   * `remove` or `expire`. With `mayStart` false nothing runs at once.
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
    this.#add(request)
    return { kind: 'queued' }
  }

  /** Takes the next request when the back end has room; it then counts as running. */
  next (): Request | undefined {
    if (this.#running >= this.#limit) return undefined
    const request = this.#take('interactive') ?? this.#take('batch')
    if (request !== undefined) this.#running += 1
    return request
  }

  /** Ends a running request. `durationMs` is left out for requests that say nothing about the back end's speed. */
  finished (durationMs?: number): void {
    this.#running -= 1
    if (durationMs === undefined) return
    this.#meanMs = this.#meanMs === undefined ? durationMs : this.#meanMs + durationWeight * (durationMs - this.#meanMs)
    this.#shortestMs = this.#shortestMs === 0 ? durationMs : Math.min(durationMs, this.#shortestMs * shortestDrift)
  }

  /** Removes the waiting requests that fit; returns them. */
  remove (matches: (request: Request) => boolean): readonly Request[] {
    const removed: Request[] = []
    for (const lanes of Object.values(this.#classes)) {
      for (const lane of lanes.toReversed()) {
        removed.push(...lane.requests.filter(matches))
        const kept = lane.requests.filter(request => !matches(request))
        lane.requests.splice(0, lane.requests.length, ...kept)
        if (kept.length === 0) lanes.splice(lanes.indexOf(lane), 1)
      }
    }
    this.#queued -= removed.length
    return removed
  }

  /** Removes the waiting requests that would be answered after their deadline even if they started now. */
  expire (nowMs: number): readonly Request[] {
    return this.remove(request => nowMs + this.#shortestMs > request.deadlineAtMs)
  }

  #expectedWaitMs (request: Request): number {
    return Math.ceil((this.#ahead(request) + 1) * (this.#meanMs ?? 0) / this.#limit)
  }

  /** Requests served before this one: all of a higher class, and of its own at most a fair share of each lane. */
  #ahead (request: Request): number {
    const own = this.#classes[request.priority]
    const before = own.find(lane => lane.organisation === request.organisation)?.requests
      .filter(other => other.deadlineAtMs <= request.deadlineAtMs).length ?? 0
    const fromOthers = own.filter(lane => lane.organisation !== request.organisation)
      .reduce((sum, lane) => sum + Math.min(lane.requests.length, before + 1), 0)
    const above = request.priority === 'batch' ? this.#classes.interactive.reduce((sum, lane) => sum + lane.requests.length, 0) : 0
    return above + before + fromOthers
  }

  #add (request: Request): void {
    const lanes = this.#classes[request.priority]
    let lane = lanes.find(candidate => candidate.organisation === request.organisation)
    if (lane === undefined) {
      lane = { organisation: request.organisation, requests: [], deficitTokens: 0 }
      lanes.push(lane)
    }
    const after = lane.requests.findIndex(other => other.deadlineAtMs > request.deadlineAtMs)
    lane.requests.splice(after === -1 ? lane.requests.length : after, 0, request)
    this.#queued += 1
    this.#quantumTokens = Math.max(this.#quantumTokens, request.tokens)
  }

  /** Deficit round robin: the first lane sends while its deficit covers its first request, then goes to the back. */
  #take (priority: WaitingRequest['priority']): Request | undefined {
    const lanes = this.#classes[priority]
    for (let lane = lanes[0]; lane !== undefined; lane = lanes[0]) {
      const request = lane.requests[0]!
      const weight = Math.max(1, request.tokens)
      if (lane.deficitTokens < weight) {
        lane.deficitTokens += this.#quantumTokens
        if (lanes.length > 1) { lanes.push(lanes.shift()!) }
        continue
      }
      lane.deficitTokens -= weight
      lane.requests.shift()
      this.#queued -= 1
      if (lane.requests.length === 0) lanes.shift()
      return request
    }
    return undefined
  }
}
