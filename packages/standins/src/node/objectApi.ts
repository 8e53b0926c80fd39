/** Stand-in for the platform's object API and VM list; section 3 of docs/design.md describes the calls. */
import { H3, type H3Event } from 'h3'
import { z } from 'zod'
import { SystemTimers, type TimerService } from '@buckthorndrift/kernel'
import { ObjectTable } from '../shared/objectTable.ts'
import { RateLimit } from '../shared/rateLimit.ts'
import { VmList, type StandInVm } from '../shared/vmList.ts'
import { breakConnection, onClose, nameInPath, neverAnswer, problemResponse, startStandInServer } from './standInServer.ts'

export type ObjectApiCall = 'read' | 'write' | 'remove' | 'list' | 'watch' | 'vms'
export type ObjectApiCounters = Readonly<Record<ObjectApiCall | 'rateLimited' | 'conflict', number>>

const faultsSchema = z.object({
  /** Every call gets 503. */
  outage: z.boolean(),
  /** New calls get no response and their connections stay open; waiting watches get 503. */
  silent: z.boolean(),
  /** Added to the response time of each call. */
  delayMs: z.number().nonnegative(),
  /** Number of writes and removals, counted from now, that take effect but whose connection breaks before the response. */
  loseReplies: z.number().int().nonnegative(),
  /** Rate limit of reads, lists, watches and VM lists together. */
  readsPerSecond: z.number().positive(),
  /** Rate limit of writes and removals together. */
  writesPerSecond: z.number().positive()
}).partial().strict()
export type ObjectApiFaults = z.infer<typeof faultsSchema>

const vmsSchema = z.object({
  vms: z.array(z.object({ vm: z.string(), state: z.enum(['live', 'leaving']) })).optional(),
  lagMs: z.number().nonnegative().optional()
}).strict()

export interface ObjectApiOptions {
  readonly port?: number
  readonly timers?: TimerService
  /** Response time without the delay fault; default 2 ms. */
  readonly latencyMs?: number
  /** Rate limit of reads, lists, watches and VM lists together; default 2000. */
  readonly readsPerSecond?: number
  /** Rate limit of writes and removals together; default 400. */
  readonly writesPerSecond?: number
  /** Delay until a change of the VM list becomes visible; default 5000 ms. */
  readonly vmLagMs?: number
  /** Minimum number of recent changes kept for watches; default 10 000. */
  readonly historyLimit?: number
}

export interface ObjectApi {
  readonly url: string
  /** The stored objects, which tests can read and write without HTTP calls. */
  readonly table: ObjectTable
  setFaults (faults: ObjectApiFaults): void
  /** Number of calls by kind. Calls above the rate limit count as `rateLimited` only; `conflict` counts writes and removals that were not applied. */
  counters (): ObjectApiCounters
  /** Replaces the VM list; the change becomes visible after the lag. */
  setVms (vms: readonly StandInVm[]): void
  setVm (vm: StandInVm): void
  removeVm (vm: string): void
  setVmLag (lagMs: number): void
  close (): Promise<void>
}

const maxValueBytes = 1_000_000
const defaultListLimit = 1000
/** Longest time for which a watch waits for a change. */
const maxWatchWaitMs = 60_000

