/** Fault that makes a version of a service fail or slow down a part of its requests. */
import { z } from 'zod'

export const badVersionSchema = z.object({
  /** Share of the affected requests that fail, 0 to 1. */
  failureShare: z.number().min(0).max(1).default(0),
  /** Factor on the duration of affected requests; 1 leaves it unchanged. */
  slowdown: z.number().min(1).default(1),
  /** Affects a request only if more requests than this are in progress, including the request itself. */
  aboveLoad: z.number().nonnegative().default(0),
  /** Affects only requests of this route, such as `POST /bookings` or `GET /chambers/*`. */
  onlyRoute: z.string().optional(),
  /** Time in ms from setting the fault until it takes effect. */
  afterMs: z.number().nonnegative().default(0)
}).strict()
export type BadVersion = z.input<typeof badVersionSchema>

/** What the fault does to one request. */
export interface BadVersionEffect {
  readonly shouldFail: boolean
  readonly slowdown: number
}

/** Decides for each request whether the fault affects it; `random` returns numbers in [0, 1). */
export class BadVersionFault {
  #setting: z.output<typeof badVersionSchema> | undefined
  #sinceMs = 0
  readonly #random: () => number

  constructor (random: () => number) {
    this.#random = random
  }

  /** Sets the fault; `undefined` ends it. Throws a `ZodError` when the setting is invalid. */
  set (setting: BadVersion | undefined, nowMs: number): void {
    this.#setting = setting === undefined ? undefined : badVersionSchema.parse(setting)
    this.#sinceMs = nowMs
  }

  /** Effect on a request that arrives while `load` requests are in progress, including itself. */
  effectOn (route: string, load: number, nowMs: number): BadVersionEffect {
    const setting = this.#setting
    const isAffected = setting !== undefined && load > setting.aboveLoad && nowMs >= this.#sinceMs + setting.afterMs &&
      (setting.onlyRoute === undefined || setting.onlyRoute === route)
    if (!isAffected) return { shouldFail: false, slowdown: 1 }
    return { shouldFail: this.#random() < setting.failureShare, slowdown: setting.slowdown }
  }
}
