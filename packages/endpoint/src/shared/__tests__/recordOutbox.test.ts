import { describe, expect, it } from 'vitest'
import type { BillingRecord } from '@buckthorndrift/protocol'
import { RecordOutbox } from '../recordOutbox.ts'

describe('RecordOutbox', () => {
  it('keeps a record until it is acknowledged, and lists it as due again if the router that received it does not acknowledge', () => {
    const outbox = new RecordOutbox(10)
    const record = { requestId: 'r.1.1' } as BillingRecord
    outbox.add(record, 0)
    expect(outbox.listDue(99, 100, 10)).toEqual([])
    expect(outbox.listDue(100, 100, 10)).toEqual([record])
    outbox.markHandedOver([record], 100)
    expect([outbox.size, outbox.listDue(199, 100, 10).length, outbox.listDue(200, 100, 10).length]).toEqual([1, 0, 1])
    outbox.acknowledge(['r.1.1', 'unknown'])
    outbox.markHandedOver([record], 200)
    expect(outbox.size, 'a handover that completes after the acknowledgement must not restore the record').toBe(0)
  })
})
