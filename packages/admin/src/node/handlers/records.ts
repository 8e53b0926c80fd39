/** Calls about billing records and refusals. */
import type { Result } from 'ts-results-es'
import { billingBatchSchema, refusalBatchSchema } from '@buckthorndrift/coordination'
import type { BillingRecord, RefusalAccount } from '@buckthorndrift/protocol'
import type { AdminProblem } from '../../shared/problem.ts'
import { pageOfRecords, readRecords, type RecordPage, type RecordQuery } from '../recordReader.ts'
import type { AdminServices, Handlers } from './handlers.ts'

/** How long the pages of a listing come from one reading of the platform. */
const resultAgeMs = 60_000

type Paging = { readonly after?: string | undefined, readonly limit: number }

/** Serves pages from the last result, so that a listing of many pages does not read all objects for each page. */
function createPager<Entry> (services: AdminServices) {
  let latest: { readonly key: string, readonly atMs: number, readonly entries: readonly Entry[] } | undefined
  return async (key: string, query: RecordQuery<Entry>, paging: Paging): Promise<Result<RecordPage<Entry>, AdminProblem>> => {
    const nowMs = services.timers.monotonicMs()
    // The first page always reads anew: an operator who asks again expects what was written meanwhile.
    if (paging.after === undefined || latest?.key !== key || nowMs - latest.atMs > resultAgeMs) {
      const read = await readRecords(services.store, query, services.timers.nowMs())
      if (read.isErr()) return read
      latest = { key, atMs: nowMs, entries: read.value }
      return pageOfRecords(read.value, query, paging.after, paging.limit)
    }
    return pageOfRecords(latest.entries, query, paging.after, paging.limit)
  }
}

export function createRecordHandlers (services: AdminServices): Pick<Handlers, 'listRefusals' | 'listBilling'> {
  const refusals = createPager<RefusalAccount>(services)
  const billing = createPager<BillingRecord>(services)
  return {
    listRefusals ({ organisation, reason, fromMs, toMs, after, limit }) {
      return refusals(JSON.stringify([organisation, reason, fromMs, toMs]), {
        kind: 'refusals',
        fromMs,
        toMs,
        parse: value => refusalBatchSchema.parse(value).accounts,
        isWanted: entry => (organisation === undefined || entry.organisation === organisation) && (reason === undefined || entry.reason === reason),
        idOf: entry => entry.accountId,
        atMsOf: entry => entry.secondMs,
        prefer: (earlier, later) => later.count > earlier.count ? later : earlier
      }, { after, limit })
    },

    listBilling ({ organisation, fromMs, toMs, after, limit }) {
      return billing(JSON.stringify([organisation, fromMs, toMs]), {
        kind: 'billing',
        fromMs,
        toMs,
        parse: value => billingBatchSchema.parse(value).records,
        isWanted: entry => entry.organisation === organisation,
        idOf: entry => entry.requestId,
        atMsOf: entry => entry.atMs,
        prefer: (_, later) => later
      }, { after, limit })
    }
  }
}
