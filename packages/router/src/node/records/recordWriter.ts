/** Writes billing records and refusal accounts to the platform. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { RecordBuffer, type RecordBatch } from '@buckthorndrift/policy'
import { recordObjectName, type ObjectStore, type RecordKind } from '@buckthorndrift/coordination'
import type { BillingRecord, RefusalAccount } from '@buckthorndrift/protocol'

/** Maximum estimated size of a batch. It is half the platform's limit of a megabyte per object, because the size of a record is only estimated from its JSON. */
const maxBatchBytes = 512 * 1024

/** Bytes counted per record in addition to its JSON, for map entries and object headers in memory. */
const recordOverheadBytes = 200

function sizeBytesOf (item: BillingRecord | RefusalAccount): number {
  return JSON.stringify(item).length + recordOverheadBytes
}

export interface RecordWriterOptions {
  readonly store: ObjectStore
  readonly timers: TimerService
  readonly log: Log
  /** `<routerId>.<incarnation>` */
  readonly writer: string
  /** Called with billing records once the platform has stored them. */
  onBillingStored (records: readonly BillingRecord[]): void
}

/** Buffers records of both kinds and writes them in batches, one write at a time per kind. */
export class RecordWriter {
  readonly #options: RecordWriterOptions
  readonly billing = new RecordBuffer<BillingRecord>({ keyOf: record => record.requestId, sizeBytesOf, maxBatchBytes })
  readonly refusals = new RecordBuffer<RefusalAccount>({ keyOf: account => account.accountId, sizeBytesOf, maxBatchBytes })

  constructor (options: RecordWriterOptions) {
    this.#options = options
  }

  /** Bytes of the records that are not known to be stored. */
  get sizeBytes (): number {
    return this.billing.sizeBytes + this.refusals.sizeBytes
  }

  /** Writes all buffered records. Resolves to false if a batch was not stored. */
  async flush (): Promise<boolean> {
    const isBillingStored = await this.#flushKind('billing', this.billing, items => ({ records: items }))
    const areRefusalsStored = await this.#flushKind('refusals', this.refusals, items => ({ accounts: items }))
    return isBillingStored && areRefusalsStored
  }

  async #flushKind<Item extends BillingRecord | RefusalAccount> (kind: RecordKind, buffer: RecordBuffer<Item>, valueOf: (items: readonly Item[]) => unknown): Promise<boolean> {
    for (let batch = this.#nextBatch(buffer); batch !== undefined; batch = this.#nextBatch(buffer)) {
      const isStored = await this.#write(kind, batch, valueOf(batch.items))
      if (!isStored) return false
      buffer.confirm(batch)
      if (kind === 'billing') this.#options.onBillingStored(batch.items as readonly BillingRecord[])
    }
    return true
  }

  #nextBatch<Item> (buffer: RecordBuffer<Item>): RecordBatch<Item> | undefined {
    return buffer.nextBatch(this.#options.timers.nowMs())
  }

  async #write (kind: RecordKind, batch: RecordBatch<unknown>, value: unknown): Promise<boolean> {
    const { store, log, writer } = this.#options
    const name = recordObjectName(kind, batch.createdMs, writer, batch.number)
    const written = await store.write(name, value, 0)
    // A conflict means that an earlier write of this batch was applied although its reply was lost.
    const isStored = written.isOk() || written.error.kind === 'conflict'
    if (isStored) log.event('recordsStored', { kind, count: batch.items.length })
    else log.event('recordsWaiting', { kind, waitingBytes: this.sizeBytes })
    return isStored
  }
}
