import { Err, Ok } from 'ts-results-es'
import { beforeEach, describe, expect, it } from 'vitest'
import { ManualTimers, silentLog } from '@buckthorndrift/kernel'
import type { FleetStore, StoredObject } from '../../shared/store.ts'
import { RouterDirectory } from '../routerDirectory.ts'

/** Store of router entries that responds at once, unless it is away. */
class EntryStore {
  readonly objects = new Map<string, StoredObject>()
  isAway = false
  refusesWrites = false
  writeCount = 0
  #revision = 0

  readonly store = {
    list: () => Promise.resolve(this.isAway ? Err({ kind: 'unavailable', mayHaveApplied: false, detail: 'away' }) : Ok({ objects: [...this.objects.values()], revision: this.#revision })),
    create: (_kind: string, name: string, value: unknown) => {
      const existing = this.objects.get(name)
      return existing === undefined ? this.write(name, value) : Promise.resolve(Err({ kind: 'conflict', object: existing }))
    },
    replace: (_kind: string, name: string, value: unknown) => this.write(name, value),
    remove: (_kind: string, name: string) => {
      this.objects.delete(name)
      return Promise.resolve(Ok.EMPTY)
    }
  } as unknown as FleetStore

  write (name: string, value: unknown) {
    if (this.isAway || this.refusesWrites) return Promise.resolve(Err({ kind: 'unavailable', mayHaveApplied: false, detail: 'away' }))
    this.writeCount++
    const object: StoredObject = { name, revision: ++this.#revision, value, status: null }
    this.objects.set(name, object)
    return Promise.resolve(Ok(object))
  }
}

describe('RouterDirectory', () => {
  let timers: ManualTimers
  let fake: EntryStore

  beforeEach(() => {
    timers = new ManualTimers()
    fake = new EntryStore()
  })

  function directoryOf (nodeName: string, settlesSoon = false): RouterDirectory {
    return new RouterDirectory({ store: fake.store, timers, log: silentLog, nodeName, address: `${nodeName}:1`, random: () => 0.5, settlesSoon })
  }

  /** Lets time pass in steps, so that calls to the store finish between them. */
  async function pass (durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 500) {
      timers.advance(500)
      for (let turn = 0; turn < 10; turn++) await Promise.resolve()
    }
  }

  // Guards against routers that start together, of which each knows only those that registered before it.
  it('lists the routers once more after the start where a decision needs all of them', async () => {
    const [first] = [directoryOf('a', true), directoryOf('b', true), directoryOf('c', true)]
    await pass(2500)
    expect(first.isSettled).toBe(false)
    await pass(1500)
    expect([first.isSettled, namesOf(first)]).toEqual([true, ['a', 'b', 'c']])
  })

  function namesOf (directory: RouterDirectory): readonly string[] | undefined {
    return directory.routers?.map(({ id }) => id)
  }

  it('lists all registered routers, and knows none before the store has responded', async () => {
    fake.isAway = true
    const [a, b] = [directoryOf('a'), directoryOf('b')]
    await pass(3000)
    expect(namesOf(a)).toBeUndefined()
    fake.isAway = false
    await pass(15_000)
    expect([namesOf(a), namesOf(b)]).toEqual([['a', 'b'], ['a', 'b']])
  })

  it('keeps the known routers while the store is away', async () => {
    const [a] = [directoryOf('a'), directoryOf('b')]
    await pass(15_000)
    fake.isAway = true
    await pass(60_000)
    expect(namesOf(a)).toEqual(['a', 'b'])
  })

  // Guards against routers that each take themselves for the only one after an outage, because no entry was renewed in it.
  it('does not count the time of an outage of the store towards the expiry of entries', async () => {
    const seen = new Set<string>()
    const [a] = [directoryOf('a'), directoryOf('b')]
    await pass(15_000)
    fake.isAway = true
    await pass(400_000)
    fake.isAway = false
    fake.refusesWrites = true
    for (let step = 0; step < 100; step++) {
      fake.refusesWrites = step < 20
      await pass(500)
      seen.add(String(namesOf(a)))
    }
    expect([...seen]).toEqual(['a,b'])
  })

  // Guards against a router that the others do not count after its entry was lost, so that together they exceed limits.
  it('registers again when a restore of the store has lost the entry', async () => {
    const [a] = [directoryOf('a'), directoryOf('b')]
    await pass(15_000)
    fake.objects.delete('a')
    await pass(15_000)
    expect(fake.objects.has('a')).toBe(true)
    expect(namesOf(a)).toEqual(['a', 'b'])
  })

  // Guards against shares that are kept for good for routers whose VM is lost.
  it('leaves out a router that does not renew its entry, and removes the entry later', async () => {
    const [a, b] = [directoryOf('a'), directoryOf('b')]
    await pass(15_000)
    b.stop()
    await pass(100_000)
    expect(namesOf(a)).toEqual(['a', 'b'])
    await pass(120_000)
    expect(namesOf(a)).toEqual(['a'])
    expect(fake.objects.has('b')).toBe(true)
    await pass(600_000)
    expect(fake.objects.has('b')).toBe(false)
  })

  it('takes over the entry of the process before, which other routers see as a renewal', async () => {
    const first = directoryOf('a')
    await pass(2000)
    first.stop()
    const before = fake.objects.get('a')!.revision
    const again = directoryOf('a')
    await pass(12_000)
    expect(fake.objects.get('a')!.revision).toBeGreaterThan(before)
    expect(namesOf(again)).toEqual(['a'])
  })

  it('leaves out a router that did not respond, for a while', async () => {
    const a = directoryOf('a')
    a.recordUnreachable('b')
    expect(a.isReachable('b')).toBe(false)
    await pass(11_000)
    expect(a.isReachable('b')).toBe(true)
  })
})
