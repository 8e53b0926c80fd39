/**
 * Table of the request ids that this process has received, so that each request
 * runs at most once, and of the responses that are still buffered.
 */
import { LRUCache } from 'lru-cache'
import type { Failure } from '@buckthorndrift/policy'
import { BufferedResponse } from './bufferedResponse.ts'
import { usageTailBytes } from './tokenMeter.ts'

export interface RequestTableOptions {
  /** Monotonic time in ms. */
  readonly monotonicMs: () => number
  readonly answerRetentionMs: number
  /** Most bytes of all buffered responses, including those of running requests. */
  readonly answersLimitBytes: number
  /** Shortest time for which an individual id is kept. */
  readonly idRetentionMs?: number
  /** Most individual ids to keep. Running requests may exceed it. */
  readonly maxIds?: number
}

interface Entry {
  readonly bufferedResponse: BufferedResponse
  readonly registeredAtMs: number
}

export type LookupResult =
  | { readonly kind: 'new' }
  | { readonly kind: 'known', readonly bufferedResponse: BufferedResponse }
  /** The id is no longer kept individually: its request may have run. */
  | { readonly kind: 'stale' }
  /** Not of the form `<routerId>.<incarnation>.<sequence>`. */
  | { readonly kind: 'malformed' }

/**
 * Retention of responses without an idempotency key. Only the router that sent the request can ask for one:
 * it closes a silent connection within seconds and reattaches immediately.
 */
const unkeyedRetentionMs = 30_000
const defaultIdRetentionMs = 600_000
/** Under ordinary load about 4000 ids arrive within the retention time. A flood of refused requests can fill it to this limit, which takes about 10 MB. */
const defaultMaxIds = 20_000
/** Maximum number of router incarnations whose highest forgotten sequence number is kept. A fleet restarts about 130 processes a day. */
const maxRouterIncarnations = 20_000

interface RequestIdParts {
  readonly routerIncarnation: string
  readonly sequence: number
}

function parseRequestId (requestId: string): RequestIdParts | undefined {
  const dot = requestId.lastIndexOf('.')
  const digits = requestId.slice(dot + 1)
  const sequence = Number(digits)
  return dot > 0 && /^\d+$/.test(digits) && Number.isSafeInteger(sequence) ? { routerIncarnation: requestId.slice(0, dot), sequence } : undefined
}

/**
 * Keeps each request id for the retention time. After that it keeps only the
 * highest forgotten sequence number per router incarnation. Every unknown id at
 * or below that number is stale, so that a duplicate request never runs,
 * however late it arrives.
 */
export class RequestTable {
  readonly #options: RequestTableOptions
  readonly #entries = new Map<string, Entry>()
  readonly #highestForgotten: LRUCache<string, number>
  readonly #finishedResponses: LRUCache<string, BufferedResponse>
  #allocatedBytes = 0

  constructor (options: RequestTableOptions) {
    this.#options = options
    this.#highestForgotten = new LRUCache({ max: maxRouterIncarnations })
    this.#finishedResponses = new LRUCache<string, BufferedResponse>({
      maxSize: options.answersLimitBytes,
      ttl: Math.max(1, options.answerRetentionMs),
      ttlResolution: 0,
      perf: { now: options.monotonicMs },
      sizeCalculation: response => Math.max(1, response.allocatedBytes),
      dispose: response => {
        this.#allocatedBytes -= response.allocatedBytes
        response.drop()
      }
    })
  }

  /** Memory allocated for all buffered responses, in bytes. */
  get allocatedBytes (): number { return this.#allocatedBytes }
  get size (): number { return this.#entries.size }

  lookUp (requestId: string): LookupResult {
    const entry = this.#entries.get(requestId)
    if (entry !== undefined) return { kind: 'known', bufferedResponse: entry.bufferedResponse }
    const parts = parseRequestId(requestId)
    if (parts === undefined) return { kind: 'malformed' }
    return parts.sequence <= (this.#highestForgotten.get(parts.routerIncarnation) ?? -1) ? { kind: 'stale' } : { kind: 'new' }
  }

  /** Registers a new id and returns its response, which is empty so far. */
  register (requestId: string): BufferedResponse {
    const response = new BufferedResponse()
    this.#entries.set(requestId, { bufferedResponse: response, registeredAtMs: this.#options.monotonicMs() })
    return response
  }

  /** Registers a new id as permanently refused. */
  registerRefused (requestId: string, failure: Failure): BufferedResponse {
    const response = this.register(requestId)
    response.fail(failure)
    return response
  }

  /**
   * Appends to the response of a running request and enforces the byte limit.
   * Finished responses are evicted first, oldest first. Then the part of this
   * response below `flushedOffset` is released, because all readers have it.
   */
  append (response: BufferedResponse, bytes: Uint8Array, flushedOffset: number): void {
    const before = response.allocatedBytes
    response.append(bytes)
    this.#allocatedBytes += response.allocatedBytes - before
    this.#enforceByteLimit(response, flushedOffset)
  }

  /**
   * Retains a finished response. With an idempotency key, callers may ask for it during the whole retention time;
   * without one, only a router that reattaches can.
   */
  retain (requestId: string, response: BufferedResponse, hasKey: boolean): void {
    if (this.#options.answerRetentionMs === 0 || response.allocatedBytes > this.#options.answersLimitBytes) {
      this.#allocatedBytes -= response.allocatedBytes
      response.drop()
      return
    }
    const { answerRetentionMs } = this.#options
    this.#finishedResponses.set(requestId, response, { ttl: hasKey ? answerRetentionMs : Math.min(answerRetentionMs, unkeyedRetentionMs) })
  }

  /** Removes expired responses and ids. Call it about every second. */
  sweep (): void {
    this.#finishedResponses.purgeStale()
    const nowMs = this.#options.monotonicMs()
    const retentionMs = Math.max(this.#options.idRetentionMs ?? defaultIdRetentionMs, this.#options.answerRetentionMs)
    const maxIds = this.#options.maxIds ?? defaultMaxIds
    for (const [requestId, { bufferedResponse: response, registeredAtMs }] of this.#entries) {
      if (nowMs - registeredAtMs < retentionMs && this.#entries.size <= maxIds) break
      if (response.state === 'waiting' || response.state === 'streaming') continue
      this.#forget(requestId)
    }
  }

  #forget (requestId: string): void {
    this.#finishedResponses.delete(requestId)
    this.#entries.delete(requestId)
    const parts = parseRequestId(requestId)
    if (parts === undefined) return
    this.#highestForgotten.set(parts.routerIncarnation, Math.max(parts.sequence, this.#highestForgotten.get(parts.routerIncarnation) ?? -1))
  }

  #enforceByteLimit (response: BufferedResponse, flushedOffset: number): void {
    const limit = this.#options.answersLimitBytes
    while (this.#allocatedBytes > limit && this.#finishedResponses.size > 0) this.#finishedResponses.pop()
    if (this.#allocatedBytes <= limit) return
    const before = response.allocatedBytes
    response.trim(Math.min(flushedOffset, response.length - usageTailBytes))
    this.#allocatedBytes -= before - response.allocatedBytes
  }
}
