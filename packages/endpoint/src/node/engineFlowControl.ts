/** Applies back pressure to the back end: pauses reading from its connection, and pauses the request at the engine. */
import type { Readable } from 'node:stream'
import type { BackEndClient } from './backEndClient.ts'

export class EngineFlowControl {
  /** `undefined` for plain services, which cannot pause a request. */
  readonly #engine: BackEndClient | undefined
  readonly #controlPath: string
  #body: Readable | undefined
  #isPaused = false
  #isClosed = false
  #isEnginePaused = false
  #isSending = false

  constructor (engine: BackEndClient | undefined, requestId: string) {
    this.#engine = engine
    this.#controlPath = `/requests/${encodeURIComponent(requestId)}`
  }

  get isPaused (): boolean { return this.#isPaused }

  setBody (body: Readable): void {
    this.#body = body
  }

  pause (): void {
    if (this.#isPaused) return
    this.#isPaused = true
    this.#body?.pause()
    this.#sendPauseState()
  }

  resume (): void {
    if (!this.#isPaused) return
    this.#isPaused = false
    this.#body?.resume()
    this.#sendPauseState()
  }

  close (): void {
    this.#isClosed = true
  }

  /** Sends one control request at a time until the engine has the current state, so that a delayed pause never overtakes a resume. */
  async #sendPauseState (): Promise<void> {
    if (this.#engine === undefined || this.#isSending) return
    this.#isSending = true
    while (!this.#isClosed && this.#isEnginePaused !== this.#isPaused) {
      const isPaused = this.#isPaused
      await this.#engine.postControl(`${this.#controlPath}/${isPaused ? 'pause' : 'resume'}`)
      this.#isEnginePaused = isPaused
    }
    this.#isSending = false
  }
}
