/** Billing records of this process, kept until a router acknowledges that the platform has stored them. */
import type { BillingRecord, Call, Settlement } from '@buckthorndrift/protocol'

interface PendingRecord {
  readonly record: BillingRecord
  /** Monotonic time in ms at which the record was last sent to a router, as a settlement or by handover. */
  readonly lastSentAtMs: number
}

export class RecordOutbox {
  readonly #limit: number
  readonly #pending = new Map<string, PendingRecord>()

  constructor (limit: number) {
    this.#limit = limit
  }

  get size (): number { return this.#pending.size }

  /** Whether one more request may be admitted while `unrecordedCount` admitted requests have no record yet. */
  hasRoom (unrecordedCount: number): boolean {
    return this.#pending.size + unrecordedCount < this.#limit
  }

  add (record: BillingRecord, nowMs: number): void {
    this.#pending.set(record.requestId, { record, lastSentAtMs: nowMs })
  }

  /** Removes acknowledged records. Unknown ids have no effect. */
  acknowledge (requestIds: readonly string[]): void {
    for (const requestId of requestIds) this.#pending.delete(requestId)
  }

  /** Returns up to `max` unacknowledged records that were last sent to a router at least `ageMs` ago, oldest first. */
  listDue (nowMs: number, ageMs: number, max: number): readonly BillingRecord[] {
    const due: BillingRecord[] = []
    for (const { record, lastSentAtMs } of this.#pending.values()) {
      if (due.length === max) break
      if (nowMs - lastSentAtMs >= ageMs) due.push(record)
    }
    return due
  }

  /** Records that another router has received the records, and restarts the wait for their acknowledgement. They stay in the outbox until then. */
  markHandedOver (records: readonly BillingRecord[], nowMs: number): void {
    for (const record of records) {
      if (this.#pending.delete(record.requestId)) this.#pending.set(record.requestId, { record, lastSentAtMs: nowMs })
    }
  }
}

/** Creates the billing record of a settled call. `atMs` is wall-clock time. */
export function createRecord (call: Call, settlement: Settlement, endpointId: string, atMs: number): BillingRecord {
  const { requestId, organisation, budget, service, version, route, reservation } = call
  // A router id may contain dots; incarnation and sequence number do not.
  const routerId = requestId.split('.').slice(0, -2).join('.')
  const { tokens, outcome } = settlement
  return { requestId, organisation, budget, service, version, route, tokens, outcome, atMs, endpointId, routerId, reservation }
}
