/**
 * The kept answer of one request.
 *
 * Offsets count the bytes of the response body as this process sends it.
 * Heartbeat lines are appended to the kept body like any other bytes, so every
 * reader receives the same bytes and a router only counts what it received.
 */
import type { Failure } from '@buckthorndrift/policy'
import type { Settlement } from '@buckthorndrift/protocol'

export interface AnswerHead {
  readonly status: number
  /** Names in lower case, without hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string | readonly string[]>>
}

/** How a request stands: its outcome is final in `ended` and `failed`. */
export type AnswerState = 'waiting' | 'streaming' | 'ended' | 'failed'

interface Page {
  readonly start: number
  readonly bytes: Buffer
  used: number
}

/** Pages grow from the first to the second size, so that short answers stay small and long ones have few pages. */
const smallestPageBytes = 512
const largestPageBytes = 16_384

export class Answer {
  #head: AnswerHead | undefined
  #failure: Failure | undefined
  #settlement: Settlement | undefined
  #pages: Page[] = []
  #base = 0
  #length = 0
  #heldBytes = 0
  #isDropped = false
  readonly #listeners = new Set<() => void>()

  get state (): AnswerState {
    if (this.#failure !== undefined) return 'failed'
    if (this.#settlement !== undefined) return 'ended'
    return this.#head === undefined ? 'waiting' : 'streaming'
  }

  get head (): AnswerHead | undefined { return this.#head }
  get failure (): Failure | undefined { return this.#failure }
  get settlement (): Settlement | undefined { return this.#settlement }
  /** Lowest offset that can still be read. */
  get base (): number { return this.#base }
  /** Bytes of the body so far. */
  get length (): number { return this.#length }
  /** Memory held for the body, in bytes. */
  get heldBytes (): number { return this.#heldBytes }
  get isDropped (): boolean { return this.#isDropped }

  begin (head: AnswerHead): void {
    this.#head = head
    this.#notify()
  }

  append (bytes: Uint8Array): void {
    let rest = bytes
    while (rest.length > 0) {
      const page = this.#pageWithRoom(rest.length)
      const part = rest.subarray(0, page.bytes.length - page.used)
      page.bytes.set(part, page.used)
      page.used += part.length
      rest = rest.subarray(part.length)
    }
    this.#length += bytes.length
    this.#notify()
  }

  /** Ends the body; `settlement.outcome` other than `completed` marks an incomplete one. */
  end (settlement: Settlement): void {
    this.#settlement = settlement
    this.#notify()
  }

  /** Ends a request that has no response of the back end. */
  fail (failure: Failure, settlement?: Settlement): void {
    this.#failure = failure
    this.#settlement = settlement
    this.#notify()
  }

  /** Bytes from `offset` on, as far as they are in one piece; empty at the end. Throws below `base`. */
  read (offset: number): Buffer {
    if (offset < this.#base) throw new RangeError(`offset ${offset} is below ${this.#base}`)
    const page = this.#pageAt(offset)
    return page === undefined ? Buffer.alloc(0) : page.bytes.subarray(offset - page.start, page.used)
  }

  /** The last bytes of the body, at most `bytes`. */
  tail (bytes: number): Buffer {
    const parts: Buffer[] = []
    let offset = Math.max(this.#base, this.#length - bytes)
    while (offset < this.#length) {
      const part = this.read(offset)
      parts.push(part)
      offset += part.length
    }
    return Buffer.concat(parts)
  }

  /** Releases whole pages below `offset`. */
  trim (offset: number): void {
    while (this.#pages.length > 1 && this.#pages[1]!.start <= offset) {
      const page = this.#pages.shift()!
      this.#heldBytes -= page.bytes.length
      this.#base = page.start + page.used
    }
  }

  /** Releases the body of a finished answer; its outcome stays known. */
  drop (): void {
    this.#pages = []
    this.#heldBytes = 0
    this.#base = this.#length
    this.#isDropped = true
    this.#notify()
  }

  /** Calls `listener` after each change. Returns the end of the subscription. */
  subscribe (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  #notify (): void {
    for (const listener of this.#listeners) listener()
  }

  #pageWithRoom (bytes: number): Page {
    const last = this.#pages.at(-1)
    if (last !== undefined && last.used < last.bytes.length) return last
    const grown = last === undefined ? smallestPageBytes : last.bytes.length * 2
    const size = Math.min(largestPageBytes, Math.max(grown, Math.min(bytes, largestPageBytes)))
    const page = { start: last === undefined ? this.#base : last.start + last.used, bytes: Buffer.allocUnsafeSlow(size), used: 0 }
    this.#pages.push(page)
    this.#heldBytes += size
    return page
  }

  #pageAt (offset: number): Page | undefined {
    const last = this.#pages.at(-1)
    if (last === undefined || offset >= last.start + last.used) return undefined
    if (offset >= last.start) return last
    let low = 0
    let high = this.#pages.length - 1
    while (low < high) {
      const middle = (low + high + 1) >> 1
      if (this.#pages[middle]!.start <= offset) low = middle
      else high = middle - 1
    }
    return this.#pages[low]
  }
}
