/** `buckthorndrift refusals` and `buckthorndrift billing` */
import { command, option, optional, positional, string } from 'cmd-ts'
import type { Result } from 'ts-results-es'
import type { OutputOf } from '@buckthorndrift/admin'
import { exitCodes, type ExitCode } from '../../shared/exitCodes.ts'
import { formatTime, parseTime } from '../../shared/times.ts'
import { connectionArgs, jsonArg, withConnection, type ConnectionFlags } from '../connection.ts'
import { createProgress, printError, printJson, printTable } from '../output.ts'

const pageSize = 1000
const jsonLinesNote = 'with --json one object per line'
const timeNote = '2026-12-04, 2026-12-04T09:30:00Z, or an age such as 6h'

const rangeArgs = {
  from: option({ long: 'from', type: string, defaultValue: () => '1d', description: `start: ${timeNote} (default: 1d)` }),
  to: option({ long: 'to', type: string, defaultValue: () => 'now', description: 'end, exclusive, in the same forms (default: now)' })
}

interface Range {
  readonly fromMs: number
  readonly toMs: number
}

async function withTimeRange (flags: ConnectionFlags & { readonly from: string, readonly to: string }, run: (range: Range) => Promise<ExitCode>): Promise<ExitCode> {
  const nowMs = Date.now()
  const from = parseTime(flags.from, nowMs)
  const to = parseTime(flags.to, nowMs)
  if (from.isOk() && to.isOk()) return run({ fromMs: from.value, toMs: to.value })
  for (const time of [from, to]) if (time.isErr()) printError(time.error)
  return exitCodes.usage
}

interface Page<Item> {
  readonly items: readonly Item[]
  readonly next?: string | undefined
}

/** Reads all pages and passes the items of each to `onItems` as it arrives, so that a long report in JSON lines needs little memory. */
async function forEachPage<Item> (noun: string, read: (paging: { readonly limit: number, readonly after?: string }) => Promise<Result<Page<Item>, ExitCode>>, onItems: (items: readonly Item[]) => void): Promise<ExitCode> {
  const progress = createProgress()
  let count = 0
  for (let after: string | undefined; ;) {
    if (process.stderr.isTTY) progress.show(`reading ${noun}: ${count}`)
    const page = await read({ limit: pageSize, ...(after === undefined ? {} : { after }) })
    if (page.isErr()) return page.error
    onItems(page.value.items)
    count += page.value.items.length
    after = page.value.next
    if (after === undefined) break
  }
  progress.end()
  return exitCodes.done
}

type Refusal = OutputOf<'listRefusals'>['items'][number]
type BilledRequest = OutputOf<'listBilling'>['items'][number]

export const refusalsCommand = command({
  name: 'refusals',
  description: `Show refused requests: which organisation, when, and why; ${jsonLinesNote}.`,
  args: {
    organisation: option({ long: 'organisation', type: optional(string), description: 'only this organisation (default: all, including unknown callers)' }),
    reason: option({ long: 'reason', type: optional(string), description: 'only this reason, such as budgetExhausted' }),
    ...rangeArgs,
    json: jsonArg,
    ...connectionArgs
  },
  examples: [{ description: 'refusals of one organisation in the last week', command: 'buckthorndrift refusals --organisation acme --from 7d' }],
  handler: ({ organisation, reason, json, ...flags }) => withTimeRange(flags, range => withConnection(flags, async ({ call }) => {
    const rows: Refusal[] = []
    const filter = { ...range, ...(organisation === undefined ? {} : { organisation }), ...(reason === undefined ? {} : { reason }) }
    const exitCode = await forEachPage('refusals', paging => call('listRefusals', { ...filter, ...paging }), items => {
      if (json) items.forEach(printJson)
      else rows.push(...items)
    })
    if (exitCode !== exitCodes.done || json) return exitCode
    printTable(['TIME', 'ORGANISATION', 'BUDGET', 'SERVICE', 'REASON', 'VERDICT', 'COUNT', 'IDS'], rows.map(row => [
      formatTime(row.secondMs), row.organisation === '' ? '(unknown)' : row.organisation, row.budget, row.service, row.reason, row.verdict, row.count, `${row.accountId}.1-${row.count}`
    ]), 'There are no refusals in this range.')
    printError(`${rows.reduce((sum, row) => sum + row.count, 0)} refused requests`)
    return exitCode
  }))
})

export const billingCommand = command({
  name: 'billing',
  description: `Show the billed requests of an organisation, each once; ${jsonLinesNote}.`,
  args: {
    organisation: positional({ displayName: 'organisation', type: string, description: 'name of the organisation' }),
    ...rangeArgs,
    json: jsonArg,
    ...connectionArgs
  },
  handler: ({ organisation, json, ...flags }) => withTimeRange(flags, range => withConnection(flags, async ({ call }) => {
    const rows: BilledRequest[] = []
    const exitCode = await forEachPage('billing records', paging => call('listBilling', { organisation, ...range, ...paging }), items => {
      if (json) items.forEach(printJson)
      else rows.push(...items)
    })
    if (exitCode !== exitCodes.done || json) return exitCode
    printTable(['TIME', 'REQUEST', 'BUDGET', 'SERVICE', 'VERSION', 'ROUTE', 'OUTCOME', 'TOKENS'], rows.map(row => [
      formatTime(row.atMs), row.requestId, row.budget, row.service, row.version, row.route, row.outcome, row.tokens
    ]), 'There are no billed requests in this range.')
    printError(`${rows.length} requests, ${rows.reduce((sum, row) => sum + row.tokens, 0)} tokens`)
    return exitCode
  }))
})
