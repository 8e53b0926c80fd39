import { Err, Ok } from 'ts-results-es'
import { describe, expect, it } from 'vitest'
import { silentLog, SystemTimers } from '@buckthorndrift/kernel'
import type { FleetStore, StoredObject } from '../../shared/store.ts'
import { StoreOutage } from '../../shared/storeOutage.ts'
import type { Reservation } from '../budgetRequest.ts'
import type { LedgerOptions } from '../ledgerOptions.ts'
import type { LoanClient } from '../loanClient.ts'
import { unlimitedReleases } from './unlimitedReleases.ts'
import { OrganisationLedger } from '../organisationLedger.ts'

const prepaidTokens = 1000

/** A store with one ledger object, whose writes can be made to get no response. */
class OneLedgerStore {
  object: StoredObject = { name: 'firm', revision: 5, value: { holders: { 'other.1': { grantedTokens: 950, committedTokens: 950 } } }, status: null }
  /** Whether writes get a response; if not, whether they take effect before the connection is lost. */
  writes: 'answered' | 'lostBefore' | 'lostAfter' = 'answered'
  writeCount = 0
  conflictCount = 0
  /** Object that stale reads return; if `undefined`, they return the current object. */
  staleReadObject: StoredObject | undefined

  readonly store: FleetStore = {
    era: () => 0,
    onRestored: () => () => {},
    list: () => Promise.resolve(Ok({ objects: [], revision: 1 })),
    watch: () => Promise.resolve(Ok({ events: [], revision: 1 })),
    read: (_kind, _name, options) => Promise.resolve(Ok(options?.mayBeStale === true ? this.staleReadObject ?? this.object : this.object)),
    create: () => Promise.resolve(Err({ kind: 'conflict', object: this.object })),
    replace: (_kind, _name, value, revision) => {
      this.writeCount++
      if (this.writes === 'lostBefore') return Promise.resolve(Err({ kind: 'unavailable', mayHaveApplied: true, detail: 'lost' }))
      if (revision !== this.object.revision) {
        this.conflictCount++
        return Promise.resolve(Err({ kind: 'conflict', object: this.object }))
      }
      this.object = { ...this.object, revision: revision + 1, value }
      if (this.writes === 'lostAfter') return Promise.resolve(Err({ kind: 'unavailable', mayHaveApplied: true, detail: 'lost' }))
      return Promise.resolve(Ok(this.object))
    },
    replaceStatus: () => Promise.resolve(Err({ kind: 'notFound' })),
    remove: () => Promise.resolve(Err({ kind: 'notFound' }))
  }
}

function ledgerOn (store: FleetStore, loans?: LedgerOptions['loans'], overrides: Partial<LedgerOptions> = {}): OrganisationLedger {
  return new OrganisationLedger('firm', prepaidTokens, {
    store, timers: new SystemTimers(), log: silentLog, holder: 'me.1', nodeName: 'me', random: () => 0.5, ...unlimitedReleases, outage: new StoreOutage(() => 0.5), loans, ...overrides
  })
}

function reserve (ledger: OrganisationLedger, tokens: number): Promise<Reservation> {
  return Promise.resolve(ledger.reserve({ attemptId: 'a', tokens, rank: 0, maxWaitMs: 50 }))
}

async function pause (): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, 100) })
}

