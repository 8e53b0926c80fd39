/**
 * Memory budget for what callers make a router hold: heads, bodies, and answers that are not read. It is designed for a crowd of
 * callers that each stay within the limits of a request and together exceed the memory of the VM.
 *
 * When the budget is used up, room is made by ending requests that have not run: first those that make no progress, the
 * one that has stalled longest before the others, then the largest one. A request that holds more than any other is
 * itself refused, so that a small request is served beside large ones.
 */

/** Part of the memory of the VM that requests may hold before they run. Node.js needs several times the bytes of a request until its garbage is collected. */
const memoryShare = 0.12
/** Limit of all held memory for a request that runs, relative to the budget, so that its answer has room while waiting requests use the budget up. */
const protectedFactor = 1.5
/** Limit of all held memory for a small request, relative to the budget, so that it is served while large ones that run use the budget up. */
const smallFactor = 1.25
/** Largest request that counts as small, relative to the budget. */
const smallShare = 0.005
const bytesPerMb = 1e6

/** Memory budget of a process with this memory limit. */
export function heldMemoryBytes (memoryMb: number): number {
  return memoryMb * memoryShare * bytesPerMb
}

/** Time without a received or sent byte after which a request counts as stalled. A lost packet is sent again well within it. */
const stalledAfterMs = 2000

/** What one request holds. */
export interface MemoryHolder {
  readonly heldBytes: number
  /** Takes memory before it is used. Returns false if there is none; the request then has to be ended. */
  tryHold (bytes: number, nowMs: number): boolean
  /** Sets what is called when the request has to end for the sake of others. Its memory counts as given back by then. */
  whenEvicted (listener: () => void): void
  /** Keeps the request from being ended for the sake of others, because it may run from now on. */
  protect (): void
  /** Gives everything back. */
  release (): void
}

interface Holding {
  heldBytes: number
  lastProgressMs: number
  isProtected: boolean
  onEvicted: () => void
}

export class HeldMemory {
  readonly limitBytes: number
  readonly #holdings = new Set<Holding>()
  #usedBytes = 0

  readonly #onDropped: (bytes: number) => void

  /** `onDropped` is called with the memory of each request that is ended for want of memory. */
  constructor (limitBytes: number, onDropped: (bytes: number) => void = () => {}) {
    this.limitBytes = limitBytes
    this.#onDropped = onDropped
  }

  get usedBytes (): number {
    return this.#usedBytes
  }

  /** Begins to account for a request. */
  open (nowMs: number): MemoryHolder {
    const holding: Holding = { heldBytes: 0, lastProgressMs: nowMs, isProtected: false, onEvicted: () => {} }
    this.#holdings.add(holding)
    return {
      get heldBytes () { return holding.heldBytes },
      tryHold: (bytes, atMs) => this.#tryHold(holding, bytes, atMs),
      whenEvicted: listener => { holding.onEvicted = listener },
      protect: () => { holding.isProtected = true },
      release: () => { this.#release(holding) }
    }
  }

  #tryHold (holding: Holding, bytes: number, nowMs: number): boolean {
    if (!this.#holdings.has(holding)) return false
    holding.lastProgressMs = nowMs
    const missingBytes = this.#usedBytes + bytes - this.limitBytes * this.#limitFactor(holding, bytes)
    if (bytes > 0 && missingBytes > 0 && !this.#makeRoom(holding, bytes, missingBytes, nowMs)) {
      this.#onDropped(holding.heldBytes + bytes)
      return false
    }
    holding.heldBytes += bytes
    this.#usedBytes += bytes
    return true
  }

  #limitFactor ({ isProtected, heldBytes }: Holding, bytes: number): number {
    if (isProtected) return protectedFactor
    return heldBytes + bytes <= this.limitBytes * smallShare ? smallFactor : 1
  }

  #makeRoom (holding: Holding, bytes: number, missingBytes: number, nowMs: number): boolean {
    const others = [...this.#holdings].filter(other => other !== holding && !other.isProtected && other.heldBytes > 0)
    const isStalled = (other: Holding): boolean => nowMs - other.lastProgressMs >= stalledAfterMs
    const stalled = others.filter(isStalled).sort((left, right) => left.lastProgressMs - right.lastProgressMs)
    const larger = others.filter(other => !isStalled(other) && other.heldBytes > holding.heldBytes + bytes).sort((left, right) => right.heldBytes - left.heldBytes)
    const victims: Holding[] = []
    let freedBytes = 0
    for (const other of [...stalled, ...larger]) {
      if (freedBytes >= missingBytes) break
      freedBytes += other.heldBytes
      victims.push(other)
    }
    if (freedBytes < missingBytes) return false
    for (const victim of victims) {
      this.#release(victim)
      victim.onEvicted()
    }
    this.#onDropped(freedBytes)
    return true
  }

  #release (holding: Holding): void {
    if (!this.#holdings.delete(holding)) return
    this.#usedBytes -= holding.heldBytes
    holding.heldBytes = 0
  }
}
