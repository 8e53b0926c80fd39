/**
 * Shedding of connections that wait to be accepted. An overloaded router accepts them more
 * slowly than they arrive, and every one of them then waits for as long as the queue lasts,
 * until its caller gives up. A queue that empties now and then only smooths out bursts. One
 * that has not been empty for `maxStandingMs` is a standing queue: its connections are closed
 * unread, which costs little, until it is empty again. Callers then connect to another router,
 * because their request was not read.
 */

/** Time for which the queue may stay filled. It is short compared with the time that callers wait. */
const maxStandingMs = 200

export class StandingQueue {
  #filledSinceMs: number | undefined

  /** Records a connection that was taken from the queue. Returns whether it is closed unread. */
  recordTaken (nowMs: number): boolean {
    this.#filledSinceMs ??= nowMs
    return nowMs - this.#filledSinceMs > maxStandingMs
  }

  /** Records that no connection is waiting. */
  recordEmpty (): void {
    this.#filledSinceMs = undefined
  }
}
