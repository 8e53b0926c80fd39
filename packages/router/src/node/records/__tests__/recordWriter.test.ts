import { Err, Ok } from 'ts-results-es'
import { describe, expect, it } from 'vitest'
import { ManualTimers, silentLog } from '@buckthorndrift/kernel'
import type { ObjectStore } from '@buckthorndrift/coordination'
import type { BillingRecord } from '@buckthorndrift/protocol'
import { RecordWriter } from '../recordWriter.ts'

function recordOf (requestId: string): BillingRecord {
  return {
    requestId, organisation: 'o', budget: 'b', service: 's', version: 'v', route: 'POST /x', tokens: 1, outcome: 'completed', atMs: 0, endpointId: 'e1', routerId: 'r1', reservation: { holder: 'r1.1', shard: 0, seq: 1, tokens: 1 }
  }
}

/** An object store in memory that can lose replies to writes or be unavailable. */
function fakeStore () {
  const objects = new Map<string, unknown>()
  const faults = { losesReply: false, isDown: false }
  const store = {
    async write (name: string, value: unknown) {
      if (faults.isDown) return Err({ kind: 'unavailable', mayHaveApplied: false, detail: 'down' })
      if (objects.has(name)) return Err({ kind: 'conflict', version: 1 })
      objects.set(name, value)
      return faults.losesReply ? Err({ kind: 'unavailable', mayHaveApplied: true, detail: 'lost' }) : Ok(1)
    }
  } as unknown as ObjectStore
  return { objects, faults, store }
}

describe('record writer', () => {
  function start () {
    const { objects, faults, store } = fakeStore()
    const billed: string[] = []
    const writer = new RecordWriter({
      store, timers: new ManualTimers(), log: silentLog, writer: 'r1.1', onBillingStored: records => { billed.push(...records.map(record => record.requestId)) }
    })
    return { objects, faults, writer, billed }
  }

  it('stores a batch only once when the reply to its first write was lost', async () => {
    const { objects, faults, writer, billed } = start()
    writer.billing.add(recordOf('1'))
    faults.losesReply = true
    expect(await writer.flush()).toBe(false)
    faults.losesReply = false
    writer.billing.add(recordOf('2'))
    expect(await writer.flush()).toBe(true)
    expect([...objects.values()]).toEqual([{ records: [recordOf('1')] }, { records: [recordOf('2')] }])
    expect(billed).toEqual(['1', '2'])
  })

  it('keeps all records during an outage and does not report them as stored, which would make endpoint processes drop their copies', async () => {
    const { faults, writer, billed } = start()
    faults.isDown = true
    for (let index = 0; index < 10; index++) writer.billing.add(recordOf(String(index)))
    expect(await writer.flush()).toBe(false)
    expect(billed).toEqual([])
    expect(writer.billing.unstored).toHaveLength(10)
    faults.isDown = false
    await writer.flush()
    expect(billed).toHaveLength(10)
    expect(writer.sizeBytes).toBe(0)
  })
})
