/**
 * Settles aborted requests in the background. The callers have their final
 * responses by then; what the requests cost is read from the endpoint process.
 */
import { Attempt, type AttemptDeps, type AttemptRequest } from './attempt.ts'
import type { Placement, Settler } from './settler.ts'

export interface DeferredSettlement {
  readonly request: AttemptRequest
  readonly offsetBytes: number
  readonly placement: Placement
  readonly settler: Settler
  /** False when the caller has an idempotency key with which it may still ask for the response. */
  readonly canAbandon: boolean
}

export class DeferredSettler {
  readonly #attemptDeps: AttemptDeps
  readonly #pending = new Set<Promise<void>>()

  constructor (attemptDeps: AttemptDeps) {
    this.#attemptDeps = attemptDeps
  }

  /** Aborted requests that are not settled yet. */
  get size (): number {
    return this.#pending.size
  }

  /** Starts to settle a request. */
  start (settlement: DeferredSettlement): void {
    const task = this.#settle(settlement).finally(() => { this.#pending.delete(task) })
    this.#pending.add(task)
  }

  /** Resolves when every request started so far is settled. */
  async onIdle (): Promise<void> {
    await Promise.all(this.#pending)
  }

  async #settle ({ request, offsetBytes, placement, settler, canAbandon }: DeferredSettlement): Promise<void> {
    const attempt = new Attempt(this.#attemptDeps, request)
    if (canAbandon) await attempt.abandon()
    const head = await attempt.attach(offsetBytes)
    const result = head.isErr() ? head : await attempt.read(() => true)
    if (result.isOk()) {
      settler.settle(placement, result.value, 'cancelled')
    } else if (result.error.failure.verdict.kind === 'notRun') {
      settler.release()
    } else {
      settler.settle(placement, result.error.settlement, 'lost')
    }
  }
}
