/** Stored batches of billing records and refusal counts. Object names contain the hour, so that a time range is a range of names. */
import { z } from 'zod'
import { Err, Ok, type Result } from 'ts-results-es'
import { billingRecordSchema, refusalAccountSchema, type BillingRecord, type RefusalAccount } from '@buckthorndrift/protocol'
import type { ObjectStore, StoreFailure } from '../objectStore.ts'

export type RecordKind = 'billing' | 'refusals'

const hourMs = 3_600_000

/** Objects requested per list call. */
const listPageSize = 1000

export const billingBatchSchema = z.object({ records: z.array(billingRecordSchema) })
export const refusalBatchSchema = z.object({ accounts: z.array(refusalAccountSchema) })

/** Formats an hour in UTC, such as `2026-12-04T02`. */
function hourLabel (atMs: number): string {
  return new Date(atMs).toISOString().slice(0, 'yyyy-mm-ddThh'.length)
}

/** Returns `<kind>/<hour>/<writer>/<sequence>`; the hour is that of the write. */
export function recordObjectName (kind: RecordKind, atMs: number, writer: string, sequence: number): string {
  return `${kind}/${hourLabel(atMs)}/${writer}/${String(sequence).padStart(8, '0')}`
}

/** Half-open time range: `fromMs` is included, `toMs` is not. */
export interface RecordRange {
  readonly fromMs: number
  readonly toMs: number
}

/** Readers may miss records that were written later than this after their event. */
const maxWriteDelayHours = 24

/** Reads the billing records of a time range, in order of time. A request that was recorded several times is returned once. */
export async function readBilling (store: ObjectStore, range: RecordRange): Promise<Result<readonly BillingRecord[], StoreFailure>> {
  const values = await readObjectValues(store, 'billing', range)
  if (values.isErr()) return values
  const byRequest = new Map<string, BillingRecord>()
  for (const value of values.value) {
    for (const record of billingBatchSchema.parse(value).records) byRequest.set(record.requestId, record)
  }
  const inRange = [...byRequest.values()].filter(record => isWithin(record.atMs, range))
  return Ok(inRange.toSorted((a, b) => a.atMs - b.atMs))
}

/** Reads the refusal accounts of a time range, in order of time. Of an account that was stored several times, the highest count is returned. */
export async function readRefusals (store: ObjectStore, range: RecordRange): Promise<Result<readonly RefusalAccount[], StoreFailure>> {
  const values = await readObjectValues(store, 'refusals', range)
  if (values.isErr()) return values
  const byAccount = new Map<string, RefusalAccount>()
  for (const value of values.value) {
    for (const account of refusalBatchSchema.parse(value).accounts) {
      const known = byAccount.get(account.accountId)
      if (known === undefined || known.count < account.count) byAccount.set(account.accountId, account)
    }
  }
  const inRange = [...byAccount.values()].filter(account => isWithin(account.secondMs, range))
  return Ok(inRange.toSorted((a, b) => a.secondMs - b.secondMs))
}

function isWithin (atMs: number, range: RecordRange): boolean {
  return atMs >= range.fromMs && atMs < range.toMs
}

async function readObjectValues (store: ObjectStore, kind: RecordKind, range: RecordRange): Promise<Result<readonly unknown[], StoreFailure>> {
  const values: unknown[] = []
  const names = await listObjectNames(store, kind, range)
  if (names.isErr()) return names
  for (const name of names.value) {
    const object = await store.read(name)
    if (object.isErr()) return object
    if (object.value !== undefined) values.push(object.value.value)
  }
  return Ok(values)
}

/** Lists the objects of the range's hours and of the `maxWriteDelayHours` after it, because outages delay writes. */
async function listObjectNames (store: ObjectStore, kind: RecordKind, range: RecordRange): Promise<Result<readonly string[], StoreFailure>> {
  const first = `${kind}/${hourLabel(range.fromMs)}/`
  const last = `${kind}/${hourLabel(range.toMs + maxWriteDelayHours * hourMs)}/~`
  const names: string[] = []
  let after = first
  while (true) {
    const page = await store.list(`${kind}/`, { after, limit: listPageSize })
    if (page.isErr()) return Err(page.error)
    const wanted = page.value.filter(object => object.name < last)
    names.push(...wanted.map(object => object.name))
    if (page.value.length < listPageSize || wanted.length < page.value.length) return Ok(names)
    after = page.value.at(-1)!.name
  }
}
