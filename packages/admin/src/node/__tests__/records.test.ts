import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { recordObjectName } from '@buckthorndrift/coordination'
import type { BillingRecord, RefusalAccount } from '@buckthorndrift/protocol'
import { readAllItems, startAdmin, type AdminFixture } from './fixture.ts'

const startMs = Date.UTC(2026, 10, 3, 9)
const minuteMs = 60_000

function billingRecord (requestId: string, atMs: number, organisation = 'acme'): BillingRecord {
  return {
    requestId, organisation, budget: 'acme/main', service: 'desk', version: 'v1', route: 'GET /', tokens: 3, outcome: 'completed', atMs, endpointId: 'e1', routerId: 'r1', reservation: { holder: 'r1.1', shard: 0, seq: 1, tokens: 3 }
  }
}

function refusalAccount (accountId: string, count: number, secondMs: number, reason = 'budgetExhausted', organisation = 'acme'): RefusalAccount {
  return { accountId, number: 0, organisation, budget: 'acme/main', service: 'desk', reason, verdict: 'notRun', routerId: 'r1', secondMs, count }
}

describe('records', () => {
  let admin: AdminFixture
  beforeEach(async () => { admin = await startAdmin() })
  afterEach(() => admin.kernel.stop())

  const putBilling = (atMs: number, writer: string, records: readonly BillingRecord[]): void => { admin.store.put(recordObjectName('billing', atMs, writer, 0), { records }) }
  const putRefusals = (atMs: number, writer: string, accounts: readonly RefusalAccount[]): void => { admin.store.put(recordObjectName('refusals', atMs, writer, 0), { accounts }) }

  describe('billing', () => {
    it('returns a request once although two routers stored it, hours apart and on different pages', async () => {
      const records = Array.from({ length: 25 }, (_, index) => billingRecord(`q${index}`, startMs + index * minuteMs))
      putBilling(startMs, 'r1.1', records)
      putBilling(startMs + 5 * 60 * minuteMs, 'r2.1', [...records.slice(3, 9), billingRecord('other', startMs, 'bolt')])
      const listed = await readAllItems(paging => admin.client.call('listBilling', { organisation: 'acme', fromMs: startMs, toMs: startMs + 60 * minuteMs, limit: 4, ...paging }))
      const ids = listed.map(record => record.requestId)
      expect(ids).toEqual(records.map(record => record.requestId))
    })

    it('returns a request in only one time range when its copies carry times in two', async () => {
      const boundaryMs = startMs + 60 * minuteMs
      putBilling(startMs, 'r1.1', [billingRecord('q1', boundaryMs - 1)])
      putBilling(boundaryMs, 'r2.1', [billingRecord('q1', boundaryMs + 1)])
      const ranges = [[startMs, boundaryMs], [boundaryMs, boundaryMs + 60 * minuteMs]] as const
      const pages = await Promise.all(ranges.map(([fromMs, toMs]) => admin.client.call('listBilling', { organisation: 'acme', fromMs, toMs })))
      expect(pages.flatMap(page => page.unwrap().items)).toHaveLength(1)
    })

    it('rejects time ranges that are empty or too long', async () => {
      for (const toMs of [startMs, startMs + 32 * 24 * 60 * minuteMs]) {
        expect((await admin.client.call('listBilling', { organisation: 'acme', fromMs: startMs, toMs })).unwrapErr()).toMatchObject({ problem: { code: 'badRequest' } })
      }
    })
  })

  describe('refusals', () => {
    beforeEach(() => {
      putRefusals(startMs, 'r1.1', [refusalAccount('a', 3, startMs), refusalAccount('b', 1, startMs, 'endpointFull'), refusalAccount('c', 1, startMs, 'budgetExhausted', 'bolt')])
      putRefusals(startMs + minuteMs, 'r2.1', [refusalAccount('a', 2, startMs), refusalAccount('d', 1, startMs, 'unauthenticated', '')])
    })

    const list = async (filter: { readonly organisation?: string, readonly reason?: string }) => {
      const page = await admin.client.call('listRefusals', { ...filter, fromMs: startMs, toMs: startMs + minuteMs })
      return page.unwrap().items.map(account => [account.accountId, account.count])
    }

    it('returns the highest count of an account and filters by organisation and reason', async () => {
      expect(await list({ organisation: 'acme' })).toEqual([['a', 3], ['b', 1]])
      expect(await list({ organisation: 'acme', reason: 'endpointFull' })).toEqual([['b', 1]])
    })

    it('includes refusals of unknown callers when no organisation is given', async () => {
      expect(await list({})).toEqual([['a', 3], ['b', 1], ['c', 1], ['d', 1]])
    })
  })
})
