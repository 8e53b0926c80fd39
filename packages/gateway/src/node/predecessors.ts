/** The earlier processes of this VM, whose grants have to be closed: reads the last report of the previous process, and proves how old it was when that process had ended. */
import * as z from 'zod/mini'
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { closeGrant, provenElapsedMs, witnessedElapsedMs, type ClockReading, type Grant, type HolderReport } from '@buckthorndrift/policy'
import type { FleetStore } from '../shared/store.ts'
import { measureOffsets } from './clockPeers.ts'

export interface PredecessorsOptions {
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  readonly nodeName: string
  /** Holder id of this process. */
  readonly holder: string
  /** Clocks of the VM at the start of this process. */
  readonly startClock: ClockReading
  wallMs (): number
  /** Called once with the revision of the stored report; 0 if there is none. */
  readonly onLoaded: (revision: number) => void
}

const count = z.number().check(z.nonnegative())
const reportSchema = z.object({
  holder: z.string(),
  era: z.number(),
  clock: z.object({ monotonicMs: z.number(), wallMs: z.number() }),
  peers: z.record(z.string(), z.object({ address: z.string(), offsetMs: z.number() })),
  lines: z.record(z.string(), z.object({ committedTokens: count, burstTokens: count, tokensPerMs: count }))
})

const retryIntervalMs = 500
/** Time within which the routers of other VMs start after a power loss of all. */
const witnessTimeoutMs = 5000

export class Predecessors {
  readonly #options: PredecessorsOptions
  #report: HolderReport | undefined
  /** Proven time between the report and the start of this process. */
  #elapsedMs: number | undefined
  #isLoaded = false
  #isReading = false
  #isStopped = false
  readonly #stopReading: Unsubscribe

  constructor (options: PredecessorsOptions) {
    this.#options = options
    this.#stopReading = options.timers.every(retryIntervalMs, () => { void this.#read() })
    void this.#read()
  }

  stop (): void {
    this.#isStopped = true
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
    return closeGrant({ organisation, holder, grant, report: this.#report, elapsedMs: this.#elapsedMs, era: this.#options.store.era() })
  }

  async #read (): Promise<void> {
    if (this.#isReading || this.#isLoaded) return
    this.#isReading = true
    const { store, nodeName, log, startClock, onLoaded } = this.#options
    const result = await store.read('holderReports', nodeName)
    this.#isReading = false
    if (result.isErr() && result.error.kind !== 'notFound') return
    this.#stopReading()
    if (result.isOk()) {
      this.#report = reportSchema.safeParse(result.value.value).data
      const provenMs = this.#report === undefined ? undefined : provenElapsedMs(this.#report.clock, startClock)
      this.#elapsedMs = provenMs ?? await this.#askWitnesses()
      log.event('predecessorReportRead', {
        holder: this.#report?.holder ?? null,
        era: this.#report?.era ?? null,
        storeEra: store.era(),
        peers: Object.keys(this.#report?.peers ?? {}).length,
        proof: provenMs !== undefined ? 'ownClocks' : this.#elapsedMs !== undefined ? 'otherVms' : 'none',
        elapsedMs: this.#elapsedMs ?? null
      })
    }
    this.#isLoaded = true
    onLoaded(result.isOk() ? result.value.revision : 0)
  }

  /** Compares the wall clock with those of the VMs in the report. VMs that lost power at the same time respond once their routers have started. */
  async #askWitnesses (): Promise<number | undefined> {
    const report = this.#report
    if (report === undefined || Object.keys(report.peers).length === 0) return undefined
    const { timers, wallMs, startClock } = this.#options
    const untilMs = timers.monotonicMs() + witnessTimeoutMs
    while (!this.#isStopped && timers.monotonicMs() < untilMs) {
      const offsetsMs = await measureOffsets(report.peers, wallMs)
      const elapsedMs = witnessedElapsedMs({ report, startWallMs: startClock.wallMs, offsetsMs })
      if (elapsedMs !== undefined) return elapsedMs
      await new Promise<void>(resolve => { timers.after(retryIntervalMs, resolve) })
    }
    return undefined
  }
}
