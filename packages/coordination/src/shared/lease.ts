/**
 * Leases. The object `leases/<duty>` grants a duty, that is a task of the whole
 * fleet, to one process at a time.
 *
 * Clocks of different processes are never compared. The holder treats its lease
 * as valid for `trustMs` on its own monotonic clock, counted from before it
 * sent the last confirmed write. Another process takes the lease over after it
 * has seen the same version for `takeoverMs` on its own clock, counted from
 * after it first read that version.
 *
 * A holder that was paused may still send a late request. The fencing token
 * increases with each change of holder, so that receivers which check it reject
 * such requests.
 */
import { z } from 'zod'
import type { Result } from 'ts-results-es'
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import type { ObjectStore, StoredObject, StoreFailure } from './objectStore.ts'

export const leasesPrefix = 'leases/'

/** Schema of the object. A released lease has the holder `''`. */
export const leaseSchema = z.object({
  /** `<id>.<incarnation>` */
  holder: z.string(),
  /** Increases by one with each change of holder. */
  fencingToken: z.number().int().positive(),
  /** Increases by one with each renewal. */
  renewal: z.number().int().nonnegative()
}).readonly()
export type LeaseValue = z.infer<typeof leaseSchema>

export interface LeaseTuning {
  /** Interval at which the holder renews the lease and the other candidates read it; 3000 ms by default. */
  readonly renewalIntervalMs: number
  /** How long the holder treats its lease as valid after a confirmed write; 10 000 ms by default. */
  readonly trustMs: number
  /** How long a lease must stay unchanged before another process takes it over; 15 000 ms by default, which tolerates clock rates that differ by up to half. */
  readonly takeoverMs: number
}

export const defaultLeaseTuning: LeaseTuning = { renewalIntervalMs: 3000, trustMs: 10_000, takeoverMs: 15_000 }

/** Handle for a process's campaign for one lease. */
export interface Lease {
  /** Returns the fencing token while this process holds a valid lease, otherwise `undefined`. Call it before each action that needs the lease. */
  fencingToken (): number | undefined
  /** Stops campaigning and releases the lease, so that another candidate can take it without waiting for `takeoverMs`. */
  release (): Promise<void>
}

export interface LeaseOptions {
  /** Name of the task that the lease grants; part of the object's name. */
  readonly duty: string
  /** `<id>.<incarnation>` of this process. */
  readonly holder: string
  readonly store: ObjectStore
  readonly timers: TimerService
  readonly log: Log
  /** Returns a random number in [0, 1). */
  readonly random: () => number
  /** Whether this process tries to acquire the lease while it does not hold it. Limits the number of API calls in a large fleet. */
  readonly isCandidate: () => boolean
  readonly tuning: LeaseTuning
}

/** Version of a lease held by another process, and when this process first read it. */
interface Observation {
  readonly version: number
  readonly firstSeenMs: number
}

interface HeldLease {
  readonly fencingToken: number
  readonly trustedUntilMs: number
  /** The lease object as this process last read or wrote it; `undefined` after a failed write, so that the next round reads it again. */
  readonly object: StoredObject | undefined
}

class LeaseCampaign implements Lease {
  readonly #options: LeaseOptions
  readonly #name: string
  #observed: Observation | undefined
  #held: HeldLease | undefined
  #cancelNextRound: Unsubscribe | undefined
  #currentRound: Promise<void> = Promise.resolve()
  #isReleased = false
  /** Highest fencing token seen. A lease object that is removed or malformed must not start again below it. */
  #highestToken = 0

  constructor (options: LeaseOptions) {
    this.#options = options
    this.#name = `${leasesPrefix}${options.duty}`
    this.#scheduleRound(0)
  }

  fencingToken (): number | undefined {
    const held = this.#held
    return held !== undefined && this.#nowMs() < held.trustedUntilMs ? held.fencingToken : undefined
  }

  async release (): Promise<void> {
    if (this.#isReleased) return
    this.#isReleased = true
    this.#cancelNextRound?.()
    await this.#currentRound
    const held = this.#held
    this.#held = undefined
    if (held === undefined) return
    const present = held.object ?? (await this.#options.store.read(this.#name)).unwrapOr(undefined)
    const value = leaseSchema.safeParse(present?.value).data
    if (present === undefined || value?.holder !== this.#options.holder) return
    // A failed release is ignored: the lease is then taken over after `takeoverMs`.
    await this.#options.store.write(this.#name, { ...value, holder: '', renewal: value.renewal + 1 }, present.version)
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #scheduleRound (delayMs: number): void {
    this.#cancelNextRound = this.#options.timers.after(delayMs, () => {
      this.#currentRound = this.#runRound().catch(() => {}).finally(() => {
        if (!this.#isReleased) this.#scheduleRound(this.#options.tuning.renewalIntervalMs * (0.75 + this.#options.random() / 2))
      })
    })
  }

  async #runRound (): Promise<void> {
    if (this.#held === undefined && !this.#options.isCandidate()) return
    const known = this.#held?.object
    const read: Result<StoredObject | undefined, StoreFailure> | undefined = known === undefined ? await this.#options.store.read(this.#name) : undefined
    if (read?.isErr() === true) return
    const present = read === undefined ? known : read.unwrap()
    const value = leaseSchema.safeParse(present?.value).data
    this.#highestToken = Math.max(this.#highestToken, value?.fencingToken ?? 0)
    const isOwn = value?.holder === this.#options.holder
    if (!isOwn) this.#markLost()
    const next = this.#nextValue(present, value)
    if (next !== undefined && !this.#isReleased) await this.#write(next, present?.version ?? 0)
  }

  #nextValue (present: StoredObject | undefined, value: LeaseValue | undefined): LeaseValue | undefined {
    const { holder, tuning } = this.#options
    if (present === undefined || value === undefined) return { holder, fencingToken: this.#highestToken + 1, renewal: 0 }
    if (value.holder === holder) return { ...value, renewal: value.renewal + 1 }
    const takeover = { holder, fencingToken: value.fencingToken + 1, renewal: 0 }
    if (value.holder === '') return takeover
    if (this.#observed?.version !== present.version) {
      this.#observed = { version: present.version, firstSeenMs: this.#nowMs() }
      return undefined
    }
    return this.#nowMs() - this.#observed.firstSeenMs >= tuning.takeoverMs ? takeover : undefined
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
    // A failed write does not extend the validity. The next round reads the object to see who holds the lease.
    if (this.#held !== undefined) this.#held = { ...this.#held, object: undefined }
  }

  #markLost (): void {
    if (this.#held === undefined) return
    this.#options.log.event('leaseLost', { duty: this.#options.duty, fencingToken: this.#held.fencingToken })
    this.#held = undefined
  }
}

/** Starts to campaign for a lease. Throws unless `trustMs` is below `takeoverMs`, since otherwise two processes could hold valid leases at once. */
export function campaignForLease (options: LeaseOptions): Lease {
  const { trustMs, takeoverMs } = options.tuning
  if (trustMs >= takeoverMs) throw new Error(`trustMs (${trustMs}) must be below takeoverMs (${takeoverMs})`)
  return new LeaseCampaign(options)
}
