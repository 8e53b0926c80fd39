/** Decides when departed endpoint processes are forgotten. */
import type { DepartedEndpoint } from './memberList.ts'

/**
 * How long a departed endpoint process is remembered, in ms. Its reservations
 * are settled and flushed within half an hour, unless their holder is cut off
 * from the platform for longer.
 */
export const departedMemoryMs = 7_200_000

export class DepartedEndpoints {
  readonly #sinceMs = new Map<string, number>()

  /** Those that have been noted for long enough while this process watched. */
  due (departed: readonly DepartedEndpoint[], nowMs: number): readonly DepartedEndpoint[] {
    const keys = new Set(departed.map(keyOf))
    for (const key of [...this.#sinceMs.keys()]) if (!keys.has(key)) this.#sinceMs.delete(key)
    for (const key of keys) if (!this.#sinceMs.has(key)) this.#sinceMs.set(key, nowMs)
    return departed.filter(one => nowMs - (this.#sinceMs.get(keyOf(one)) ?? nowMs) >= departedMemoryMs)
  }
}

function keyOf ({ id, incarnation }: DepartedEndpoint): string {
  return `${id}.${incarnation}`
}
