/** Splits an event stream into complete events, so that a truncated event is never passed on. */

const lineFeed = 0x0A
const idPattern = /^id: ?(.*)$/m

export interface CompleteEvents {
  /** Bytes of the events that this chunk completed. */
  readonly bytes: Buffer
  readonly count: number
  /** Id of the last complete event of the stream that has one. */
  readonly lastId: string | undefined
}

export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0)
  #lastId: string | undefined
  #count = 0

  /** Id of the last complete event that has one. */
  get lastId (): string | undefined {
    return this.#lastId
  }

  get count (): number {
    return this.#count
  }

  /** Buffered bytes of the event that is not complete yet. */
  get pendingBytes (): number {
    return this.#pending.length
  }

  /** Discards a truncated event before the stream resumes at another endpoint. */
  discardPartial (): void {
    this.#pending = Buffer.alloc(0)
  }

  /** Takes the next chunk of the stream and returns the events that it completed. */
  push (chunk: Buffer): CompleteEvents {
    const bytes = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk])
    let end = 0
    let count = 0
    for (let index = 1; index < bytes.length; index++) {
      if (bytes[index] !== lineFeed || bytes[index - 1] !== lineFeed || index - 1 < end) continue
      this.#lastId = idPattern.exec(bytes.toString('latin1', end, index))?.[1] ?? this.#lastId
      end = index + 1
      count++
    }
    this.#pending = bytes.subarray(end)
    this.#count += count
    return { bytes: bytes.subarray(0, end), count, lastId: this.#lastId }
  }
}
