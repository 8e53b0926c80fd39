/** The earlier processes of this VM, whose grants have to be closed: reads the last report of the previous process. */
import * as z from 'zod/mini'
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { closeGrant, provenElapsedMs, type ClockReading, type Grant, type HolderReport } from '@buckthorndrift/policy'
import type { FleetStore } from '../shared/store.ts'

export interface PredecessorsOptions {
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  readonly nodeName: string
  /** Holder id of this process. */
  readonly holder: string
  /** Clocks of the VM at the start of this process. */
  readonly startClock: ClockReading
  /** Called once with the revision of the stored report; 0 if there is none. */
  readonly onLoaded: (revision: number) => void
}

const count = z.number().check(z.nonnegative())
const reportSchema = z.object({
  holder: z.string(),
  era: z.number(),
  clock: z.object({ monotonicMs: z.number(), wallMs: z.number() }),
  lines: z.record(z.string(), z.object({ committedTokens: count, burstTokens: count, tokensPerMs: count }))
})

const retryIntervalMs = 500

export class Predecessors {
  readonly #options: PredecessorsOptions
  #report: HolderReport | undefined
  #isLoaded = false
  #isReading = false
  readonly #stopReading: Unsubscribe

  constructor (options: PredecessorsOptions) {
    this.#options = options
    this.#stopReading = options.timers.every(retryIntervalMs, () => { void this.#read() })
    void this.#read()
  }

  stop (): void {
    this.#stopReading()
  }

  /** Whether the report was read, or is known not to exist. Until then no grant is closed. */
  get isLoaded (): boolean {
    return this.#isLoaded
  }

  /** Whether the holder is an earlier process of this VM. */
  isPredecessor (holder: string): boolean {
    return holder.startsWith(`${this.#options.nodeName}.`) && holder !== this.#options.holder
  }

  /** What an earlier process may have spent of its grant; `undefined` for other holders, and while the report is not loaded. */
  close (organisation: string, holder: string, grant: Grant): Grant | undefined {
    if (!this.#isLoaded || !this.isPredecessor(holder)) return undefined
    const { startClock, store } = this.#options
    return closeGrant({ organisation, holder, grant, report: this.#report, startClock, era: store.era() })
  }

  async #read (): Promise<void> {
    if (this.#isReading || this.#isLoaded) return
    this.#isReading = true
    const { store, nodeName, log, startClock, onLoaded } = this.#options
    const result = await store.read('holderReports', nodeName)
    this.#isReading = false
    if (result.isErr() && result.error.kind !== 'notFound') return
    this.#isLoaded = true
    this.#stopReading()
    if (result.isOk()) {
      this.#report = reportSchema.safeParse(result.value.value).data
      log.event('predecessorReportRead', {
        holder: this.#report?.holder ?? null,
        era: this.#report?.era ?? null,
        storeEra: store.era(),
        elapsedMs: this.#report === undefined ? null : provenElapsedMs(this.#report.clock, startClock) ?? null
      })
    }
    onLoaded(result.isOk() ? result.value.revision : 0)
  }
}
