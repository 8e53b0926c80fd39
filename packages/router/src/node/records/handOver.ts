/** Hands records that the platform has not stored to another router, in messages of limited size. */
import { maxRecordsPerMessage, type BillingRecord, type RefusalAccount, type RouterClient } from '@buckthorndrift/protocol'

export interface UnstoredRecords {
  readonly billing: readonly BillingRecord[]
  readonly refusals: readonly RefusalAccount[]
}

function inBatches<Item> (items: readonly Item[]): ReadonlyArray<readonly Item[]> {
  const batches: Array<readonly Item[]> = []
  for (let start = 0; start < items.length; start += maxRecordsPerMessage) batches.push(items.slice(start, start + maxRecordsPerMessage))
  return batches
}

/** Rejects when a message fails. Records that were received before are recognised by their ids, so that all may be sent to another router then. */
export async function handOverRecords (client: Pick<RouterClient, 'records'>, writer: string, { billing, refusals }: UnstoredRecords): Promise<void> {
  for (const records of inBatches(billing)) await client.records.handOver.mutate({ records })
  for (const accounts of inBatches(refusals)) await client.records.replicateAccounts.mutate({ writer, storedBelow: 0, accounts })
}
