/**
 * Reports to the store how much of its grants this process may have committed by
 * when, and limits the spending accordingly. If the process is killed, the next
 * process of this VM reads the report and returns what cannot have been spent.
 */
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { releaseDelayMs, releasedTokens, type ClockPeer, type ClockReading, type HolderReport, type ReleaseLine } from '@buckthorndrift/policy'
import type { FleetStore } from '../shared/store.ts'
import type { StoreOutage } from '../shared/storeOutage.ts'

export interface HolderReporterOptions {
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  readonly nodeName: string
  /** Holder id of this process. */
  readonly holder: string
  readonly outage: StoreOutage
  readClocks (): ClockReading
  /** Number of routers in the fleet. */
  routerCount (): number
  /** Wall clocks of other VMs that were compared a short time ago. */
  peers (): Readonly<Record<string, ClockPeer>>
  /** Lines of the grants of this process, by organisation. */
  lines (): Readonly<Record<string, ReleaseLine>>
}

/** Interval of reports of a single router while grants are being spent. */
const baseIntervalMs = 1000
/** Number of routers at which the interval has doubled. The store takes few calls more for a larger fleet, while the tokens that a late report costs stay the same share of a budget. */
const doublingRouters = 70
const maxIntervalMs = 3000
const checkIntervalMs = 250
/** A report is due when this share of the burst of a line is committed. */
const earlyReportShare = 0.25

/** A report is due when an old line has released this many bursts more than is committed, because all of it counts as spent if the process is killed. */
const maxSlackBursts = 4

export class HolderReporter {
  readonly #options: HolderReporterOptions
  /** Reports of which one may be the state in the store: the last one with a response, and later ones without. */
  #possible: readonly HolderReport[] = []
  #revision: number | undefined
  #isEnabled = false
  #reportedMs = -Infinity
  #isRestored = false
  #pending: Promise<boolean> | undefined
  #stopReporting: Unsubscribe | undefined

  constructor (options: HolderReporterOptions) {
    this.#options = options
    options.store.onRestored(() => {
      // A report of an earlier era proves nothing, so a new one is due.
      this.#revision = undefined
      this.#isRestored = true
    })
  }

  /**
   * Starts reporting. The report of the previous process is overwritten, so its
   * grants must be closed before. `revision` is that of the stored report, 0 if there is none.
   */
  start (revision: number): void {
    this.#revision = revision
    this.#isEnabled = true
    this.#stopReporting = this.#options.timers.every(checkIntervalMs, () => { if (this.#isDue()) void this.report() })
  }

  stop (): void {
    this.#isEnabled = false
    this.#stopReporting?.()
  }

  /** Tokens of the grant that may be committed now. Without a report of this process in the store there is no limit. */
  releaseLimit (organisation: string): number {
    let limit = Infinity
    const { monotonicMs } = this.#options.readClocks()
    for (const { clock, lines } of this.#possible) {
      const line = lines[organisation]
      if (line !== undefined) limit = Math.min(limit, releasedTokens(line, monotonicMs - clock.monotonicMs))
    }
    return limit
  }

  /** Time until `tokens` of the grant may be committed without another report, in ms. */
  releaseDelayMs (organisation: string, tokens: number): number {
    let delayMs = 0
    const { monotonicMs } = this.#options.readClocks()
    for (const { clock, lines } of this.#possible) {
      const line = lines[organisation]
      if (line !== undefined) delayMs = Math.max(delayMs, releaseDelayMs(line, tokens) - (monotonicMs - clock.monotonicMs))
    }
    return delayMs
  }

  /** Writes a report, which releases more tokens. Returns whether the store accepted it. Concurrent callers share one write. */
  report (): Promise<boolean> {
    this.#pending ??= this.#write().finally(() => { this.#pending = undefined })
    return this.#pending
  }

  /** Whether the state that the store may hold is too old or too low for what is being spent. */
  #isDue (): boolean {
    const { outage, timers, routerCount, readClocks } = this.#options
    const intervalMs = Math.min(maxIntervalMs, baseIntervalMs * (1 + routerCount() / doublingRouters))
    if (timers.monotonicMs() - this.#reportedMs < intervalMs) return false
    if (outage.sinceMs !== undefined && !outage.mayCall(timers.monotonicMs())) return false
    const last = this.#possible.at(-1)
    const lines = Object.entries(this.#options.lines())
    if (last === undefined || this.#isRestored) return lines.length > 0
    return lines.some(([organisation, line]) => {
      const before = last.lines[organisation]
      if (before === undefined || line.committedTokens - before.committedTokens > before.burstTokens * earlyReportShare) return true
      return releasedTokens(before, readClocks().monotonicMs - last.clock.monotonicMs) - line.committedTokens > line.burstTokens * maxSlackBursts
    })
  }

  async #write (): Promise<boolean> {
    const { store, nodeName, holder, outage, log, timers } = this.#options
    if (!this.#isEnabled) return false
    if (this.#revision === undefined && !await this.#readRevision()) return false
    const expected = this.#revision!
    const report: HolderReport = { holder, era: store.era(), clock: this.#options.readClocks(), peers: this.#options.peers(), lines: this.#options.lines() }
    this.#reportedMs = timers.monotonicMs()
    // From here on the report may be the state in the store.
    this.#possible = [...this.#possible, report]
    const result = expected === 0
      ? await store.create('holderReports', nodeName, report)
      : await store.replace('holderReports', nodeName, report, expected)
    if (result.isOk()) {
      this.#revision = result.value.revision
      this.#possible = [report]
      this.#isRestored = this.#isRestored && report.era !== store.era()
      outage.recordResponse(timers.monotonicMs())
      return true
    }
    this.#revision = undefined
    const mayHaveApplied = result.error.kind === 'unavailable' && result.error.mayHaveApplied
    if (!mayHaveApplied) this.#possible = this.#possible.filter(each => each !== report)
    if (result.error.kind === 'unavailable') outage.recordFailure(timers.monotonicMs())
    log.event('holderReportFailed', { cause: result.error.kind, mayHaveApplied })
    return false
  }

  async #readRevision (): Promise<boolean> {
    const result = await this.#options.store.read('holderReports', this.#options.nodeName)
    if (result.isErr() && result.error.kind !== 'notFound') return false
    this.#revision = result.isOk() ? result.value.revision : 0
    return true
  }
}
