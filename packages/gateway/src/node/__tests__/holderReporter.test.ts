import { Err, Ok } from 'ts-results-es'
import { afterEach, describe, expect, it } from 'vitest'
import { silentLog, SystemTimers } from '@buckthorndrift/kernel'
import type { HolderReport, ReleaseLine } from '@buckthorndrift/policy'
import type { FleetStore, StoredObject } from '../../shared/store.ts'
import { StoreOutage } from '../../shared/storeOutage.ts'
import { HolderReporter } from '../holderReporter.ts'

type Answer = 'answered' | 'rejected' | 'lost'

class ReportStore {
  answer: Answer = 'answered'
  stored: StoredObject | undefined
  restored: () => void = () => {}
  currentEra = 1

  readonly store = {
    era: () => this.currentEra,
    onRestored: (listener: () => void) => { this.restored = listener; return () => {} },
    read: () => Promise.resolve(this.stored === undefined ? Err({ kind: 'notFound' }) : Ok(this.stored)),
    create: (_kind: string, _name: string, value: unknown) => this.#write(value),
    replace: (_kind: string, _name: string, value: unknown) => this.#write(value)
  } as unknown as FleetStore

  #write (value: unknown) {
    if (this.answer === 'rejected') return Promise.resolve(Err({ kind: 'unavailable', mayHaveApplied: false, detail: 'busy' }))
    this.stored = { name: 'me', revision: (this.stored?.revision ?? 0) + 1, value, status: null }
    return Promise.resolve(this.answer === 'lost' ? Err({ kind: 'unavailable', mayHaveApplied: true, detail: 'lost' }) : Ok(this.stored))
  }
}

describe('HolderReporter', () => {
  const fake = new ReportStore()
  let line: ReleaseLine = { committedTokens: 100, burstTokens: 50, tokensPerMs: 0 }
  const reporter = new HolderReporter({
    store: fake.store, timers: new SystemTimers(), log: silentLog, nodeName: 'me', holder: 'me.1', outage: new StoreOutage(() => 0.5), readClocks: () => ({ monotonicMs: 1000, wallMs: 1000 }), peers: () => ({}), routerCount: () => 1, lines: () => ({ firm: line })
  })

  afterEach(() => { fake.answer = 'answered' })

  it('does not limit spending before the first report, because the whole grant counts as spent then', async () => {
    expect(await reporter.report()).toBe(false)
    expect(reporter.releaseLimit('firm')).toBe(Infinity)
    reporter.start(0)
    expect(await reporter.report()).toBe(true)
    expect(reporter.releaseLimit('firm')).toBe(150)
    expect(reporter.releaseLimit('other')).toBe(Infinity)
  })

  it('keeps to the lowest line of all reports that the store may hold', async () => {
    line = { ...line, committedTokens: 140 }
    fake.answer = 'lost'
    await reporter.report()
    expect(reporter.releaseLimit('firm')).toBe(150)
    fake.answer = 'rejected'
    line = { ...line, committedTokens: 50 }
    await reporter.report()
    expect(reporter.releaseLimit('firm')).toBe(150)
    fake.answer = 'answered'
    line = { ...line, committedTokens: 160 }
    await reporter.report()
    expect(reporter.releaseLimit('firm')).toBe(210)
  })

  it('reports in the new era after the store was restored, because the earlier report proves nothing', async () => {
    fake.currentEra = 2
    fake.restored()
    await reporter.report()
    expect((fake.stored?.value as HolderReport).era).toBe(2)
    reporter.stop()
  })
})
