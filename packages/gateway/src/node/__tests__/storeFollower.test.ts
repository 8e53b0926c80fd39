import { Err, Ok } from 'ts-results-es'
import { describe, expect, it } from 'vitest'
import { ManualTimers, silentLog } from '@buckthorndrift/kernel'
import type { FleetStore, ObjectKind } from '../../shared/store.ts'
import { StoreFollower } from '../storeFollower.ts'

/** Two followers, of which the second leaves it to the first to try the store again, and a store that can be away for each kind. */
function followers () {
  const timers = new ManualTimers()
  const away = new Set<ObjectKind>()
  const calls: ObjectKind[] = []
  const answer = (kind: ObjectKind, value: unknown) => {
    calls.push(kind)
    return Promise.resolve(away.has(kind) ? Err({ kind: 'unavailable', mayHaveApplied: false, detail: 'away' }) : Ok(value))
  }
  const store = {
    list: (kind: ObjectKind) => answer(kind, { objects: [], revision: 1 }),
    watch: async (kind: ObjectKind) => {
      await new Promise(resolve => { timers.after(1000, () => { resolve(undefined) }) })
      return await answer(kind, { events: [], revision: 1 })
    }
  } as unknown as FleetStore
  const listener = { onObject: () => {}, onRemoved: () => {}, onListed: () => {}, onContact: () => {} }
  const options = { store, timers, log: silentLog, random: () => 0.5, listener, waitMs: () => 1000, pauseMs: 0 }
  const pioneer = new StoreFollower({ ...options, kind: 'endpoints' })
  new StoreFollower({ ...options, kind: 'evacuations', pioneer }).start()
  pioneer.start()
  const pass = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      timers.advance(50)
      for (let turn = 0; turn < 20; turn++) await Promise.resolve()
    }
  }
  const countCalls = (): readonly number[] => {
    const counts = [calls.filter(kind => kind === 'endpoints').length, calls.filter(kind => kind === 'evacuations').length]
    calls.length = 0
    return counts
  }
  return { away, pass, countCalls }
}

describe('a follower that leaves it to another one to try the store again', () => {
  // Guards against a price of each kind of object in calls to a store that is away.
  it('calls a store that is away rarely, and soon after it is back', async () => {
    const { away, pass, countCalls } = followers()
    await pass(1500)
    away.add('endpoints').add('evacuations')
    await pass(1000)
    countCalls()
    await pass(10_000)
    const [tries, ownTries] = countCalls()
    expect(ownTries).toBeLessThan(tries! / 2)
    away.clear()
    await pass(2700)
    expect(countCalls()[1]).toBeGreaterThan(0)
  })

  // Guards against a kind that is not followed any more because another one cannot be read.
  it('goes on by itself if the store does not answer the other one', async () => {
    const { away, pass, countCalls } = followers()
    away.add('endpoints')
    await pass(10_000)
    expect(countCalls()[1]).toBeGreaterThan(5)
  })
})
