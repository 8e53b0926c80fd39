/**
 * The buffered response to one request.
 *
 * Offsets count the bytes of the response body as this process sends it.
 * Heartbeat lines are appended to the buffered body like any other bytes. Every
 * reader therefore receives the same bytes at the same offsets, and a router
 * resumes at the number of bytes that it has received.
 */
import type { Failure } from '@buckthorndrift/policy'
import type { Settlement } from '@buckthorndrift/protocol'

export interface ResponseHead {
  readonly status: number
  /** Header names are in lower case; hop-by-hop headers are removed. */
  readonly headers: Readonly<Record<string, string | readonly string[]>>
}

/** State of a request. `ended` and `failed` are final. */
export type ResponseState = 'waiting' | 'streaming' | 'ended' | 'failed'

interface Page {
  readonly startOffset: number
  readonly bytes: Buffer
  usedBytes: number
}

/** Page sizes double from the minimum to the maximum, so that short responses use little memory and long ones few pages. */
const minPageBytes = 512
const maxPageBytes = 16_384

export class BufferedResponse {
  #head: ResponseHead | undefined
  #failure: Failure | undefined
  #settlement: Settlement | undefined
  #pages: Page[] = []
  #startOffset = 0
  #length = 0
  #allocatedBytes = 0
  #isDropped = false
  readonly #listeners = new Set<() => void>()

  get state (): ResponseState {
    if (this.#failure !== undefined) return 'failed'
    if (this.#settlement !== undefined) return 'ended'
    return this.#head === undefined ? 'waiting' : 'streaming'
  }

  get head (): ResponseHead | undefined { return this.#head }
  get failure (): Failure | undefined { return this.#failure }
  get settlement (): Settlement | undefined { return this.#settlement }
  /** Lowest offset that can still be read. */
  get startOffset (): number { return this.#startOffset }
  /** Length of the body so far, in bytes. */
  get length (): number { return this.#length }
  /** Memory allocated for the body, in bytes. */
  get allocatedBytes (): number { return this.#allocatedBytes }
  get isDropped (): boolean { return this.#isDropped }

  setHead (head: ResponseHead): void {
    this.#head = head
    this.#notify()
  }

  append (bytes: Uint8Array): void {
    let rest = bytes
    while (rest.length > 0) {
      const page = this.#writablePage(rest.length)
      const part = rest.subarray(0, page.bytes.length - page.usedBytes)
      page.bytes.set(part, page.usedBytes)
      page.usedBytes += part.length
      rest = rest.subarray(part.length)
    }
    this.#length += bytes.length
    this.#notify()
  }

  /** Ends the body. The body is incomplete unless `settlement.outcome` is `completed`. */
  end (settlement: Settlement): void {
    this.#settlement = settlement
    this.#notify()
  }

  /** Ends a request to which the back end sent no response. */
  fail (failure: Failure, settlement?: Settlement): void {
    this.#failure = failure
    this.#settlement = settlement
    this.#notify()
  }

  /** Contiguous bytes from `offset` on; empty at the end of the body. Throws if `offset` is below `startOffset`. */
  read (offset: number): Buffer {
    if (offset < this.#startOffset) throw new RangeError(`offset ${offset} is below the first buffered offset ${this.#startOffset}`)
    const page = this.#pageAt(offset)
    return page === undefined ? Buffer.alloc(0) : page.bytes.subarray(offset - page.startOffset, page.usedBytes)
  }

  /** Up to `bytes` bytes from the end of the body. */
  tail (bytes: number): Buffer {
    const parts: Buffer[] = []
    let offset = Math.max(this.#startOffset, this.#length - bytes)
    while (offset < this.#length) {
      const part = this.read(offset)
      parts.push(part)
      offset += part.length
    }
    return Buffer.concat(parts)
  }

  /** Releases the pages that lie wholly below `offset`, except the last page. */
  trim (offset: number): void {
    while (this.#pages.length > 1 && this.#pages[1]!.startOffset <= offset) {
      const page = this.#pages.shift()!
      this.#allocatedBytes -= page.bytes.length
      this.#startOffset = page.startOffset + page.usedBytes
    }
  }

  /** Releases the body of a finished response; its outcome stays available. */
  drop (): void {
    this.#pages = []
    this.#allocatedBytes = 0
    this.#startOffset = this.#length
    this.#isDropped = true
    this.#notify()
  }

  /** Calls `listener` after each change. Returns a function that ends the subscription. */
  subscribe (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  #notify (): void {
    for (const listener of this.#listeners) listener()
  }

  #writablePage (bytes: number): Page {
    const last = this.#pages.at(-1)
    if (last !== undefined && last.usedBytes < last.bytes.length) return last
    const grown = last === undefined ? minPageBytes : last.bytes.length * 2
    const size = Math.min(maxPageBytes, Math.max(grown, Math.min(bytes, maxPageBytes)))
    const page = { startOffset: last === undefined ? this.#startOffset : last.startOffset + last.usedBytes, bytes: Buffer.allocUnsafeSlow(size), usedBytes: 0 }
    this.#pages.push(page)
    this.#allocatedBytes += size
    return page
  }

  #pageAt (offset: number): Page | undefined {
    const last = this.#pages.at(-1)
    if (last === undefined || offset >= last.startOffset + last.usedBytes) return undefined
    if (offset >= last.startOffset) return last
    let low = 0
    let high = this.#pages.length - 1
    while (low < high) {
      const middle = (low + high + 1) >> 1
      if (this.#pages[middle]!.startOffset <= offset) low = middle
      else high = middle - 1
    }
    return this.#pages[low]
  }
}
