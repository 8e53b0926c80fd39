/** Billing records of this process, kept until a router says that the platform has them. */
import type { BillingRecord, Call, Settlement } from '@buckthorndrift/protocol'

interface KeptRecord {
  readonly record: BillingRecord
  /** Monotonic time since when a router has had its chance to acknowledge, in ms. */
  readonly offeredAtMs: number
}

export class RecordKeeper {
  readonly #limit: number
  readonly #kept = new Map<string, KeptRecord>()

  constructor (limit: number) {
    this.#limit = limit
  }

  get size (): number { return this.#kept.size }

  /** Whether one more request may be admitted when `admitted` others have no record yet. */
  hasRoom (admitted: number): boolean {
    return this.#kept.size + admitted < this.#limit
  }

  add (record: BillingRecord, nowMs: number): void {
    this.#kept.set(record.requestId, { record, offeredAtMs: nowMs })
  }

  /** Drops acknowledged records; unknown ids have no effect. */
  acknowledge (requestIds: readonly string[]): void {
    for (const requestId of requestIds) this.#kept.delete(requestId)
  }

  /** Records without an acknowledgement for `ageMs`, at most `max`, oldest first. */
  due (nowMs: number, ageMs: number, max: number): readonly BillingRecord[] {
    const due: BillingRecord[] = []
    for (const { record, offeredAtMs } of this.#kept.values()) {
      if (due.length === max) break
      if (nowMs - offeredAtMs >= ageMs) due.push(record)
    }
    return due
  }

  /** Notes that another router has them now. They stay until they are acknowledged. */
  noteHandedOver (records: readonly BillingRecord[], nowMs: number): void {
    for (const record of records) {
      if (this.#kept.delete(record.requestId)) this.#kept.set(record.requestId, { record, offeredAtMs: nowMs })
    }
  }
}

/** The billing record of a settled call. `atMs` is wall-clock time in ms. */
export function recordOf (call: Call, settlement: Settlement, endpointId: string, atMs: number): BillingRecord {
  const { requestId, organisation, budget, service, version, route, reservation } = call
  // The id of a router may contain dots; incarnation and sequence do not.
  const routerId = requestId.split('.').slice(0, -2).join('.')
  const { tokens, outcome } = settlement
  return { requestId, organisation, budget, service, version, route, tokens, outcome, atMs, endpointId, routerId, reservation }
}
