import { describe, expect, it } from 'vitest'
import { StandingQueue } from '../index.ts'

interface Load {
  readonly arrivalsPerSecond: number
  /** Processor time for a connection that is served, and for one that is closed unread. */
  readonly serveMs: number
  readonly shedMs: number
  readonly durationMs: number
}

interface PlayedLoad {
  readonly served: number
  readonly shed: number
  /** Longest time that a served connection waited to be accepted. */
  readonly longestWaitMs: number
}

/** Plays connections that arrive at regular times and are taken one after the other. */
function play ({ arrivalsPerSecond, serveMs, shedMs, durationMs }: Load, queue: StandingQueue | undefined): PlayedLoad {
  const intervalMs = 1000 / arrivalsPerSecond
  let [served, shed, longestWaitMs, nowMs] = [0, 0, 0, 0]
  for (let arrivedMs = 0; arrivedMs < durationMs; arrivedMs += intervalMs) {
    if (nowMs < arrivedMs) {
      queue?.recordEmpty()
      nowMs = arrivedMs
    }
    const isShed = queue?.recordTaken(nowMs) === true
    if (isShed) shed++
    else {
      served++
      longestWaitMs = Math.max(longestWaitMs, nowMs - arrivedMs)
    }
    nowMs += isShed ? shedMs : serveMs
  }
  return { served, shed, longestWaitMs }
}

// A small VM whose callers connect twice as fast as it can serve them, for ten seconds.
const crowd: Load = { arrivalsPerSecond: 400, serveMs: 5, shedMs: 0.2, durationMs: 10_000 }

describe('StandingQueue', () => {
  it('keeps the wait of the served connections short in a crowd, and still uses the processor', () => {
    const unguarded = play(crowd, undefined)
    const guarded = play(crowd, new StandingQueue())
    expect(unguarded.longestWaitMs).toBeGreaterThan(5000)
    expect(guarded.longestWaitMs).toBeLessThan(250)
    expect(guarded.served).toBeGreaterThan(0.8 * crowd.durationMs / crowd.serveMs)
  })

  it('sheds nothing while connections are taken as fast as they arrive, even with little room', () => {
    expect(play({ ...crowd, arrivalsPerSecond: 190 }, new StandingQueue()).shed).toBe(0)
  })

  it('sheds nothing of a burst that is over soon', () => {
    const queue = new StandingQueue()
    const taken = Array.from({ length: 40 }, (_, index) => queue.recordTaken(index * 4))
    expect(taken).not.toContain(true)
  })

  it('serves again as soon as the queue was empty', () => {
    const queue = new StandingQueue()
    queue.recordTaken(0)
    expect(queue.recordTaken(1000)).toBe(true)
    queue.recordEmpty()
    expect(queue.recordTaken(1001)).toBe(false)
  })
})
