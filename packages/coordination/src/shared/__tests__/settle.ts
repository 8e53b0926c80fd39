import type { ManualTimers } from '@buckthorndrift/kernel'

/** Lets queued promise callbacks run. */
export function flush (): Promise<void> {
  return new Promise(resolve => { setImmediate(resolve) })
}

/** Advances the timers in steps until the promise settles. Throws if it does not settle within `limitMs`. */
export async function settle<Value> (timers: ManualTimers, promise: Promise<Value>, stepMs = 5, limitMs = 600_000): Promise<Value> {
  const state = { isSettled: false }
  const settled = promise.finally(() => { state.isSettled = true })
  settled.catch(() => {})
  for (let passedMs = 0; !state.isSettled && passedMs < limitMs; passedMs += stepMs) {
    await flush()
    if (!state.isSettled) timers.advance(stepMs)
  }
  if (!state.isSettled) throw new Error(`not settled after ${limitMs} ms`)
  return settled
}
