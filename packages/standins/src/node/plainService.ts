/** Stand-in for a plain service with bookings, which are not idempotent, and chamber readings, which are. */
import { randomUUID } from 'node:crypto'
import { H3, type H3Event } from 'h3'
import { z } from 'zod'
import { SystemTimers, type TimerService } from '@buckthorndrift/kernel'
import { badVersionSchema, BadVersionFault, type BadVersion } from '../shared/badVersion.ts'
import { randomFrom } from '../shared/random.ts'
import { breakConnection, nameInPath, problemResponse, startStandInServer } from './standInServer.ts'

const faultsSchema = z.object({
  /** Duration of a request. */
  delayMs: z.number().nonnegative(),
  /** Share of requests that get 500 and are not run. */
  failureShare: z.number().min(0).max(1),
  /** Share of requests that run and whose connection then breaks without a response. */
  lostReplyShare: z.number().min(0).max(1),
  /** `null` ends the fault. */
  badVersion: badVersionSchema.nullable(),
  /** Crashes the service. */
  fall: z.literal(true)
}).partial().strict()
export type PlainServiceFaults = Omit<Partial<z.infer<typeof faultsSchema>>, 'badVersion'> & { readonly badVersion?: BadVersion | null }

export interface PlainServiceOptions {
  readonly port?: number
  readonly timers?: TimerService
  /** Seed of the random faults; default 1. */
  readonly seed?: number
  /** Duration of a request; default 20 ms. */
  readonly delayMs?: number
  /** Maximum of requests in progress, default 32; one more crashes the service. */
  readonly hardLimit?: number
  /** Time after a crash during which every connection is broken without a response; default 3000 ms. */
  readonly recoveryMs?: number
  /** Text in the body of a booking that crashes the service; default `[[crash]]`. */
  readonly crashMarker?: string
}

export interface PlainService {
  readonly url: string
  /** Sets the given faults and leaves the others unchanged. Throws a `ZodError` when `badVersion` is invalid. */
  setFaults (faults: PlainServiceFaults): void
  /** How many times each booking ran, by booking id. */
  runs (): Readonly<Record<string, number>>
  inFlight (): number
  /** Number of crashes so far. */
  crashCount (): number
  close (): Promise<void>
}

const bookingSchema = z.object({ id: z.string().optional() }).loose()

/** Temperature of a chamber, derived from its id so that every read returns the same value. */
function celsiusOf (chamber: string): number {
  return [...chamber].reduce((sum, letter) => sum + letter.charCodeAt(0), 0) % 9
}

/** Starts the stand-in on a loopback port. */
export async function startPlainService (options: PlainServiceOptions = {}): Promise<PlainService> {
  const timers = options.timers ?? new SystemTimers()
  const random = randomFrom(options.seed ?? 1)
  const badVersion = new BadVersionFault(random)
  const faults = { delayMs: options.delayMs ?? 20, failureShare: 0, lostReplyShare: 0 }
  const bookings = new Map<string, { readonly runs: number, readonly booking: unknown }>()
  let inFlight = 0
  let crashCount = 0
  let downUntilMs = Number.NEGATIVE_INFINITY

  function crash (): void {
    downUntilMs = timers.monotonicMs() + (options.recoveryMs ?? 3000)
    crashCount += 1
    server.breakConnections()
  }

  function setFaults (changes: PlainServiceFaults): void {
    const { badVersion: badVersionSettings, fall: shouldCrash, ...others } = changes
    Object.assign(faults, others)
    if (badVersionSettings !== undefined) badVersion.set(badVersionSettings ?? undefined, timers.monotonicMs())
    if (shouldCrash === true) crash()
  }

  /** Runs `execute` at once and responds after the delay. The effect of `execute` stays when the response is lost. */
  async function handleCall (event: H3Event, route: string, execute: () => Response): Promise<Response> {
    inFlight += 1
    try {
      if (inFlight > (options.hardLimit ?? 32)) {
        crash()
        return breakConnection(event)
      }
      const effect = badVersion.effectOn(route, inFlight, timers.monotonicMs())
      const shouldFail = effect.shouldFail || random() < faults.failureShare
      const response = shouldFail ? problemResponse(500, 'the service failed before it ran the request') : execute()
      const shouldLoseReply = !shouldFail && random() < faults.lostReplyShare
      await new Promise<void>(resolve => { timers.after(faults.delayMs * effect.slowdown, resolve) })
      return shouldLoseReply ? breakConnection(event) : response
    } finally {
      inFlight -= 1
    }
  }

  function book (text: string): Response {
    const body = parseBooking(text)
    if (body === undefined) return problemResponse(400, 'a booking must be a JSON object whose id, if it has one, is a string')
    const id = body.id ?? randomUUID()
    const runs = (bookings.get(id)?.runs ?? 0) + 1
    bookings.set(id, { runs, booking: body })
    return Response.json({ id, runs }, { status: 201 })
  }

  async function postBooking (event: H3Event): Promise<Response> {
    const text = await event.req.text()
    if (text.includes(options.crashMarker ?? '[[crash]]')) {
      crash()
      return breakConnection(event)
    }
    return handleCall(event, 'POST /bookings', () => book(text))
  }

  function getBooking (event: H3Event): Response {
    const id = nameInPath(event)
    const storedBooking = bookings.get(id)
    return storedBooking === undefined ? problemResponse(404, 'there is no such booking') : Response.json({ id, ...storedBooking })
  }

  function getChamber (event: H3Event): Response {
    const chamber = nameInPath(event)
    return Response.json({ chamber, celsius: celsiusOf(chamber) })
  }

  const app = new H3()
  app.post('/bookings', postBooking)
  app.get('/bookings/:id', event => handleCall(event, 'GET /bookings/*', () => getBooking(event)))
  app.get('/chambers/:id', event => handleCall(event, 'GET /chambers/*', () => getChamber(event)))
  app.get('/load', () => ({ inFlight, hardLimit: options.hardLimit ?? 32 }))
  app.get('/runs', () => Object.fromEntries([...bookings].map(([id, { runs }]) => [id, runs])))
  app.post('/faults', async event => {
    const parsed = faultsSchema.safeParse(await event.req.json().catch(() => undefined))
    if (!parsed.success) return problemResponse(400, z.prettifyError(parsed.error))
    // The faults apply after the response is sent, because a crash breaks this connection too.
    timers.after(1, () => { setFaults(parsed.data as PlainServiceFaults) })
    return {}
  })

  const server = await startStandInServer(app, { port: options.port ?? 0, isDown: () => timers.monotonicMs() < downUntilMs })
  return {
    url: server.url,
    setFaults,
    runs: () => Object.fromEntries([...bookings].map(([id, { runs }]) => [id, runs])),
    inFlight: () => inFlight,
    crashCount: () => crashCount,
    close: () => server.close()
  }
}

function parseBooking (text: string): z.infer<typeof bookingSchema> | undefined {
  try {
    return bookingSchema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}
