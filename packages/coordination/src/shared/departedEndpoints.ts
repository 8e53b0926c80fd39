/** Decides when departed endpoint processes are removed from the member lists. */
import type { DepartedEndpoint } from './memberList.ts'

/**
 * How long a departed endpoint process is kept in its member list. Routers may
 * need the entry until the budget reservations that ran at the process are
 * settled and stored. That takes at most half an hour, unless the router that
 * granted them cannot reach the platform for longer.
 */
export const departedRetentionMs = 7_200_000

/** Measures how long each departed endpoint process has been listed. */
export class DepartedEndpointExpiry {
  readonly #firstSeenMs = new Map<string, number>()

  /** Returns the endpoint processes in `departed` that every call has included for at least `departedRetentionMs`. */
  findExpired (departed: readonly DepartedEndpoint[], nowMs: number): readonly DepartedEndpoint[] {
    const keys = new Set(departed.map(keyOf))
    for (const key of [...this.#firstSeenMs.keys()]) if (!keys.has(key)) this.#firstSeenMs.delete(key)
    for (const key of keys) if (!this.#firstSeenMs.has(key)) this.#firstSeenMs.set(key, nowMs)
    return departed.filter(endpoint => nowMs - (this.#firstSeenMs.get(keyOf(endpoint)) ?? nowMs) >= departedRetentionMs)
  }
}

function keyOf ({ id, incarnation }: DepartedEndpoint): string {
  return `${id}.${incarnation}`
}
