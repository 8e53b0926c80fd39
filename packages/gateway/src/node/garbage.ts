/**
 * Collects the garbage of requests that were ended for want of memory. V8 frees the buffers of bodies only after it has
 * counted tens of MB of them, and grows its heap up to its own limit, which a crowd of callers can fill within a second.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Part of the memory budget that is dropped between two collections. */
const collectShare = 0.5

export class DroppedMemory {
  readonly #collectBytes: number
  #droppedBytes = 0
  #collect: (() => void) | undefined

  constructor (budgetBytes: number) {
    this.#collectBytes = budgetBytes * collectShare
  }

  /** Counts the memory of a request that was ended. */
  record (bytes: number): void {
    this.#droppedBytes += bytes
    if (this.#droppedBytes < this.#collectBytes) return
    this.#droppedBytes = 0
    this.#collect ??= exposeCollector()
    this.#collect()
  }
}

function exposeCollector (): () => void {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  setFlagsFromString('--no-expose-gc')
  return collect
}
