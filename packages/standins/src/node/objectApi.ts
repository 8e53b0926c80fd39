/** Stand-in of the platform's object API, with its list of VMs; docs/design.md section 3 gives the calls. */
import { H3, type H3Event } from 'h3'
import { z } from 'zod'
import { SystemTimers, type TimerService } from '@buckthorndrift/kernel'
import { ObjectTable } from '../shared/objectTable.ts'
import { RateLimit } from '../shared/rateLimit.ts'
import { VmList, type StandInVm } from '../shared/vmList.ts'
import { breakConnection, onClose, nameInPath, neverAnswer, problem, startStandInServer } from './standInServer.ts'

export type ObjectApiCall = 'read' | 'write' | 'remove' | 'list' | 'watch' | 'vms'
export type ObjectApiCounters = Readonly<Record<ObjectApiCall | 'rateLimited' | 'conflict', number>>

const faultsSchema = z.object({
  /** Every call is answered 503. */
  outage: z.boolean(),
  /** Calls are accepted and never answered; connections stay open. */
  silent: z.boolean(),
  /** Added to the answer time of each call. */
  delayMs: z.number().nonnegative(),
  /** This many next writes or removals take effect, and then their connection breaks. */
  loseReplies: z.number().int().nonnegative(),
  /** Reads, lists, watches and VM lists together. */
  readsPerSecond: z.number().positive(),
  /** Writes and removals together. */
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
  /** Answer time without added delay, 2 ms. */
  readonly latencyMs?: number
  /** 2000 */
  readonly readsPerSecond?: number
  /** 400 */
  readonly writesPerSecond?: number
  /** Lag of the VM list, 5000 ms. */
  readonly vmLagMs?: number
  /** Changes kept for watches, 10 000. */
  readonly historyLimit?: number
}

export interface ObjectApi {
  readonly url: string
  /** The objects, for tests that read or write them without calls. */
  readonly table: ObjectTable
  setFaults (faults: ObjectApiFaults): void
  /** Calls answered so far by kind; refused ones count under `rateLimited` only. */
  counters (): ObjectApiCounters
  /** Replaces the VM list; readers see it after the lag. */
  setVms (vms: readonly StandInVm[]): void
  setVm (vm: StandInVm): void
  removeVm (vm: string): void
  setVmLag (lagMs: number): void
  close (): Promise<void>
}

/** Most bytes of a value. */
const maxValueBytes = 1_000_000
const defaultListLimit = 1000
/** A watch is answered without changes after this time at the latest. */
const maxWatchMs = 60_000

/** Starts the stand-in on loopback. */
export async function startObjectApi (options: ObjectApiOptions = {}): Promise<ObjectApi> {
  const timers = options.timers ?? new SystemTimers()
  const table = new ObjectTable(options.historyLimit)
  const vms = new VmList(options.vmLagMs ?? 5000)
  const reads = new RateLimit(options.readsPerSecond ?? 2000, timers.monotonicMs())
  const writes = new RateLimit(options.writesPerSecond ?? 400, timers.monotonicMs())
  const counters = { read: 0, write: 0, remove: 0, list: 0, watch: 0, vms: 0, rateLimited: 0, conflict: 0 }
  const faults = { outage: false, silent: false, delayMs: 0, loseReplies: 0 }
  const interruptions = new Set<() => void>()

  function setFaults (given: ObjectApiFaults): void {
    const { readsPerSecond, writesPerSecond, ...others } = given
    Object.assign(faults, others)
    if (readsPerSecond !== undefined) reads.setRate(readsPerSecond)
    if (writesPerSecond !== undefined) writes.setRate(writesPerSecond)
    if (faults.outage || faults.silent) for (const interrupt of [...interruptions]) interrupt()
  }

  function pause (durationMs: number): Promise<void> {
    return durationMs <= 0 ? Promise.resolve() : new Promise(resolve => { timers.after(durationMs, resolve) })
  }

  async function answer (call: ObjectApiCall, event: H3Event, handle: () => Response | Promise<Response>): Promise<Response> {
    if (faults.silent) return neverAnswer(event)
    const limit = call === 'write' || call === 'remove' ? writes : reads
    const waitMs = limit.take(timers.monotonicMs())
    if (waitMs > 0) {
      counters.rateLimited += 1
      return problem(429, 'the rate limit of the object API is reached', { 'retry-after': String(Math.ceil(waitMs / 1000)) })
    }
    counters[call] += 1
    await pause((options.latencyMs ?? 2) + faults.delayMs)
    return faults.outage ? problem(503, 'the object API is not available') : handle()
  }

  /** Loses the reply of a write that took effect, when so switched. */
  function replyToWrite (event: H3Event, isApplied: boolean, response: Response): Response {
    if (!isApplied) counters.conflict += 1
    if (!isApplied || faults.loseReplies === 0) return response
    faults.loseReplies -= 1
    return breakConnection(event)
  }

  function expectedVersion (event: H3Event): number | undefined {
    const match = event.req.headers.get('if-match')
    if (match !== null) return /^[1-9]\d*$/.test(match) ? Number(match) : undefined
    return event.req.headers.get('if-none-match') === '*' ? 0 : undefined
  }

  async function put (event: H3Event): Promise<Response> {
    const name = nameInPath(event)
    const expected = expectedVersion(event)
    if (expected === undefined) return problem(428, 'If-Match with a version or If-None-Match: * is required')
    const body = await event.req.text()
    if (Buffer.byteLength(body) > maxValueBytes) return problem(413, `a value has at most ${maxValueBytes} bytes`)
    const value = parseJson(body)
    if (value === undefined) return problem(400, 'the body is not JSON')
    const result = table.write(name, value, expected)
    const reply = Response.json({ version: result.version }, { status: result.isApplied ? 200 : 412 })
    return replyToWrite(event, result.isApplied, reply)
  }

  function remove (event: H3Event): Response {
    const expected = expectedVersion(event)
    if (expected === undefined || expected === 0) return problem(428, 'If-Match with a version is required')
    const result = table.remove(nameInPath(event), expected)
    const reply = Response.json({ version: result.version }, { status: result.isApplied ? 200 : 412 })
    return replyToWrite(event, result.isApplied, reply)
  }

  function waitForChange (event: H3Event, prefix: string, since: number, waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const finish = (): void => {
        unsubscribe()
        cancel()
        interruptions.delete(finish)
        resolve()
      }
      const unsubscribe = table.subscribe(() => {
        const { changes } = table.changesSince(prefix, since)
        if (changes === undefined || changes.length > 0) finish()
      })
      const cancel = timers.after(waitMs, finish)
      interruptions.add(finish)
      onClose(event, finish)
    })
  }

  async function watch (event: H3Event): Promise<Response> {
    const query = event.url.searchParams
    const prefix = query.get('prefix') ?? ''
    const since = Number(query.get('since') ?? '0')
    const waitMs = Math.min(maxWatchMs, Number(query.get('waitMs') ?? '0'))
    if (!Number.isInteger(since) || !(waitMs >= 0)) return problem(400, 'since and waitMs must be numbers')
    const first = table.changesSince(prefix, since)
    if (first.changes?.length === 0 && waitMs > 0) await waitForChange(event, prefix, since, waitMs)
    if (faults.outage || faults.silent) return problem(503, 'the object API is not available')
    const { revision, changes } = table.changesSince(prefix, since)
    if (changes === undefined) return Response.json({ revision }, { status: 410 })
    return Response.json({ revision, changes: changes.map(({ name, version, isRemoved }) => ({ name, version, isRemoved })) })
  }

  function list (event: H3Event): Response {
    const query = event.url.searchParams
    const limit = Number(query.get('limit') ?? defaultListLimit)
    if (!Number.isInteger(limit) || limit < 1) return problem(400, 'limit must be a positive integer')
    return Response.json({ objects: table.list(query.get('prefix') ?? '', query.get('after') ?? '', Math.min(limit, defaultListLimit)) })
  }

  function read (event: H3Event): Response {
    const name = nameInPath(event)
    const object = table.read(name)
    return object === undefined ? problem(404, 'there is no such object') : Response.json({ name, ...object })
  }

  const app = new H3()
  app.get('/objects/:name', event => answer('read', event, () => read(event)))
  app.put('/objects/:name', event => answer('write', event, () => put(event)))
  app.delete('/objects/:name', event => answer('remove', event, () => remove(event)))
  app.get('/objects', event => answer('list', event, () => list(event)))
  app.get('/watch', event => answer('watch', event, () => watch(event)))
  app.get('/vms', event => answer('vms', event, () => Response.json({ vms: vms.visible(timers.monotonicMs()) })))
  app.get('/counters', () => counters)
  app.post('/faults', async event => {
    const given = faultsSchema.safeParse(await event.req.json())
    if (!given.success) return problem(400, z.prettifyError(given.error))
    setFaults(given.data)
    return Response.json(faults)
  })
  app.post('/vms', async event => {
    const given = vmsSchema.safeParse(await event.req.json())
    if (!given.success) return problem(400, z.prettifyError(given.error))
    if (given.data.lagMs !== undefined) vms.setLag(given.data.lagMs)
    if (given.data.vms !== undefined) vms.set(given.data.vms, timers.monotonicMs())
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
