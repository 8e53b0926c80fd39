/** A value whose changes become visible only after a lag. */
export class LaggedValue<Value> {
  #history: Array<{ readonly atMs: number, readonly value: Value }>
  #lagMs: number

  constructor (initial: Value, lagMs: number) {
    this.#history = [{ atMs: Number.NEGATIVE_INFINITY, value: initial }]
    this.#lagMs = lagMs
  }

  setLag (lagMs: number): void {
    this.#lagMs = lagMs
  }

  /** Replaces the value; the change becomes visible after the lag. */
  set (value: Value, nowMs: number): void {
    this.#trim(nowMs)
    this.#history.push({ atMs: nowMs, value })
  }

  /** The value that was set last, whether or not it is visible yet. */
  newest (): Value {
    return this.#entry(-1).value
  }

  /** The value as it was one lag before `nowMs`. */
  visible (nowMs: number): Value {
    this.#trim(nowMs)
    return this.#entry(0).value
  }

  #entry (index: number): { readonly value: Value } {
    const entry = this.#history.at(index)
    if (entry === undefined) throw new Error('the history is never empty')
    return entry
  }

  /** Drops the values before the visible one. */
  #trim (nowMs: number): void {
    const last = this.#history.findLastIndex(entry => entry.atMs <= nowMs - this.#lagMs)
    if (last > 0) this.#history = this.#history.slice(last)
  }
}