/** Starts the stand-in on a loopback port. */
export async function startObjectApi (options: ObjectApiOptions = {}): Promise<ObjectApi> {
  const timers = options.timers ?? new SystemTimers()
  const table = new ObjectTable(options.historyLimit)
  const vms = new VmList(options.vmLagMs ?? 5000)
  const reads = new RateLimit(options.readsPerSecond ?? 2000, timers.monotonicMs())
  const writes = new RateLimit(options.writesPerSecond ?? 400, timers.monotonicMs())
  const counters = { read: 0, write: 0, remove: 0, list: 0, watch: 0, vms: 0, rateLimited: 0, conflict: 0 }
  const faults = { outage: false, silent: false, delayMs: 0, loseReplies: 0 }
  const pendingWatches = new Set<() => void>()

  function setFaults (changes: ObjectApiFaults): void {
    const { readsPerSecond, writesPerSecond, ...others } = changes
    Object.assign(faults, others)
    if (readsPerSecond !== undefined) reads.setRate(readsPerSecond)
    if (writesPerSecond !== undefined) writes.setRate(writesPerSecond)
    if (faults.outage || faults.silent) for (const endWatch of [...pendingWatches]) endWatch()
  }

  function sleep (durationMs: number): Promise<void> {
    return durationMs <= 0 ? Promise.resolve() : new Promise(resolve => { timers.after(durationMs, resolve) })
  }

  async function handleCall (call: ObjectApiCall, event: H3Event, handle: () => Response | Promise<Response>): Promise<Response> {
    if (faults.silent) return neverAnswer(event)
    const rateLimit = call === 'write' || call === 'remove' ? writes : reads
    const waitMs = rateLimit.take(timers.monotonicMs())
    if (waitMs > 0) {
      counters.rateLimited += 1
      return problemResponse(429, 'the rate limit of the object API is reached', { 'retry-after': String(Math.ceil(waitMs / 1000)) })
    }
    counters[call] += 1
    await sleep((options.latencyMs ?? 2) + faults.delayMs)
    return faults.outage ? problemResponse(503, 'the object API is not available') : handle()
  }

  /** Breaks the connection of an applied write or removal while the fault `loseReplies` is set. */
  function replyToWrite (event: H3Event, isApplied: boolean, response: Response): Response {
    if (!isApplied) counters.conflict += 1
    if (!isApplied || faults.loseReplies === 0) return response
    faults.loseReplies -= 1
    return breakConnection(event)
  }

  function parseExpectedVersion (event: H3Event): number | undefined {
    const match = event.req.headers.get('if-match')
    if (match !== null) return /^[1-9]\d*$/.test(match) ? Number(match) : undefined
    return event.req.headers.get('if-none-match') === '*' ? 0 : undefined
  }

  async function put (event: H3Event): Promise<Response> {
    const name = nameInPath(event)
    const expected = parseExpectedVersion(event)
    if (expected === undefined) return problemResponse(428, 'If-Match with a version or If-None-Match: * is required')
    const body = await event.req.text()
    if (Buffer.byteLength(body) > maxValueBytes) return problemResponse(413, `a value must not exceed ${maxValueBytes} bytes`)
    const value = parseJson(body)
    if (value === undefined) return problemResponse(400, 'the body is not valid JSON')
    const result = table.write(name, value, expected)
    const reply = Response.json({ version: result.version }, { status: result.isApplied ? 200 : 412 })
    return replyToWrite(event, result.isApplied, reply)
  }

  function remove (event: H3Event): Response {
    const expected = parseExpectedVersion(event)
    if (expected === undefined || expected === 0) return problemResponse(428, 'If-Match with a version is required')
    const result = table.remove(nameInPath(event), expected)
    const reply = Response.json({ version: result.version }, { status: result.isApplied ? 200 : 412 })
    return replyToWrite(event, result.isApplied, reply)
  }

  function waitForChange (event: H3Event, prefix: string, since: number, waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const endWatch = (): void => {
        unsubscribe()
        cancel()
        pendingWatches.delete(endWatch)
        resolve()
      }
      const unsubscribe = table.subscribe(() => {
        const { changes } = table.changesSince(prefix, since)
        if (changes === undefined || changes.length > 0) endWatch()
      })
      const cancel = timers.after(waitMs, endWatch)
      pendingWatches.add(endWatch)
      onClose(event, endWatch)
    })
  }

  async function watch (event: H3Event): Promise<Response> {
    const query = event.url.searchParams
    const prefix = query.get('prefix') ?? ''
    const since = Number(query.get('since') ?? '0')
    const waitMs = Math.min(maxWatchWaitMs, Number(query.get('waitMs') ?? '0'))
    if (!Number.isInteger(since) || !(waitMs >= 0)) return problemResponse(400, 'since must be an integer and waitMs a number that is not negative')
    const initial = table.changesSince(prefix, since)
    if (initial.changes?.length === 0 && waitMs > 0) await waitForChange(event, prefix, since, waitMs)
    if (faults.outage || faults.silent) return problemResponse(503, 'the object API is not available')
    const { revision, changes } = table.changesSince(prefix, since)
    if (changes === undefined) return Response.json({ revision }, { status: 410 })
    return Response.json({ revision, changes: changes.map(({ name, version, isRemoved }) => ({ name, version, isRemoved })) })
  }

  function list (event: H3Event): Response {
    const query = event.url.searchParams
    const limit = Number(query.get('limit') ?? defaultListLimit)
    if (!Number.isInteger(limit) || limit < 1) return problemResponse(400, 'limit must be a positive integer')
    return Response.json({ objects: table.list(query.get('prefix') ?? '', query.get('after') ?? '', Math.min(limit, defaultListLimit)) })
  }

  function read (event: H3Event): Response {
    const name = nameInPath(event)
    const object = table.read(name)
    return object === undefined ? problemResponse(404, 'there is no such object') : Response.json({ name, ...object })
  }

  const app = new H3()
  app.get('/objects/:name', event => handleCall('read', event, () => read(event)))
  app.put('/objects/:name', event => handleCall('write', event, () => put(event)))
  app.delete('/objects/:name', event => handleCall('remove', event, () => remove(event)))
  app.get('/objects', event => handleCall('list', event, () => list(event)))
  app.get('/watch', event => handleCall('watch', event, () => watch(event)))
  app.get('/vms', event => handleCall('vms', event, () => Response.json({ vms: vms.visible(timers.monotonicMs()) })))
  app.get('/counters', () => counters)
  app.post('/faults', async event => {
    const parsed = faultsSchema.safeParse(await event.req.json())
    if (!parsed.success) return problemResponse(400, z.prettifyError(parsed.error))
    setFaults(parsed.data)
    return Response.json(faults)
  })
  app.post('/vms', async event => {
    const parsed = vmsSchema.safeParse(await event.req.json())
    if (!parsed.success) return problemResponse(400, z.prettifyError(parsed.error))
    if (parsed.data.lagMs !== undefined) vms.setLag(parsed.data.lagMs)
    if (parsed.data.vms !== undefined) vms.set(parsed.data.vms, timers.monotonicMs())
    return Response.json({})
  })

  const server = await startStandInServer(app, options.port === undefined ? {} : { port: options.port })
  return {
    url: server.url,
    table,
    setFaults,
    counters: () => ({ ...counters }),
    setVms: list => { vms.set(list, timers.monotonicMs()) },
    setVm: vm => { vms.setVm(vm, timers.monotonicMs()) },
    removeVm: vm => { vms.removeVm(vm, timers.monotonicMs()) },
    setVmLag: lagMs => { vms.setLag(lagMs) },
    close: () => server.close()
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}
