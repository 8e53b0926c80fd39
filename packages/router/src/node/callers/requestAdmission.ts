/** Admission control: limits the number of open caller requests and the memory for their bodies. */
import type { IncomingMessage } from 'node:http'
import type { CallerSettings } from '../../shared/callerSettings.ts'

export class RequestAdmission {
  readonly #settings: CallerSettings
  #admittedRequests = 0
  #admittedBodyBytes = 0

  constructor (settings: CallerSettings) {
    this.#settings = settings
  }

  /** Admits a request before its body is read; `undefined` if a limit is reached. Call the returned function when the request has ended, so that it no longer counts towards the limits. */
  tryAdmit (request: IncomingMessage): (() => void) | undefined {
    const bodyBytes = this.#bodyBytesOf(request)
    const { maxOpenRequests, maxBufferedBodyBytes } = this.#settings
    if (this.#admittedRequests >= maxOpenRequests || this.#admittedBodyBytes + bodyBytes > maxBufferedBodyBytes) return undefined
    this.#admittedRequests += 1
    this.#admittedBodyBytes += bodyBytes
    return () => {
      this.#admittedRequests -= 1
      this.#admittedBodyBytes -= bodyBytes
    }
  }

  /** Bytes to count for the body of a request. A body of unknown length counts as the largest one allowed. So does a larger body, which is refused later and never buffered. */
  #bodyBytesOf (request: IncomingMessage): number {
    const { 'content-length': length, 'transfer-encoding': encoding } = request.headers
    const { maxBodyBytes } = this.#settings
    return encoding === undefined ? Math.min(maxBodyBytes, Number(length ?? 0)) : maxBodyBytes
  }
}
