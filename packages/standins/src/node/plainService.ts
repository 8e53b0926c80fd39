/** Stand-in of a plain service: bookings, which must not be repeated, and chamber readings, which may. */
import { randomUUID } from 'node:crypto'
import { H3, type H3Event } from 'h3'
import { z } from 'zod'
import { SystemTimers, type TimerService } from '@buckthorndrift/kernel'
import { badVersionSchema, BadVersionSwitch, type BadVersion } from '../shared/badVersion.ts'
import { randomFrom } from '../shared/random.ts'
import { breakConnection, nameInPath, problem, startStandInServer } from './standInServer.ts'

const faultsSchema = z.object({
  /** Duration of a request. */
  delayMs: z.number().nonnegative(),
  /** Share of requests answered 500 without being run. */
  failureShare: z.number().min(0).max(1),
  /** Share of requests that run and whose connection then breaks without an answer. */
  lostReplyShare: z.number().min(0).max(1),
  /** `null` makes the version good again. */
  badVersion: badVersionSchema.nullable(),
  /** Falls over now. */
  fall: z.literal(true)
}).partial().strict()
export type PlainServiceFaults = Omit<Partial<z.infer<typeof faultsSchema>>, 'badVersion'> & { readonly badVersion?: BadVersion | null }

export interface PlainServiceOptions {
  readonly port?: number
  readonly timers?: TimerService
  readonly seed?: number
  /** 20 ms */
  readonly delayMs?: number
  /** Requests held at the same time, 32; one more makes the service fall over. */
  readonly hardLimit?: number
  /** How long the service answers nothing after it fell over, 3000 ms. */
  readonly recoveryMs?: number
  /** Content marker in a body that makes the service fall over, `[[crash]]`. */
  readonly crashMarker?: string
}

export interface PlainService {
  readonly url: string
  /** Throws a `ZodError` for settings out of range. */
  setFaults (faults: PlainServiceFaults): void
  /** How often each booking ran, by booking id. */
  runs (): Readonly<Record<string, number>>
  inFlight (): number
  /** How often the service fell over. */
  falls (): number
  close (): Promise<void>
}

const bookingSchema = z.object({ id: z.string().optional() }).loose()

/** Temperatures of the chambers, derived from the id so that each answer can be checked. */
function celsiusOf (chamber: string): number {
  return [...chamber].reduce((sum, letter) => sum + letter.charCodeAt(0), 0) % 9
}

/** Starts the stand-in on loopback. */
export async function startPlainService (options: PlainServiceOptions = {}): Promise<PlainService> {
  const timers = options.timers ?? new SystemTimers()
  const random = randomFrom(options.seed ?? 1)
  const badVersion = new BadVersionSwitch(random)
  const faults = { delayMs: options.delayMs ?? 20, failureShare: 0, lostReplyShare: 0 }
  const bookings = new Map<string, { readonly runs: number, readonly booking: unknown }>()
  let inFlight = 0
  let falls = 0
  let downUntilMs = Number.NEGATIVE_INFINITY

  function fall (): void {
    downUntilMs = timers.monotonicMs() + (options.recoveryMs ?? 3000)
    falls += 1
    server.breakConnections()
  }

  function setFaults (given: PlainServiceFaults): void {
    const { badVersion: bad, fall: falling, ...others } = given
    Object.assign(faults, others)
    if (bad !== undefined) badVersion.set(bad ?? undefined, timers.monotonicMs())
    if (falling === true) fall()
  }

  /** Runs `execute` at once and answers after the delay; the effect stays when the answer is lost. */
  async function serve (event: H3Event, route: string, execute: () => Response): Promise<Response> {
    inFlight += 1
    try {
      if (inFlight > (options.hardLimit ?? 32)) {
        fall()
        return breakConnection(event)
      }
      const effect = badVersion.effectOn(route, inFlight, timers.monotonicMs())
      const fails = effect.fails || random() < faults.failureShare
      const response = fails ? problem(500, 'the service failed before it ran the request') : execute()
      const losesReply = !fails && random() < faults.lostReplyShare
      await new Promise<void>(resolve => { timers.after(faults.delayMs * effect.slowdown, resolve) })
      return losesReply ? breakConnection(event) : response
    } finally {
      inFlight -= 1
    }
  }

  function book (text: string): Response {
    const body = parseBooking(text)
    if (body === undefined) return problem(400, 'a booking is a JSON object, with a text as id when it has one')
    const id = body.id ?? randomUUID()
    const runs = (bookings.get(id)?.runs ?? 0) + 1
    bookings.set(id, { runs, booking: body })
    return Response.json({ id, runs }, { status: 201 })
  }

  async function postBooking (event: H3Event): Promise<Response> {
    const text = await event.req.text()
    if (text.includes(options.crashMarker ?? '[[crash]]')) {
      fall()
      return breakConnection(event)
    }
    return serve(event, 'POST /bookings', () => book(text))
  }

  function getBooking (event: H3Event): Response {
    const id = nameInPath(event)
    const found = bookings.get(id)
    return found === undefined ? problem(404, 'there is no such booking') : Response.json({ id, ...found })
  }

  function getChamber (event: H3Event): Response {
    const chamber = nameInPath(event)
    return Response.json({ chamber, celsius: celsiusOf(chamber) })
  }

  const app = new H3()
  app.post('/bookings', postBooking)
  app.get('/bookings/:id', event => serve(event, 'GET /bookings/*', () => getBooking(event)))
  app.get('/chambers/:id', event => serve(event, 'GET /chambers/*', () => getChamber(event)))
  app.get('/load', () => ({ inFlight, hardLimit: options.hardLimit ?? 32 }))
  app.get('/runs', () => Object.fromEntries([...bookings].map(([id, { runs }]) => [id, runs])))
  app.post('/faults', async event => {
    const given = faultsSchema.safeParse(await event.req.json().catch(() => undefined))
    if (!given.success) return problem(400, z.prettifyError(given.error))
    // The reply goes out before a fall breaks the connection.
    timers.after(1, () => { setFaults(given.data as PlainServiceFaults) })
    return {}
  })

  const server = await startStandInServer(app, { port: options.port ?? 0, isDown: () => timers.monotonicMs() < downUntilMs })
  return {
    url: server.url,
    setFaults,
    runs: () => Object.fromEntries([...bookings].map(([id, { runs }]) => [id, runs])),
    inFlight: () => inFlight,
    falls: () => falls,
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
