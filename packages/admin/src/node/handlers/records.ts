/** Handlers of the operations on billing records and refusals. */
import type { Result } from 'ts-results-es'
import { billingBatchSchema, refusalBatchSchema } from '@buckthorndrift/coordination'
import type { BillingRecord, RefusalAccount } from '@buckthorndrift/protocol'
import type { AdminProblem } from '../../shared/problem.ts'
import { pageOfRecords, readRecords, type RecordPage, type RecordQuery } from '../recordReader.ts'
import type { AdminServices, Handlers } from './handlers.ts'

/** Time for which the entries that were read from the platform are reused for further pages of the same listing. */
const cacheTtlMs = 60_000

type Paging = { readonly after?: string | undefined, readonly limit: number }

/** Caches the entries of the latest query, so that a listing of many pages does not read all objects again for each page. */
function createCachingPager<Entry> (services: AdminServices) {
  let cached: { readonly key: string, readonly atMs: number, readonly entries: readonly Entry[] } | undefined
  return async (key: string, query: RecordQuery<Entry>, paging: Paging): Promise<Result<RecordPage<Entry>, AdminProblem>> => {
    const nowMs = services.timers.monotonicMs()
    // A request for the first page always reads from the platform: an operator who repeats a query expects the records written since.
    if (paging.after === undefined || cached?.key !== key || nowMs - cached.atMs > cacheTtlMs) {
      const read = await readRecords(services.store, query, services.timers.nowMs())
      if (read.isErr()) return read
      cached = { key, atMs: nowMs, entries: read.value }
      return pageOfRecords(read.value, query, paging.after, paging.limit)
    }
    return pageOfRecords(cached.entries, query, paging.after, paging.limit)
  }
}

export function createRecordHandlers (services: AdminServices): Pick<Handlers, 'listRefusals' | 'listBilling'> {
  const refusals = createCachingPager<RefusalAccount>(services)
  const billing = createCachingPager<BillingRecord>(services)
  return {
    listRefusals ({ organisation, reason, fromMs, toMs, after, limit }) {
      return refusals(JSON.stringify([organisation, reason, fromMs, toMs]), {
        kind: 'refusals',
        fromMs,
        toMs,
        parse: value => refusalBatchSchema.parse(value).accounts,
        isMatch: entry => (organisation === undefined || entry.organisation === organisation) && (reason === undefined || entry.reason === reason),
        idOf: entry => entry.accountId,
        atMsOf: entry => entry.secondMs,
        selectCopy: (earlier, later) => later.count > earlier.count ? later : earlier
      }, { after, limit })
    },

    listBilling ({ organisation, fromMs, toMs, after, limit }) {
      return billing(JSON.stringify([organisation, fromMs, toMs]), {
        kind: 'billing',
        fromMs,
        toMs,
        parse: value => billingBatchSchema.parse(value).records,
        isMatch: entry => entry.organisation === organisation,
        idOf: entry => entry.requestId,
        atMsOf: entry => entry.atMs,
        selectCopy: (_, later) => later
      }, { after, limit })
    }
  }
}
