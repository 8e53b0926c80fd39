/** Switches that make a version of a service bad, and the judgement whether one request is hit. */
import { z } from 'zod'

export const badVersionSchema = z.object({
  /** Share of requests that fail, 0 to 1. */
  failureShare: z.number().min(0).max(1).default(0),
  /** Factor on the duration of requests, 1 for none. */
  slowdown: z.number().min(1).default(1),
  /** Only while more requests than this are in progress. */
  aboveLoad: z.number().nonnegative().default(0),
  /** Only requests with this method and path, such as `POST /bookings`. */
  onlyRoute: z.string().optional(),
  /** Only from this time on, in ms after the switch is set. */
  afterMs: z.number().nonnegative().default(0)
}).strict()
export type BadVersion = z.input<typeof badVersionSchema>

export interface BadVersionEffect {
  readonly fails: boolean
  readonly slowdown: number
}

/** Judges requests against the switch; `random` returns numbers from 0 below 1. */
export class BadVersionSwitch {
  #setting: z.output<typeof badVersionSchema> | undefined
  #sinceMs = 0
  readonly #random: () => number

  constructor (random: () => number) {
    this.#random = random
  }

  /** Throws a `ZodError` for settings out of range; `undefined` makes the version good. */
  set (setting: BadVersion | undefined, nowMs: number): void {
    this.#setting = setting === undefined ? undefined : badVersionSchema.parse(setting)
    this.#sinceMs = nowMs
  }

  effectOn (route: string, load: number, nowMs: number): BadVersionEffect {
    const setting = this.#setting
    const isHit = setting !== undefined && load > setting.aboveLoad && nowMs >= this.#sinceMs + setting.afterMs &&
      (setting.onlyRoute === undefined || setting.onlyRoute === route)
    if (!isHit) return { fails: false, slowdown: 1 }
    return { fails: this.#random() < setting.failureShare, slowdown: setting.slowdown }
  }
}
