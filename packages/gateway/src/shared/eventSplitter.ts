/** Splits an event stream into complete events, so that a truncated event is never passed on. */

const lineFeed = 0x0A
const idPattern = /^id: ?(.*)$/m

/** Largest event. An endpoint that fails may send bytes without end, and an incomplete event is held in memory. */
const maxEventBytes = 256 * 1024

export interface CompleteEvents {
  /** Bytes of the events that this chunk completed. */
  readonly bytes: Buffer
  readonly count: number
  /** Id of the last complete event of the stream that has one. */
  readonly lastId: string | undefined
}

export class EventSplitter {
  /** Bytes of the event that is not complete yet. They are joined only once it is complete, so that many small chunks take linear time. */
  #pending: Buffer[] = []
  #pendingBytes = 0
  #lastId: string | undefined
  #count = 0
  /** Id after which the stream resumes; `undefined` once its first event is known, or if it does not resume. */
  #resumedAfter: string | undefined
  #isRepeating = false
  readonly #callerResumesAfter: string | undefined

  /** `callerResumesAfter` is the id of the last event that the caller has from an earlier request; `undefined` if the stream begins with this request. */
  constructor (callerResumesAfter?: string) {
    this.#callerResumesAfter = callerResumesAfter
  }

  /** Id after which the next attempt has to go on; `undefined` if it begins the stream. */
  get resumeAfter (): string | undefined {
    return this.#lastId ?? this.#callerResumesAfter
  }

  /** Id of the last complete event that has one. */
  get lastId (): string | undefined {
    return this.#lastId
  }

  get count (): number {
    return this.#count
  }

  /** Buffered bytes of the event that is not complete yet. */
  get pendingBytes (): number {
    return this.#pendingBytes
  }

  /** Why the stream must not go on; `undefined` if it may. */
  get fault (): string | undefined {
    if (this.#pendingBytes > maxEventBytes) return 'an event is larger than the limit'
    return this.#isRepeating ? 'the endpoint repeats events that the caller has' : undefined
  }

  /** Discards a truncated event before the stream begins, or resumes at another endpoint. */
  beginAttempt (): void {
    this.#setPending(Buffer.alloc(0))
    this.#resumedAfter = this.resumeAfter
    this.#isRepeating = false
  }

  /** Takes the next chunk of the stream and returns the events that it completed. */
  push (chunk: Buffer): CompleteEvents {
    if (!this.#completesEvent(chunk)) {
      if (chunk.length > 0) this.#pending.push(chunk)
      this.#pendingBytes += chunk.length
      return { bytes: chunk.subarray(0, 0), count: 0, lastId: this.#lastId }
    }
    const bytes = this.#pendingBytes === 0 ? chunk : Buffer.concat([...this.#pending, chunk])
    let end = 0
    let count = 0
    for (let index = 1; index < bytes.length; index++) {
      if (bytes[index] !== lineFeed || bytes[index - 1] !== lineFeed || index - 1 < end) continue
      this.#applyId(idPattern.exec(bytes.toString('latin1', end, index))?.[1])
      end = index + 1
      count++
    }
    this.#setPending(bytes.subarray(end))
    this.#count += count
    return { bytes: bytes.subarray(0, end), count, lastId: this.#lastId }
  }

  #applyId (id: string | undefined): void {
    // Repeated events are not passed on, so the next attempt resumes after the last one before them.
    if (id === undefined || this.#isRepeating) return
    // Ids increase within a stream. Ids that are no numbers cannot be compared.
    this.#isRepeating = this.#resumedAfter !== undefined && Number(id) <= Number(this.#resumedAfter)
    if (this.#isRepeating) return
    this.#resumedAfter = undefined
    this.#lastId = id
  }

  /** Whether the chunk contains the end of an event, that is, the second of two line feeds. */
  #completesEvent (chunk: Buffer): boolean {
    const lastPending = this.#pending.at(-1)?.at(-1)
    return (lastPending === lineFeed && chunk[0] === lineFeed) || chunk.includes('\n\n')
  }

  #setPending (bytes: Buffer): void {
    this.#pending = bytes.length === 0 ? [] : [bytes]
    this.#pendingBytes = bytes.length
  }
}
