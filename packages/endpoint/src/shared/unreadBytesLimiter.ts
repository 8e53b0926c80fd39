/**
 * Limits the response bytes that readers have not yet received, per stream and
 * per process. A stream may use what other streams leave of the process limit,
 * up to its own limit. It may always use an equal share of the process limit,
 * so that one slow reader cannot stall the others.
 */

export interface UnreadBytesLimits {
  /** Most unread bytes of one stream. */
  readonly perStreamBytes: number
  /** Most unread bytes of all streams. */
  readonly perProcessBytes: number
}

export class UnreadBytesLimiter {
  readonly #limits: UnreadBytesLimits
  readonly #unreadBytesByStream = new Map<string, number>()
  #totalBytes = 0

  constructor (limits: UnreadBytesLimits) {
    this.#limits = limits
  }

  get totalBytes (): number { return this.#totalBytes }

  /** Sets the unread bytes of a stream. */
  update (stream: string, unreadBytes: number): void {
    this.#totalBytes += unreadBytes - (this.#unreadBytesByStream.get(stream) ?? 0)
    this.#unreadBytesByStream.set(stream, unreadBytes)
  }

  close (stream: string): void {
    this.#totalBytes -= this.#unreadBytesByStream.get(stream) ?? 0
    this.#unreadBytesByStream.delete(stream)
  }

  /** Number of unread bytes above which the stream stops reading from the back end. */
  limitBytesFor (stream: string): number {
    const ownBytes = this.#unreadBytesByStream.get(stream) ?? 0
    const freeBytes = this.#limits.perProcessBytes - (this.#totalBytes - ownBytes)
    const shareBytes = this.#limits.perProcessBytes / Math.max(1, this.#unreadBytesByStream.size)
    return Math.min(this.#limits.perStreamBytes, Math.max(shareBytes, freeBytes))
  }
}
