import { describe, expect, it } from 'vitest'
import { handOverRecordsInput, type BillingRecord, type HandOverRecordsInput, type RouterClient } from '@buckthorndrift/protocol'
import { handOverRecords } from '../handOver.ts'

function recordOf (requestId: string): BillingRecord {
  return {
    requestId, organisation: 'o', budget: 'b', service: 's', version: 'v', route: 'POST /x', tokens: 1, outcome: 'completed', atMs: 0, endpointId: 'e1', routerId: 'r1', reservation: { holder: 'r1.1', shard: 0, seq: 1, tokens: 1 }
  }
}

describe('hand-over of records', () => {
  // Guards against the loss of all records of a planned stop: the receiver rejects a message with too many.
  it('sends no more records in one message than the receiver accepts', async () => {
    const received: BillingRecord[] = []
    const client = {
      records: {
        handOver: {
          mutate: (input: HandOverRecordsInput) => {
            received.push(...handOverRecordsInput.parse(input).records)
            return Promise.resolve()
          }
        },
        replicateAccounts: { mutate: () => Promise.resolve() }
      }
    } as unknown as RouterClient
    const billing = Array.from({ length: 11_000 }, (_, index) => recordOf(`request-${index}`))
    await handOverRecords(client, 'r1.1', { billing, refusals: [] })
    expect(new Set(received.map(({ requestId }) => requestId)).size).toBe(11_000)
  })
})
