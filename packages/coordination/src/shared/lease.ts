/**
 * Leases: one process at a time carries out a duty, object `leases/<duty>`.
 *
 * No clock is compared with another. The holder trusts its lease for `trustMs`
 * of its own monotonic clock, counted from before it sent the write that was
 * confirmed. The others take over after they have seen the same version for
 * `takeoverMs` of their own, counted from after they read it. A paused holder
 * may still send something late; the fencing token, which grows with each
 * change of holder, makes that harmless where it is checked.
 */
import { z } from 'zod'
import type { Result } from 'ts-results-es'
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import type { ObjectStore, StoredObject, StoreFailure } from './objectStore.ts'

export const leasesPrefix = 'leases/'

/** Layout of the object; a released lease has the holder `''`. */
export const leaseSchema = z.object({
  /** `<id>.<incarnation>` */
  holder: z.string(),
  /** Grows by one with each change of holder. */
  fencingToken: z.number().int().positive(),
  /** Grows with each renewal. */
  renewal: z.number().int().nonnegative()
}).readonly()
export type LeaseValue = z.infer<typeof leaseSchema>

export interface LeaseTuning {
  /** Interval of renewals and of looking at another's lease, 3000 ms. */
  readonly renewMs: number
  /** How long a confirmed lease is trusted, 10 000 ms. */
  readonly trustMs: number
  /** How long an unchanged lease is left to its holder, 15 000 ms; covers clocks that differ in rate by up to half. */
  readonly takeoverMs: number
}

export const defaultLeaseTuning: LeaseTuning = { renewMs: 3000, trustMs: 10_000, takeoverMs: 15_000 }

/** A campaign for one lease. */
export interface Lease {
  /** Fencing token while this process holds the lease and trusts it, otherwise `undefined`. Ask again before each act. */
  fencingToken (): number | undefined
  /** Gives the lease back, so that another process takes it at once, and campaigns no more. */
  release (): Promise<void>
}

export interface LeaseOptions {
  readonly duty: string
  /** `<id>.<incarnation>` of this process. */
  readonly holder: string
  readonly store: ObjectStore
  readonly timers: TimerService
  readonly log: Log
  /** Numbers from 0 below 1. */
  readonly random: () => number
  /** Whether this process looks for the lease while it does not hold it; keeps the calls of a large fleet few. */
  readonly isCandidate: () => boolean
  readonly tuning: LeaseTuning
}

interface Seen {
  readonly version: number
  readonly sinceMs: number
}

interface Held {
  readonly fencingToken: number
  readonly trustedUntilMs: number
  /** Object as last confirmed; `undefined` after a write without an answer, so that it is read again. */
  readonly object: StoredObject | undefined
}

class LeaseCampaign implements Lease {
  readonly #options: LeaseOptions
  readonly #name: string
  #seen: Seen | undefined
  #held: Held | undefined
  #nextRound: Unsubscribe | undefined
  #round: Promise<void> = Promise.resolve()
  #isReleased = false

  constructor (options: LeaseOptions) {
    this.#options = options
    this.#name = `${leasesPrefix}${options.duty}`
    this.#plan(0)
  }

  fencingToken (): number | undefined {
    const held = this.#held
    return held !== undefined && this.#nowMs() < held.trustedUntilMs ? held.fencingToken : undefined
  }

  async release (): Promise<void> {
    if (this.#isReleased) return
    this.#isReleased = true
    this.#nextRound?.()
    await this.#round
    const held = this.#held
    this.#held = undefined
    if (held === undefined) return
    const present = held.object ?? (await this.#options.store.read(this.#name)).unwrapOr(undefined)
    const value = leaseSchema.safeParse(present?.value).data
    if (present === undefined || value?.holder !== this.#options.holder) return
    // A failure is left alone: the lease then ends by itself.
    await this.#options.store.write(this.#name, { ...value, holder: '', renewal: value.renewal + 1 }, present.version)
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #plan (delayMs: number): void {
    this.#nextRound = this.#options.timers.after(delayMs, () => {
      this.#round = this.#campaign().catch(() => {}).finally(() => {
        if (!this.#isReleased) this.#plan(this.#options.tuning.renewMs * (0.75 + this.#options.random() / 2))
      })
    })
  }

  async #campaign (): Promise<void> {
    if (this.#held === undefined && !this.#options.isCandidate()) return
    const known = this.#held?.object
    const read: Result<StoredObject | undefined, StoreFailure> | undefined = known === undefined ? await this.#options.store.read(this.#name) : undefined
    if (read?.isErr() === true) return
    const present = read === undefined ? known : read.unwrap()
    const value = leaseSchema.safeParse(present?.value).data
    const mine = value?.holder === this.#options.holder
    if (!mine) this.#lose()
    const next = this.#nextValue(present, value)
    if (next !== undefined && !this.#isReleased) await this.#write(next, present?.version ?? 0)
  }

  #nextValue (present: StoredObject | undefined, value: LeaseValue | undefined): LeaseValue | undefined {
    const { holder, tuning } = this.#options
    if (present === undefined || value === undefined) return { holder, fencingToken: 1, renewal: 0 }
    if (value.holder === holder) return { ...value, renewal: value.renewal + 1 }
    const taken = { holder, fencingToken: value.fencingToken + 1, renewal: 0 }
    if (value.holder === '') return taken
    if (this.#seen?.version !== present.version) {
      this.#seen = { version: present.version, sinceMs: this.#nowMs() }
      return undefined
    }
    return this.#nowMs() - this.#seen.sinceMs >= tuning.takeoverMs ? taken : undefined
  }

  async #write (value: LeaseValue, expectedVersion: number): Promise<void> {
    const sentMs = this.#nowMs()
    const written = await this.#options.store.write(this.#name, value, expectedVersion)
    if (written.isOk()) {
      if (this.#held === undefined) this.#options.log.event('leaseAcquired', { duty: this.#options.duty, fencingToken: value.fencingToken })
      this.#held = {
        fencingToken: value.fencingToken,
        trustedUntilMs: sentMs + this.#options.tuning.trustMs,
        object: { name: this.#name, version: written.value, value }
      }
      return
    }
    // Trust is not prolonged; the next round reads who holds the lease now.
    if (this.#held !== undefined) this.#held = { ...this.#held, object: undefined }
  }

  #lose (): void {
    if (this.#held === undefined) return
    this.#options.log.event('leaseLost', { duty: this.#options.duty, fencingToken: this.#held.fencingToken })
    this.#held = undefined
  }
}

/** Starts to campaign for the lease of a duty. */
export function campaignForLease (options: LeaseOptions): Lease {
  const { trustMs, takeoverMs } = options.tuning
  if (trustMs >= takeoverMs) throw new Error(`trustMs (${trustMs}) must be below takeoverMs (${takeoverMs})`)
  return new LeaseCampaign(options)
}
