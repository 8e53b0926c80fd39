/** Reads the billing records, or the refusal accounts (counters of refused requests), of a time range from the platform. */
import { Err, Ok, type Result } from 'ts-results-es'
import { recordObjectName, type ObjectStore, type RecordKind } from '@buckthorndrift/coordination'
import { refuse, storeProblem, type AdminProblem } from '../shared/problem.ts'

const hourMs = 3_600_000
/** Longest delay between an event and the write of its record that queries allow for. An outage delays writes; records written later than this are not found. */
const maxWriteDelayMs = 24 * hourMs
export const maxRangeMs = 31 * 24 * hourMs
/** Maximum number of entries in memory for one query, about 40 MB. */
const maxEntries = 100_000
const listPageSize = 1000
/** Maximum number of objects read in parallel. It is low because reports share the platform's read rate limit with the routers. */
const maxConcurrentReads = 4

export interface RecordQuery<Entry> {
  readonly kind: RecordKind
  readonly fromMs: number
  readonly toMs: number
  /** Returns the entries in an object's value. Throws when it is malformed. */
  parse (value: unknown): readonly Entry[]
  /** Whether an entry matches the filter. The time range is applied after deduplication, because copies of one record can carry different times. */
  isMatch (entry: Entry): boolean
  idOf (entry: Entry): string
  atMsOf (entry: Entry): number
  /** Selects one of two copies of a record; `later` is from the object whose name sorts later. */
  selectCopy (earlier: Entry, later: Entry): Entry
}

export interface RecordPage<Entry> {
  readonly items: Entry[]
  readonly next?: string
}

function hourPrefix (kind: RecordKind, atMs: number): string {
  const [, hour] = recordObjectName(kind, atMs, '', 0).split('/')
  return `${kind}/${hour}/`
}

async function listObjectNames (store: ObjectStore, kind: RecordKind, fromMs: number, toMs: number): Promise<Result<readonly string[], AdminProblem>> {
  const end = hourPrefix(kind, toMs + hourMs)
  const names: string[] = []
  let after = hourPrefix(kind, fromMs)
  while (true) {
    const page = await store.list(`${kind}/`, { after, limit: listPageSize })
    if (page.isErr()) return Err(storeProblem(page.error))
    const namesInRange = page.value.map(({ name }) => name).filter(name => name < end)
    names.push(...namesInRange)
    const last = namesInRange.at(-1)
    if (page.value.length < listPageSize || namesInRange.length < page.value.length || last === undefined) return Ok(names)
    after = last
  }
}

/** Reads the entries of the time range, deduplicated and sorted by time. */
export async function readRecords<Entry> (store: ObjectStore, query: RecordQuery<Entry>, nowMs: number): Promise<Result<readonly Entry[], AdminProblem>> {
  const { kind, fromMs, toMs } = query
  if (toMs <= fromMs) return refuse('badRequest', 'toMs must be after fromMs')
  if (toMs - fromMs > maxRangeMs) return refuse('badRequest', 'a query covers at most 31 days; split the time range')
  const names = await listObjectNames(store, kind, fromMs, Math.max(fromMs, Math.min(toMs + maxWriteDelayMs, nowMs)))
  if (names.isErr()) return names
  const byId = new Map<string, Entry>()
  for (let index = 0; index < names.value.length; index += maxConcurrentReads) {
    const objects = await Promise.all(names.value.slice(index, index + maxConcurrentReads).map(name => store.read(name)))
    for (const object of objects) {
      if (object.isErr()) return Err(storeProblem(object.error))
      if (object.value !== undefined) addEntries(byId, query, object.value.value)
    }
    if (byId.size > maxEntries) return refuse('tooLarge', `the time range has more than ${maxEntries} entries; choose a shorter one`)
  }
  const entries = [...byId.values()].filter(entry => query.atMsOf(entry) >= fromMs && query.atMsOf(entry) < toMs)
  return Ok(entries.toSorted((a, b) => compareSortKeys(sortKeyOf(query, a), sortKeyOf(query, b))))
}

function addEntries<Entry> (byId: Map<string, Entry>, query: RecordQuery<Entry>, value: unknown): void {
  for (const entry of query.parse(value).filter(found => query.isMatch(found))) {
    const id = query.idOf(entry)
    const known = byId.get(id)
    byId.set(id, known === undefined ? entry : query.selectCopy(known, entry))
  }
}

interface SortKey {
  readonly atMs: number
  readonly id: string
}

function sortKeyOf<Entry> (query: RecordQuery<Entry>, entry: Entry): SortKey {
  return { atMs: query.atMsOf(entry), id: query.idOf(entry) }
}

function compareSortKeys (a: SortKey, b: SortKey): number {
  return a.atMs - b.atMs || (a.id < b.id ? -1 : a.id > b.id ? 1 : 0)
}

/** Returns the page of sorted entries that follows the cursor `<atMs>~<id>`. */
export function pageOfRecords<Entry> (entries: readonly Entry[], query: RecordQuery<Entry>, after: string | undefined, limit: number): Result<RecordPage<Entry>, AdminProblem> {
  const [atText = '', id = ''] = after?.split('~') ?? []
  const start = { atMs: Number(atText), id }
  if (after !== undefined && (atText === '' || !Number.isFinite(start.atMs))) return refuse('badRequest', 'after must be the next value of an earlier page')
  const rest = after === undefined ? entries : entries.filter(entry => compareSortKeys(sortKeyOf(query, entry), start) > 0)
  const items = rest.slice(0, limit)
  const last = items.at(-1)
  if (last === undefined || rest.length <= limit) return Ok({ items })
  return Ok({ items, next: `${query.atMsOf(last)}~${query.idOf(last)}` })
}
