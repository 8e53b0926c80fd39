/**
 * Learns the settlement of requests that were given up, after their callers have
 * their final answers.
 */
import { Attempt, type AttemptDeps, type AttemptRequest } from './attempt.ts'
import type { RunPlace, Settler } from './settler.ts'

export interface ChaseJob {
  readonly request: AttemptRequest
  readonly offsetBytes: number
  readonly place: RunPlace
  readonly settler: Settler
  /** False when the caller may come back with its key. */
  readonly canAbandon: boolean
}

export class Chaser {
  readonly #attempts: AttemptDeps
  readonly #open = new Set<Promise<void>>()

  constructor (attempts: AttemptDeps) {
    this.#attempts = attempts
  }

  /** Requests that were given up and are not settled yet. */
  get size (): number {
    return this.#open.size
  }

  start (job: ChaseJob): void {
    const chase = this.#chase(job).finally(() => { this.#open.delete(chase) })
    this.#open.add(chase)
  }

  /** Resolves when every request given up so far is settled. */
  async idle (): Promise<void> {
    await Promise.all(this.#open)
  }

  async #chase ({ request, offsetBytes, place, settler, canAbandon }: ChaseJob): Promise<void> {
    const attempt = new Attempt(this.#attempts, request)
    if (canAbandon) await attempt.abandon()
    const head = await attempt.attach(offsetBytes)
    const end = head.isErr() ? head : await attempt.read(() => true)
    if (end.isOk()) {
      settler.finish(place, end.value, 'cancelled')
    } else if (end.error.failure.verdict.kind === 'notRun') {
      settler.release()
    } else {
      settler.finish(place, end.error.settlement, 'lost')
    }
  }
}
