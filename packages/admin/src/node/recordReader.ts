/** Reads billing records and refusal accounts of one organisation and time range from the platform. */
import { Err, Ok, type Result } from 'ts-results-es'
import { recordObjectName, type ObjectStore, type RecordKind } from '@buckthorndrift/coordination'
import { refuse, storeProblem, type AdminProblem } from '../shared/problem.ts'

const hourMs = 3_600_000
/** Records written later than this after their event, because of an outage, are not looked for. */
const maxWriteDelayMs = 24 * hourMs
export const maxRangeMs = 31 * 24 * hourMs
/** Most entries kept in memory for one query; about 40 MB. */
const maxEntries = 100_000
const listLimit = 1000
/** Reads at a time: a report must not use up the platform's read rate, which routers need. */
const concurrentReads = 4

export interface RecordQuery<Entry> {
  readonly kind: RecordKind
  readonly fromMs: number
  readonly toMs: number
  /** Entries of an object's value. Throws when it has another shape. */
  parse (value: unknown): readonly Entry[]
  /** Entries that the query is about, whatever their time: copies of one record can carry different times. */
  isWanted (entry: Entry): boolean
  idOf (entry: Entry): string
  atMsOf (entry: Entry): number
  /** Which of two copies of a record counts; `later` is in the object that comes later in order of names. */
  prefer (earlier: Entry, later: Entry): Entry
}

export interface RecordPage<Entry> {
  readonly items: Entry[]
  readonly next?: string
}

function hourPrefix (kind: RecordKind, atMs: number): string {
  const [, hour] = recordObjectName(kind, atMs, '', 0).split('/')
  return `${kind}/${hour}/`
}

async function listNames (store: ObjectStore, kind: RecordKind, fromMs: number, toMs: number): Promise<Result<readonly string[], AdminProblem>> {
  const end = hourPrefix(kind, toMs + hourMs)
  const names: string[] = []
  let after = hourPrefix(kind, fromMs)
  while (true) {
    const page = await store.list(`${kind}/`, { after, limit: listLimit })
    if (page.isErr()) return Err(storeProblem(page.error))
    const wanted = page.value.map(({ name }) => name).filter(name => name < end)
    names.push(...wanted)
    const last = wanted.at(-1)
    if (page.value.length < listLimit || wanted.length < page.value.length || last === undefined) return Ok(names)
    after = last
  }
}

/** Entries of the range in order of time, each once. */
export async function readRecords<Entry> (store: ObjectStore, query: RecordQuery<Entry>, nowMs: number): Promise<Result<readonly Entry[], AdminProblem>> {
  const { kind, fromMs, toMs } = query
  if (toMs <= fromMs) return refuse('badRequest', 'toMs must be after fromMs')
  if (toMs - fromMs > maxRangeMs) return refuse('badRequest', 'a query covers at most 31 days; split the range')
  const names = await listNames(store, kind, fromMs, Math.max(fromMs, Math.min(toMs + maxWriteDelayMs, nowMs)))
  if (names.isErr()) return names
  const byId = new Map<string, Entry>()
  for (let index = 0; index < names.value.length; index += concurrentReads) {
    const objects = await Promise.all(names.value.slice(index, index + concurrentReads).map(name => store.read(name)))
    for (const object of objects) {
      if (object.isErr()) return Err(storeProblem(object.error))
      if (object.value !== undefined) addEntries(byId, query, object.value.value)
    }
    if (byId.size > maxEntries) return refuse('tooLarge', `the range holds more than ${maxEntries} entries; choose a shorter one`)
  }
  const entries = [...byId.values()].filter(entry => query.atMsOf(entry) >= fromMs && query.atMsOf(entry) < toMs)
  return Ok(entries.toSorted((a, b) => compare(orderOf(query, a), orderOf(query, b))))
}

function addEntries<Entry> (byId: Map<string, Entry>, query: RecordQuery<Entry>, value: unknown): void {
  for (const entry of query.parse(value).filter(found => query.isWanted(found))) {
    const id = query.idOf(entry)
    const known = byId.get(id)
    byId.set(id, known === undefined ? entry : query.prefer(known, entry))
  }
}

interface Order {
  readonly atMs: number
  readonly id: string
}

function orderOf<Entry> (query: RecordQuery<Entry>, entry: Entry): Order {
  return { atMs: query.atMsOf(entry), id: query.idOf(entry) }
}

function compare (a: Order, b: Order): number {
  return a.atMs - b.atMs || (a.id < b.id ? -1 : a.id > b.id ? 1 : 0)
}

/** A page of entries after the cursor `<atMs>~<id>`. */
export function pageOfRecords<Entry> (entries: readonly Entry[], query: RecordQuery<Entry>, after: string | undefined, limit: number): Result<RecordPage<Entry>, AdminProblem> {
  const [atText = '', id = ''] = after?.split('~') ?? []
  const start = { atMs: Number(atText), id }
  if (after !== undefined && (atText === '' || !Number.isFinite(start.atMs))) return refuse('badRequest', 'after must be the next value of an earlier page')
  const rest = after === undefined ? entries : entries.filter(entry => compare(orderOf(query, entry), start) > 0)
  const items = rest.slice(0, limit)
  const last = items.at(-1)
  if (last === undefined || rest.length <= limit) return Ok({ items })
  return Ok({ items, next: `${query.atMsOf(last)}~${query.idOf(last)}` })
}
