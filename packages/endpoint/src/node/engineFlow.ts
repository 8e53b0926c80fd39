/** Backpressure towards the back end: first on its connection, then by pause and resume at the engine. */
import type { Readable } from 'node:stream'
import type { BackEnd } from './backEnd.ts'

export class EngineFlow {
  /** `undefined` for plain services, which know no pause. */
  readonly #engine: BackEnd | undefined
  readonly #path: string
  #body: Readable | undefined
  #isPaused = false
  #isClosed = false
  #isEnginePaused = false
  #isSending = false

  constructor (engine: BackEnd | undefined, requestId: string) {
    this.#engine = engine
    this.#path = `/requests/${encodeURIComponent(requestId)}`
  }

  get isPaused (): boolean { return this.#isPaused }

  open (body: Readable): void {
    this.#body = body
  }

  pause (): void {
    if (this.#isPaused) return
    this.#isPaused = true
    this.#body?.pause()
    this.#inform()
  }

  resume (): void {
    if (!this.#isPaused) return
    this.#isPaused = false
    this.#body?.resume()
    this.#inform()
  }

  close (): void {
    this.#isClosed = true
  }

  /** Sends one order at a time until the engine has the present state, so that a late pause never overtakes a resume. */
  async #inform (): Promise<void> {
    if (this.#engine === undefined || this.#isSending) return
    this.#isSending = true
    while (!this.#isClosed && this.#isEnginePaused !== this.#isPaused) {
      const isPaused = this.#isPaused
      await this.#engine.control(`${this.#path}/${isPaused ? 'pause' : 'resume'}`)
      this.#isEnginePaused = isPaused
    }
    this.#isSending = false
  }
}
