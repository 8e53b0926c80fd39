import { describe, expect, it } from 'vitest'
import type { BillingRecord } from '@buckthorndrift/protocol'
import { RecordKeeper } from '../recordOutbox.ts'

describe('RecordKeeper', () => {
  it('keeps a record that another router took until it is acknowledged, and offers it again after the interval', () => {
    const keeper = new RecordKeeper(10)
    const record = { requestId: 'r.1.1' } as BillingRecord
    keeper.add(record, 0)
    expect(keeper.due(99, 100, 10)).toEqual([])
    expect(keeper.due(100, 100, 10)).toEqual([record])
    keeper.noteHandedOver([record], 100)
    expect([keeper.size, keeper.due(199, 100, 10).length, keeper.due(200, 100, 10).length]).toEqual([1, 0, 1])
    keeper.acknowledge(['r.1.1', 'unknown'])
    keeper.noteHandedOver([record], 200)
    expect(keeper.size, 'a late handover does not bring it back').toBe(0)
  })
})
