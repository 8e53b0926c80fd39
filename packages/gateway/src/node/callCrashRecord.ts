/** Tells the crash tracker how the attempts of one request end. */
import type { ResponseTimings } from '../shared/responseTimings.ts'
import { contentOf, type CallInput } from './callInput.ts'
import type { GatewayState } from './gatewayState.ts'
import type { TrackedEndpoint } from './trackedEndpoints.ts'

/** Time for which an endpoint sends a stream until the request counts as one that does not crash endpoints. A request that does crashes them when they begin to write its response. */
const provenSoundMs = 1000

export class CallCrashRecord {
  readonly #state: GatewayState
  readonly #input: CallInput
  #isProvenSound = false

  constructor (state: GatewayState, input: CallInput) {
    this.#state = state
    this.#input = input
  }

  /** Why the request is not run again; `undefined` if endpoints may run it. */
  suspicion (): string | undefined {
    return this.#state.crashes.suspicionOf(contentOf(this.#input))
  }

  /** Records that an event of the response arrived. */
  recordEvent (timings: ResponseTimings, nowMs: number): void {
    if (this.#isProvenSound || timings.sinceFirstEventMs(nowMs) < provenSoundMs) return
    this.#isProvenSound = true
    this.#state.crashes.recordProgress(contentOf(this.#input))
  }

  recordCompleted (): void {
    this.#state.crashes.recordCompleted(contentOf(this.#input))
  }

  /** Records that the connection to the endpoint broke. A request that has proven sound ran beside the cause if the endpoint crashed. */
  recordInterrupted (endpoint: TrackedEndpoint | undefined, events: number): void {
    this.#state.recordInterrupted(endpoint, this.#isProvenSound ? undefined : contentOf(this.#input), events)
  }
}
