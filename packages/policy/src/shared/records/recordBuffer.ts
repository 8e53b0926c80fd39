/**
 * Buffers records until they are written to the platform, in batches with fixed
 * names. A batch whose write got no answer is written again under the same name
 * with the same content, so that it cannot be stored twice.
 */

export interface RecordBatch<Item> {
  /** Sequence number at this writer; part of the object's name. */
  readonly number: number
  /** Creation time in ms since the Unix epoch. It is part of the object's name, so a retry keeps it. */
  readonly createdMs: number
  readonly items: readonly Item[]
}

export interface RecordBufferOptions<Item> {
  /** A later item with the same key replaces a waiting one. */
  keyOf (item: Item): string
  sizeBytesOf (item: Item): number
  /** Maximum size of a batch; an object holds up to a megabyte. */
  readonly maxBatchBytes: number
}

export class RecordBuffer<Item> {
  readonly #options: RecordBufferOptions<Item>
  readonly #waiting = new Map<string, Item>()
  #waitingBytes = 0
  #batch: RecordBatch<Item> | undefined
  #batchBytes = 0
  #nextNumber = 0

  constructor (options: RecordBufferOptions<Item>) {
    this.#options = options
  }

  /** Size of all records that are not confirmed as stored. */
  get sizeBytes (): number {
    return this.#waitingBytes + this.#batchBytes
  }

  get isEmpty (): boolean {
    return this.#waiting.size === 0 && this.#batch === undefined
  }

  /** All records that are not confirmed as stored. */
  get unstored (): readonly Item[] {
    return [...(this.#batch?.items ?? []), ...this.#waiting.values()]
  }

  add (item: Item): void {
    const key = this.#options.keyOf(item)
    const replaced = this.#waiting.get(key)
    if (replaced !== undefined) this.#waitingBytes -= this.#options.sizeBytesOf(replaced)
    this.#waiting.set(key, item)
    this.#waitingBytes += this.#options.sizeBytesOf(item)
  }

  /** The batch to write now: the one whose write is not confirmed, or else a new one of waiting records. */
  nextBatch (nowMs: number): RecordBatch<Item> | undefined {
    if (this.#batch !== undefined) return this.#batch
    const items = this.#takeWaiting()
    if (items.length === 0) return undefined
    this.#batch = { number: this.#nextNumber++, createdMs: nowMs, items }
    return this.#batch
  }

  /** Confirms that the batch is stored. */
  confirm (batch: RecordBatch<Item>): void {
    if (this.#batch?.number !== batch.number) return
    this.#batch = undefined
    this.#batchBytes = 0
  }

  #takeWaiting (): readonly Item[] {
    const items: Item[] = []
    for (const [key, item] of this.#waiting) {
      const sizeBytes = this.#options.sizeBytesOf(item)
      const isFull = items.length > 0 && this.#batchBytes + sizeBytes > this.#options.maxBatchBytes
      if (isFull) break
      this.#waiting.delete(key)
      this.#waitingBytes -= sizeBytes
      this.#batchBytes += sizeBytes
      items.push(item)
    }
    return items
  }
}
