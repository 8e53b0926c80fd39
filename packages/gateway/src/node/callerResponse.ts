/** The response to a caller. Its beginning is buffered while the request may still be retried. */
import type { ServerResponse } from 'node:http'
import type { MemoryHolder } from '@buckthorndrift/policy'
import { isFramed } from '../shared/responseFraming.ts'
import type { CallInput } from './callInput.ts'
import type { ResponseHead } from './exchange.ts'
import type { GatewayState } from './gatewayState.ts'
import { setResetOnExit } from './resetOnExit.ts'

/** Largest response that is buffered until it is complete, so that the request can be retried if the response is truncated. */
const maxBufferedBytes = 64 * 1024

/** Memory that a paused response holds here, with the buffers of both connections. */
const pausedBytes = 128 * 1024
/** Time after the deadline within which a caller has to read the rest of its response. */
const unreadGraceMs = 5000

/** Source of response bytes that can be paused for back pressure. */
export interface FlowControl {
  pause (): void
  resume (): void
}

export class CallerResponse {
  readonly #state: Pick<GatewayState, 'dialect' | 'log' | 'clock' | 'limitReports'>
  readonly #response: ServerResponse
  readonly #attemptId: string | undefined
  #buffered: Buffer[] = []
  #bufferedBytes = 0
  readonly #holder: MemoryHolder
  readonly #deadlineAtMs: number
  /** Whether memory for a paused response is held. */
  #isPausedHeld = false
  #isFramed = false
  /** Whether the end of this process resets the connection. */
  #isGuarded = false
  #startedHead: ResponseHead | undefined

  constructor (state: Pick<GatewayState, 'dialect' | 'log' | 'clock' | 'limitReports'>, { response, attributes, holder, deadlineAtMs }: CallInput) {
    this.#state = state
    this.#response = response
    this.#attemptId = attributes.attemptId
    this.#holder = holder
    this.#deadlineAtMs = deadlineAtMs
  }

  /** Whether a part of the response was sent to the caller. */
  get hasStarted (): boolean {
    return this.#response.headersSent
  }

  /** Whether the response of another endpoint may go on where the started one broke off. An error, or a page in place of the stream, does not continue it whatever its body looks like. */
  isContinuedBy ({ status, attributes }: ResponseHead): boolean {
    return status === this.#startedHead?.status && attributes.isEventStream === this.#startedHead.attributes.isEventStream
  }

  /** Sends the response head once. A resumed stream keeps the head from its first endpoint. */
  writeHead (head: ResponseHead, closeConnection: boolean): void {
    if (this.#response.headersSent) return
    this.#startedHead = head
    const headers = this.#state.dialect.responseHeaders(head.rawHeaders)
    this.#isFramed = isFramed(head.attributes)
    // Without a length, the end of the connection marks the end of the response, for the endpoint and for the caller. The last chunk would vouch for an end that nobody knows: a faulty endpoint may end such a response early in the usual way.
    if (!this.#isFramed) this.#response.removeHeader('Transfer-Encoding')
    if (closeConnection || !this.#isFramed) headers.push('Connection', 'close')
    this.#response.writeHead(head.status, headers)
    if (!this.#isFramed) this.#guardEnd()
  }

  /** The operating system closes the connections of a killed process in the usual way, which would look like the end of a response without a length. */
  #guardEnd (): void {
    this.#isGuarded = setResetOnExit(this.#response.socket, true)
    if (!this.#isGuarded) this.#state.log.event('responseEndUnguarded', { attemptId: this.#attemptId ?? '' })
  }

  /** Sends bytes to the caller, and pauses the source until the caller has read them. */
  write (bytes: Buffer, source: FlowControl | undefined): void {
    if (this.#response.write(bytes) || source === undefined) return
    source.pause()
    if (!this.#isPausedHeld) this.#hold(pausedBytes)
    this.#isPausedHeld = true
    this.#response.once('drain', () => { source.resume() })
  }

  /** Buffers bytes. Returns false when the buffer exceeds its limit. */
  buffer (bytes: Buffer): boolean {
    this.#hold(bytes.length)
    this.#buffered.push(bytes)
    this.#bufferedBytes += bytes.length
    return this.#bufferedBytes <= maxBufferedBytes
  }

  flushBuffered (source: FlowControl | undefined): void {
    for (const bytes of this.#buffered.splice(0)) this.write(bytes, source)
  }

  discardBuffered (): void {
    this.#buffered = []
    this.#bufferedBytes = 0
  }

  /** Takes memory for the response. Without any left, the connection is closed: the caller has not read what it has asked for. */
  #hold (bytes: number): void {
    if (this.#holder.tryHold(bytes, this.#state.clock.nowMs())) return
    this.#state.limitReports.record('memory')
    this.closeConnection()
  }

  /** Closes the connection if the caller does not read the rest of the response. */
  #limitUnreadTime (): void {
    const timer = setTimeout(() => { this.closeConnection() }, Math.max(0, this.#deadlineAtMs - this.#state.clock.nowMs()) + unreadGraceMs)
    this.#response.once('close', () => { clearTimeout(timer) })
  }

  end (): void {
    const { socket } = this.#response
    // Before the last bytes are handed to the operating system, the end of this process still truncates the response.
    if (this.#isGuarded) this.#response.once('finish', () => { setResetOnExit(socket, false) })
    this.#response.end()
    if (this.#response.writableLength > 0) this.#limitUnreadTime()
  }

  /** Closes the connection of the caller, so that a truncated response does not look complete. Without a length or chunks, only a reset shows this. */
  closeConnection (): void {
    if (this.#isFramed) this.#response.destroy()
    else this.#response.socket?.resetAndDestroy()
  }
}
