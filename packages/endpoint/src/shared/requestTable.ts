/**
 * Every request id that this process has seen, so that each runs at most once,
 * and the answers that are still kept.
 */
import { LRUCache } from 'lru-cache'
import type { Failure } from '@buckthorndrift/policy'
import { Answer } from './answer.ts'
import { usageTailBytes } from './tokenMeter.ts'

export interface RequestTableOptions {
  /** Monotonic time in ms. */
  readonly monotonicMs: () => number
  readonly answerRetentionMs: number
  /** Most bytes of all kept answers, running ones included. */
  readonly answersLimitBytes: number
  /** Shortest time for which an id is remembered by itself, in ms. */
  readonly idRetentionMs?: number
  /** Most ids remembered by themselves. */
  readonly idsLimit?: number
}

interface Entry {
  readonly answer: Answer
  readonly seenAtMs: number
}

export type Lookup =
  | { readonly kind: 'new' }
  | { readonly kind: 'known', readonly answer: Answer }
  /** Too old to be remembered by itself: it may have run. */
  | { readonly kind: 'stale' }
  /** Not of the form `<routerId>.<incarnation>.<sequence>`. */
  | { readonly kind: 'malformed' }

/** Routers give a silent connection up after seconds and re-attach at once; nobody else can ask for an answer without a key. */
const reattachRetentionMs = 30_000
const defaultIdRetentionMs = 600_000
/** An ordinary load is some 4000 ids in the retention time; a flood of refusals may use some 10 MB. */
const defaultIdsLimit = 20_000
/** Router incarnations whose floor is remembered; a fleet restarts some 130 processes a day. */
const floorsLimit = 20_000

interface IdParts {
  readonly router: string
  readonly sequence: number
}

function partsOf (requestId: string): IdParts | undefined {
  const dot = requestId.lastIndexOf('.')
  const digits = requestId.slice(dot + 1)
  const sequence = Number(digits)
  return dot > 0 && /^\d+$/.test(digits) && Number.isSafeInteger(sequence) ? { router: requestId.slice(0, dot), sequence } : undefined
}

/**
 * Ids are kept for a while one by one. Then the highest forgotten sequence of
 * the router incarnation stays, and every unknown id at or below it is stale,
 * so that a copy never runs again however late it arrives.
 */
export class RequestTable {
  readonly #options: RequestTableOptions
  readonly #entries = new Map<string, Entry>()
  readonly #floors: LRUCache<string, number>
  readonly #finished: LRUCache<string, Answer>
  #heldBytes = 0

  constructor (options: RequestTableOptions) {
    this.#options = options
    this.#floors = new LRUCache({ max: floorsLimit })
    this.#finished = new LRUCache<string, Answer>({
      maxSize: options.answersLimitBytes,
      ttl: Math.max(1, options.answerRetentionMs),
      ttlResolution: 0,
      perf: { now: options.monotonicMs },
      sizeCalculation: answer => Math.max(1, answer.heldBytes),
      dispose: answer => {
        this.#heldBytes -= answer.heldBytes
        answer.drop()
      }
    })
  }

  /** Bytes of all kept answers. */
  get heldBytes (): number { return this.#heldBytes }
  get size (): number { return this.#entries.size }

  look (requestId: string): Lookup {
    const entry = this.#entries.get(requestId)
    if (entry !== undefined) return { kind: 'known', answer: entry.answer }
    const parts = partsOf(requestId)
    if (parts === undefined) return { kind: 'malformed' }
    return parts.sequence <= (this.#floors.get(parts.router) ?? -1) ? { kind: 'stale' } : { kind: 'new' }
  }

  /** Registers a new id. */
  open (requestId: string): Answer {
    const answer = new Answer()
    this.#entries.set(requestId, { answer, seenAtMs: this.#options.monotonicMs() })
    return answer
  }

  /** Registers a new id as refused for good. */
  refuse (requestId: string, failure: Failure): Answer {
    const answer = this.open(requestId)
    answer.fail(failure)
    return answer
  }

  /**
   * Appends to a running answer within the byte limit: finished answers go
   * first, the oldest one before the others, then the part of this answer
   * below `takenOffset`, which its readers have.
   */
  append (answer: Answer, bytes: Uint8Array, takenOffset: number): void {
    const before = answer.heldBytes
    answer.append(bytes)
    this.#heldBytes += answer.heldBytes - before
    this.#makeRoom(answer, takenOffset)
  }

  /** Keeps a finished answer: for the retention time when callers can return with its key, else long enough for a router that re-attaches. */
  keep (requestId: string, answer: Answer, hasKey: boolean): void {
    if (this.#options.answerRetentionMs === 0 || answer.heldBytes > this.#options.answersLimitBytes) {
      this.#heldBytes -= answer.heldBytes
      answer.drop()
      return
    }
    const { answerRetentionMs } = this.#options
    this.#finished.set(requestId, answer, { ttl: hasKey ? answerRetentionMs : Math.min(answerRetentionMs, reattachRetentionMs) })
  }

  /** Drops expired answers and ids. Called every second or so. */
  sweep (): void {
    this.#finished.purgeStale()
    const nowMs = this.#options.monotonicMs()
    const retentionMs = Math.max(this.#options.idRetentionMs ?? defaultIdRetentionMs, this.#options.answerRetentionMs)
    const idsLimit = this.#options.idsLimit ?? defaultIdsLimit
    for (const [requestId, { answer, seenAtMs }] of this.#entries) {
      if (nowMs - seenAtMs < retentionMs && this.#entries.size <= idsLimit) break
      if (answer.state === 'waiting' || answer.state === 'streaming') continue
      this.#forget(requestId)
    }
  }

  #forget (requestId: string): void {
    this.#finished.delete(requestId)
    this.#entries.delete(requestId)
    const parts = partsOf(requestId)
    if (parts === undefined) return
    this.#floors.set(parts.router, Math.max(parts.sequence, this.#floors.get(parts.router) ?? -1))
  }

  #makeRoom (answer: Answer, takenOffset: number): void {
    const limit = this.#options.answersLimitBytes
    while (this.#heldBytes > limit && this.#finished.size > 0) this.#finished.pop()
    if (this.#heldBytes <= limit) return
    const before = answer.heldBytes
    answer.trim(Math.min(takenOffset, answer.length - usageTailBytes))
    this.#heldBytes -= before - answer.heldBytes
  }
}
