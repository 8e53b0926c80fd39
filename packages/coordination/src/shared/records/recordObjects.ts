/** Objects that hold billing records and refusal accounts, named by hour so that a time range is a list of prefixes. */
import { z } from 'zod'
import { Err, Ok, type Result } from 'ts-results-es'
import { billingRecordSchema, refusalAccountSchema, type BillingRecord, type RefusalAccount } from '@buckthorndrift/protocol'
import type { ObjectStore, StoreFailure } from '../objectStore.ts'

export type RecordKind = 'billing' | 'refusals'

const hourMs = 3_600_000

/** Most objects listed by one call. */
const listLimit = 1000

export const billingBatchSchema = z.object({ records: z.array(billingRecordSchema) })
export const refusalBatchSchema = z.object({ accounts: z.array(refusalAccountSchema) })

/** `2026-12-04T02`, in UTC. */
function hourLabel (atMs: number): string {
  return new Date(atMs).toISOString().slice(0, 'yyyy-mm-ddThh'.length)
}

/** `<kind>/<hour>/<writer>/<number>`; the hour is that of the write. */
export function recordObjectName (kind: RecordKind, atMs: number, writer: string, number: number): string {
  return `${kind}/${hourLabel(atMs)}/${writer}/${String(number).padStart(8, '0')}`
}

export interface RecordRange {
  readonly fromMs: number
  readonly toMs: number
}

/** Longest time between an event and the write of its record that readers allow for. */
const maxWriteDelayHours = 24

/** Billing records of a time range, each request once, in order of time. */
export async function readBilling (store: ObjectStore, range: RecordRange): Promise<Result<readonly BillingRecord[], StoreFailure>> {
  const values = await readValues(store, 'billing', range)
  if (values.isErr()) return values
  const byRequest = new Map<string, BillingRecord>()
  for (const value of values.value) {
    for (const record of billingBatchSchema.parse(value).records) byRequest.set(record.requestId, record)
  }
  const inRange = [...byRequest.values()].filter(record => isWithin(record.atMs, range))
  return Ok(inRange.toSorted((a, b) => a.atMs - b.atMs))
}

/** Refusal accounts of a time range, each once with its highest count, in order of time. */
export async function readRefusals (store: ObjectStore, range: RecordRange): Promise<Result<readonly RefusalAccount[], StoreFailure>> {
  const values = await readValues(store, 'refusals', range)
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

async function readValues (store: ObjectStore, kind: RecordKind, range: RecordRange): Promise<Result<readonly unknown[], StoreFailure>> {
  const values: unknown[] = []
  const names = await listNames(store, kind, range)
  if (names.isErr()) return names
  for (const name of names.value) {
    const object = await store.read(name)
    if (object.isErr()) return object
    if (object.value !== undefined) values.push(object.value.value)
  }
  return Ok(values)
}

/** Lists the objects of the range's hours; later hours count too, because outages delay writes. */
async function listNames (store: ObjectStore, kind: RecordKind, range: RecordRange): Promise<Result<readonly string[], StoreFailure>> {
  const first = `${kind}/${hourLabel(range.fromMs)}/`
  const last = `${kind}/${hourLabel(range.toMs + maxWriteDelayHours * hourMs)}/~`
  const names: string[] = []
  let after = first
  while (true) {
    const page = await store.list(`${kind}/`, { after, limit: listLimit })
    if (page.isErr()) return Err(page.error)
    const wanted = page.value.filter(object => object.name < last)
    names.push(...wanted.map(object => object.name))
    if (page.value.length < listLimit || wanted.length < page.value.length) return Ok(names)
    after = page.value.at(-1)!.name
  }
}
