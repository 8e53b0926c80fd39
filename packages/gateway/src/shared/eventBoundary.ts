/** Cuts an event stream into whole events, so that nothing is passed on of an event that breaks off. */

const lineFeed = 0x0A
const idPattern = /^id: ?(.*)$/m

export interface WholeEvents {
  /** Bytes of the events that are complete now. */
  readonly bytes: Buffer
  readonly count: number
  /** Id of the last of them that has one. */
  readonly lastId: string | undefined
}

export class EventBoundary {
  #pending: Buffer = Buffer.alloc(0)
  #lastId: string | undefined
  #count = 0

  /** Id of the last complete event. */
  get lastId (): string | undefined {
    return this.#lastId
  }

  get count (): number {
    return this.#count
  }

  /** Bytes of an event that is not complete yet. */
  get pendingBytes (): number {
    return this.#pending.length
  }

  /** Drops the beginning of an event whose rest will not come, before the stream goes on elsewhere. */
  discardPartial (): void {
    this.#pending = Buffer.alloc(0)
  }

  push (chunk: Buffer): WholeEvents {
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
