/**
 * Bounds the bytes that readers have not taken, per stream and per process.
 * The limit of a stream falls with what is left of the process's limit, but
 * never below an equal share, so that one slow reader cannot stop the others.
 */

export interface UnreadLimits {
  /** Most unread bytes of one stream. */
  readonly streamBytes: number
  /** Most unread bytes of all streams. */
  readonly processBytes: number
}

export class UnreadBudget {
  readonly #limits: UnreadLimits
  readonly #unread = new Map<string, number>()
  #totalBytes = 0

  constructor (limits: UnreadLimits) {
    this.#limits = limits
  }

  get totalBytes (): number { return this.#totalBytes }

  /** Notes the unread bytes of a stream. */
  update (stream: string, unreadBytes: number): void {
    this.#totalBytes += unreadBytes - (this.#unread.get(stream) ?? 0)
    this.#unread.set(stream, unreadBytes)
  }

  close (stream: string): void {
    this.#totalBytes -= this.#unread.get(stream) ?? 0
    this.#unread.delete(stream)
  }

  /** Unread bytes above which the stream stops reading from the back end. */
  limitOf (stream: string): number {
    const own = this.#unread.get(stream) ?? 0
    const freeBytes = this.#limits.processBytes - (this.#totalBytes - own)
    const shareBytes = this.#limits.processBytes / Math.max(1, this.#unread.size)
    return Math.min(this.#limits.streamBytes, Math.max(shareBytes, freeBytes))
  }
}
