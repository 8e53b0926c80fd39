/** Bounds what all open requests of callers hold at the same time. */
import type { IncomingMessage } from 'node:http'
import type { CallerSettings } from '../../shared/callerSettings.ts'

export class HeldRequests {
  readonly #settings: CallerSettings
  #requests = 0
  #bodyBytes = 0

  constructor (settings: CallerSettings) {
    this.#settings = settings
  }

  /** Takes room for a request before its body is read; `undefined` when there is none. The returned function gives it back. */
  tryHold (request: IncomingMessage): (() => void) | undefined {
    const bytes = this.#bytesOf(request)
    const { maxOpenRequests, maxHeldBodyBytes } = this.#settings
    if (this.#requests >= maxOpenRequests || this.#bodyBytes + bytes > maxHeldBodyBytes) return undefined
    this.#requests += 1
    this.#bodyBytes += bytes
    return () => {
      this.#requests -= 1
      this.#bodyBytes -= bytes
    }
  }

  /** A body without a length counts as the largest one; one above the limit is refused later and never held. */
  #bytesOf (request: IncomingMessage): number {
    const { 'content-length': length, 'transfer-encoding': encoding } = request.headers
    const { maxBodyBytes } = this.#settings
    return encoding === undefined ? Math.min(maxBodyBytes, Number(length ?? 0)) : maxBodyBytes
  }
}
