import { Err, Ok } from 'ts-results-es'
import { describe, expect, it } from 'vitest'
import { silentLog, SystemTimers } from '@buckthorndrift/kernel'
import type { FleetStore, ObjectKind } from '../../shared/store.ts'
import { StoreFollower, type FollowerListener } from '../storeFollower.ts'

const quietListener: FollowerListener = { onObject: () => {}, onRemoved: () => {}, onListed: () => {}, onContact: () => {} }

/** A store that counts calls by kind and can be away. */
class CountingStore {
  isAway = true
  readonly calls = new Map<ObjectKind, number>()

  #answer<Value> (kind: ObjectKind, value: Value) {
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1)
    return Promise.resolve(this.isAway ? Err({ kind: 'unavailable', mayHaveApplied: false, detail: 'away' } as const) : Ok(value))
  }

  readonly store = {
    list: (kind: ObjectKind) => this.#answer(kind, { objects: [], revision: 1 }),
    watch: async (kind: ObjectKind, _revision: number, waitMs: number) => {
      await new Promise(resolve => { setTimeout(resolve, waitMs) })
      return await this.#answer(kind, { events: [], revision: 1 })
    }
  } as unknown as FleetStore
}

function follow (store: FleetStore, kind: ObjectKind, probe?: StoreFollower): StoreFollower {
  const follower = new StoreFollower({ kind, store, timers: new SystemTimers(), log: silentLog, random: () => 0.5, listener: quietListener, waitMs: () => 500, pauseMs: 0, ...(probe === undefined ? {} : { probe }) })
  follower.start()
  return follower
}

describe('followers of a store that is away', () => {
  it('leave the frequent calls to one of them, and follow as soon as it has contact again', async () => {
    const fake = new CountingStore()
    const probe = follow(fake.store, 'endpoints')
    const other = follow(fake.store, 'configuration', probe)
    await new Promise(resolve => { setTimeout(resolve, 2000) })
    expect(fake.calls.get('configuration')).toBeLessThanOrEqual(2)
    expect(fake.calls.get('endpoints')).toBeGreaterThanOrEqual(3)
    fake.isAway = false
    for (let waitedMs = 0; !probe.isInContact && waitedMs < 2000; waitedMs += 10) await new Promise(resolve => { setTimeout(resolve, 10) })
    await new Promise(resolve => { setTimeout(resolve, 100) })
    expect(other.isInContact).toBe(true)
    probe.stop()
    other.stop()
  })
})
