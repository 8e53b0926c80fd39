import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { AccountCopies, RecordBuffer, RefusalAccounts, type RefusalCause } from '../index.ts'

const cause: RefusalCause = { organisation: 'o1', budget: 'b1', service: 's1', reason: 'budgetExhausted', verdict: 'notRun' }

describe('refusal accounts', () => {
  const options = { routerId: 'r1', writer: 'r1.7', maxAccountsPerSecond: 100 }

  describe('flood', () => {
    it('keeps one account per second and gives each refusal its own id', () => {
      const accounts = new RefusalAccounts(options)
      const refusals = Array.from({ length: 5000 }, (_, index) => accounts.count(cause, index / 5))
      expect(new Set(refusals.map(refusal => refusal.refusalId)).size).toBe(5000)
      expect(accounts.nextNumber).toBe(1)
      expect(refusals.at(-1)?.account).toMatchObject({ accountId: 'r1.7.0', count: 5000, secondMs: 0 })
    })

    it('limits the number of accounts when there are many causes, and still counts every refusal', () => {
      const accounts = new RefusalAccounts(options)
      const latest = new Map<string, number>()
      for (let index = 0; index < 10_000; index++) {
        const { account } = accounts.count({ ...cause, service: `s${index}` }, 10)
        latest.set(account.accountId, account.count)
      }
      expect(latest.size).toBe(101)
      expect([...latest.values()].reduce((sum, count) => sum + count, 0)).toBe(10_000)
    })
  })
})

describe('record buffer', () => {
  const createBuffer = () => new RecordBuffer<{ readonly id: number, readonly sizeBytes: number }>({
    keyOf: item => String(item.id),
    sizeBytesOf: item => item.sizeBytes,
    maxBatchBytes: 100
  })

  it('writes a batch again under the same number with the same items until it is confirmed', () => {
    const buffer = createBuffer()
    buffer.add({ id: 1, sizeBytes: 10 })
    const first = buffer.nextBatch(5)
    buffer.add({ id: 2, sizeBytes: 10 })
    expect(buffer.nextBatch(3_600_005)).toEqual(first)
    buffer.confirm(first!)
    expect(buffer.nextBatch(3_600_006)).toEqual({ number: 1, createdMs: 3_600_006, items: [{ id: 2, sizeBytes: 10 }] })
  })

  it('loses no record and keeps its size correct in any order of additions, failed writes and confirmed writes', () => {
    fc.assert(fc.property(fc.array(fc.oneof(fc.integer({ min: 1, max: 150 }), fc.constant('fail' as const), fc.constant('store' as const))), steps => {
      const buffer = createBuffer()
      const stored: number[] = []
      let added = 0
      for (const step of [...steps, ...Array<'store'>(steps.length).fill('store')]) {
        if (typeof step === 'number') { buffer.add({ id: added++, sizeBytes: step }); continue }
        const batch = buffer.nextBatch(0)
        if (batch === undefined || step === 'fail') continue
        stored.push(...batch.items.map(item => item.id))
        buffer.confirm(batch)
      }
      expect(stored).toEqual(Array.from({ length: added }, (_, id) => id))
      expect(buffer.sizeBytes).toBe(0)
      expect(buffer.isEmpty).toBe(true)
    }), { seed: 20261204 })
  })
})

describe('account copies', () => {
  it('return the accounts that a lost writer has not stored, and none that it has stored', () => {
    const copies = new AccountCopies()
    copies.receive('r1.1', 0, [{ accountId: 'a', number: 0, count: 3 }, { accountId: 'b', number: 1, count: 1 }], 0)
    copies.receive('r1.1', 1, [{ accountId: 'b', number: 1, count: 4 }], 500)
    expect(copies.takeOverdue(900, 1000)).toEqual([])
    expect(copies.takeOverdue(1000, 1000)).toEqual([{ accountId: 'b', number: 1, count: 4 }])
    expect(copies.size).toBe(0)
  })

  it('keep the higher count when they arrive out of order', () => {
    const copies = new AccountCopies()
    copies.receive('r1.1', 0, [{ accountId: 'a', number: 0, count: 5 }], 0)
    copies.receive('r1.1', 0, [{ accountId: 'a', number: 0, count: 2 }], 1)
    expect(copies.takeOverdue(9999, 1)).toEqual([{ accountId: 'a', number: 0, count: 5 }])
  })
})