describe('OrganisationLedger', () => {
  it('does not spend tokens while an unanswered write that returns them may still take effect', async () => {
    const fake = new OneLedgerStore()
    const ledger = ledgerOn(fake.store)
    const first = await reserve(ledger, 30)
    if (first.kind !== 'reserved') throw new Error('the first request fits')
    first.settle(0)
    // The idle tokens are returned, but the write gets no response and the object is still unchanged.
    await pause()
    fake.writes = 'lostBefore'
    const before = fake.writeCount
    ledger.update()
    await pause()
    expect(fake.writeCount).toBeGreaterThan(before)
    // With a larger budget the router need not return the tokens any more. The write that returns them may still be in flight, though.
    ledger.setPrepaid(1200)
    await new Promise(resolve => { setTimeout(resolve, 600) })
    ledger.update()
    await pause()
    expect((await reserve(ledger, 30)).kind).toBe('unavailable')
  })

  it('spends a grant whose write got no response once a read shows the grant', async () => {
    const fake = new OneLedgerStore()
    const ledger = ledgerOn(fake.store)
    fake.writes = 'lostAfter'
    expect((await reserve(ledger, 30)).kind).toBe('reserved')
    expect(fake.writeCount).toBe(1)
  })

  // Guards against a request that is refused, after several reports in vain, because its tokens count as withheld from its rank in the slice and not in the budget.
  it('asks once for the release of tokens for a less urgent request, although its slice is smaller than the part of the budget that is left to urgent ones', async () => {
    const fake = new OneLedgerStore()
    fake.object = { ...fake.object, value: { holders: { 'me.1': { grantedTokens: 40, committedTokens: 0 }, 'other.1': { grantedTokens: 400, committedTokens: 400 } } } }
    let [reports, releasedTokens] = [0, 5]
    const reporter: LedgerOptions['reporter'] = {
      releaseLimit: () => releasedTokens,
      releaseDelayMs: () => Infinity,
      report: async () => {
        reports++
        await Promise.resolve()
        const line = ledger.releaseLine()
        if (line !== undefined) releasedTokens = line.committedTokens + line.burstTokens
        return true
      }
    }
    const ledger = ledgerOn(fake.store, undefined, { reporter })
    await ledger.ledgerObject.read()
    expect((await Promise.resolve(ledger.reserve({ attemptId: 'a', tokens: 30, rank: 1, maxWaitMs: 50 }))).kind).toBe('reserved')
    expect(reports).toBe(1)
  })

  it('refreshes an old ledger before a write, so that writes of other routers cause no conflict', async () => {
    const fake = new OneLedgerStore()
    const ledger = ledgerOn(fake.store)
    expect((await reserve(ledger, 10)).kind).toBe('reserved')
    await new Promise(resolve => { setTimeout(resolve, 500) })
    fake.object = { ...fake.object, revision: fake.object.revision + 7 }
    expect((await reserve(ledger, 10)).kind).toBe('reserved')
    expect(fake.conflictCount).toBe(0)
  })

  it('ignores a stale read that is older than the known state', async () => {
    const fake = new OneLedgerStore()
    const ledger = ledgerOn(fake.store)
    fake.staleReadObject = fake.object
    expect((await reserve(ledger, 30)).kind).toBe('reserved')
    await new Promise(resolve => { setTimeout(resolve, 500) })
    // The stale object has no grant of this router. Applying it would grant the same tokens again.
    expect((await reserve(ledger, 20)).kind).toBe('reserved')
    expect((await reserve(ledger, 1)).kind).not.toBe('reserved')
  })

  it('returns its own unused grant once another router lends, so that the lender can use the tokens', async () => {
    const fake = new OneLedgerStore()
    fake.object = { ...fake.object, value: { holders: { 'me.1': { grantedTokens: 300, committedTokens: 0 }, 'other.1': { grantedTokens: 700, committedTokens: 0 } }, lender: { holder: 'other.1', address: 'other:1' } } }
    const client: LoanClient = {
      requestLoan: (_address, { grantedTokens, requests }) => Promise.resolve(Ok({
        kind: 'lent', grantedTokens: grantedTokens + requests.reduce((sum, { tokens }) => sum + tokens, 0), plannedTokens: 0, verdicts: requests.map(() => ({ kind: 'reserved' })), routers: 2
      })),
      close: () => Promise.resolve()
    }
    const ledger = ledgerOn(fake.store, { address: 'me:1', client })
    expect((await reserve(ledger, 400)).kind).toBe('reserved')
    expect((await reserve(ledger, 50)).kind).toBe('reserved')
    await pause()
    ledger.update()
    await pause()
    const { holders } = fake.object.value as { holders: Record<string, { grantedTokens: number }> }
    expect(holders['me.1']!.grantedTokens).toBe(300)
    const second = ledgerOn(fake.store, { address: 'me:1', client })
    expect((await reserve(second, 10)).kind).toBe('reserved')
    second.update()
    await pause()
    expect((fake.object.value as { holders: Record<string, { grantedTokens: number }> }).holders['me.1']!.grantedTokens).toBe(10)
  })

  it('refuses a request as exhausted when its tokens and those committed by other routers exceed the budget', async () => {
    const ledger = ledgerOn(new OneLedgerStore().store)
    expect((await reserve(ledger, 51)).kind).toBe('exhausted')
  })

  it('makes few current reads for requests that keep coming although the budget is granted to others', async () => {
    const fake = new OneLedgerStore()
    fake.object = { ...fake.object, value: { holders: { 'other.1': { grantedTokens: 1000, committedTokens: 500 } } } }
    let currentReads = 0
    const store: FleetStore = { ...fake.store, read: (kind, name, options) => { currentReads += options?.mayBeStale === true ? 0 : 1; return fake.store.read(kind, name, options) } }
    const ledger = ledgerOn(store)
    for (let index = 0; index < 15; index++) {
      expect((await reserve(ledger, 30)).kind).toBe('unavailable')
      await pause()
    }
    expect(currentReads).toBeLessThanOrEqual(2)
  })

  // When a fleet starts, each router needs the lender of each budget.
  it('finds the lender of a budget with a stale read, and makes no current one', async () => {
    const fake = new OneLedgerStore()
    fake.object = { ...fake.object, value: { holders: { 'other.1': { grantedTokens: 500, committedTokens: 0 } }, lender: { holder: 'other.1', address: 'other:1' } } }
    const reads: boolean[] = []
    const store: FleetStore = { ...fake.store, read: (kind, name, options) => { reads.push(options?.mayBeStale === true); return fake.store.read(kind, name, options) } }
    const client: LoanClient = {
      requestLoan: (_address, { requests }) => Promise.resolve(Ok({ kind: 'lent', grantedTokens: requests.reduce((sum, { tokens }) => sum + tokens, 0), plannedTokens: 0, verdicts: requests.map(() => ({ kind: 'reserved' })), routers: 2 })),
      close: () => Promise.resolve()
    }
    expect((await reserve(ledgerOn(store, { address: 'me:1', client }), 30)).kind).toBe('reserved')
    expect(reads).toEqual([true])
  })
})
