/** Requests of this router that are running, by endpoint, and the crash evidence they give. */
import { CrashEvidence } from '@buckthorndrift/policy'
import type { TimerService } from '@buckthorndrift/kernel'
import type { CrashReportInput, Member } from '@buckthorndrift/protocol'
import { entryKey } from './endpointBook.ts'

/** Deaths remembered, so that the failures of each count as one crash. */
const maxDeaths = 1000
/** Number of the crash in reports of a process death, above those that an endpoint process gives to its back end's. */
const processDeath = 2 ** 40
/** Interval at which a request looks for the reports that it waits for. */
const reportCheckMs = 10

/** Reports that are on their way. */
interface Awaited {
  /** Crashes that count against the content once they have arrived. */
  crashes: number
  readonly untilMs: number
  arrived: Promise<void>
}

export class CrashWatch {
  readonly evidence = new CrashEvidence()
  readonly #timers: TimerService
  readonly #reportWaitMs: number
  readonly #running = new Map<string, Map<string, string>>()
  readonly #deaths = new Set<string>()
  readonly #awaited = new Map<string, Awaited>()
  /** Called when this router saw a process die; resolves when other routers know. */
  onDeath: (report: CrashReportInput) => Promise<void> = async () => {}
  #spreading: Promise<void> = Promise.resolve()
  /** Called when a content was cleared. */
  onCleared: () => void = () => {}

  /** `reportWaitMs`: time in which the report of an endpoint process about its back end usually arrives. */
  constructor (timers: TimerService, reportWaitMs: number) {
    this.#timers = timers
    this.#reportWaitMs = reportWaitMs
  }

  isSuspect (contentHash: string): boolean {
    return this.evidence.isSuspect(contentHash)
  }

  /** Notes that a back end failed while it had the content; a report says whether it fell over. */
  noteFailure (contentHash: string): void {
    const known = this.#awaited.get(contentHash)
    if (known !== undefined) {
      known.crashes += 1
      return
    }
    const awaited: Awaited = {
      crashes: this.evidence.countCrashes(contentHash) + 1, untilMs: this.#timers.monotonicMs() + this.#reportWaitMs, arrived: Promise.resolve()
    }
    this.#awaited.set(contentHash, awaited)
    awaited.arrived = this.#untilReported(contentHash, awaited).finally(() => { this.#awaited.delete(contentHash) })
  }

  /** Notes that a request was sent to an endpoint; the returned function ends it. */
  begin (endpoint: Member, requestId: string, contentHash: string): () => void {
    const key = entryKey(endpoint)
    const running = this.#running.get(key) ?? new Map<string, string>()
    this.#running.set(key, running)
    running.set(requestId, contentHash)
    return () => {
      running.delete(requestId)
      if (running.size === 0 && this.#running.get(key) === running) this.#running.delete(key)
    }
  }

  /** Notes that an endpoint process died with what this router had running there; counts once per life. */
  noteDeath (endpoint: Member): void {
    const key = entryKey(endpoint)
    const running = this.#running.get(key)
    if (running === undefined || this.#deaths.has(key)) return
    this.#deaths.add(key)
    if (this.#deaths.size > maxDeaths) this.#deaths.delete(this.#deaths.values().next().value as string)
    const report: CrashReportInput = {
      endpointId: endpoint.id, incarnation: endpoint.incarnation, crash: processDeath, contentHashes: [...new Set(running.values())]
    }
    if (this.note(report)) this.#spreading = this.onDeath(report)
  }

  /** Reports about the content that are on their way; a request with it waits for them. `undefined` for nearly all contents. */
  pendingReports (contentHash: string): Promise<void> | undefined {
    return this.#awaited.get(contentHash)?.arrived
  }

  /**
   * Resolves when the reports about failures of the content have arrived and its
   * deaths are known to other routers, at the latest after the usual time of a
   * report. A caller that is answered sooner could send the content again to a
   * router that does not know of them.
   */
  async awaitReports (contentHash: string): Promise<void> {
    await this.pendingReports(contentHash)
    await Promise.race([this.#spreading, this.#wait(this.#reportWaitMs)])
  }

  async #untilReported (contentHash: string, awaited: Awaited): Promise<void> {
    const isOpen = (): boolean => this.evidence.countCrashes(contentHash) < awaited.crashes && this.#timers.monotonicMs() < awaited.untilMs
    while (isOpen()) await this.#wait(reportCheckMs)
  }

  #wait (delayMs: number): Promise<void> {
    return new Promise(resolve => { this.#timers.after(delayMs, resolve) })
  }

  /** Notes a report; several reports of one crash count once. True when there was news. */
  note (report: CrashReportInput): boolean {
    const crashId = `${report.endpointId}.${report.incarnation}.${report.crash}`
    return this.evidence.record(crashId, report.contentHashes, this.#timers.nowMs())
  }

  /** Notes that a content completed. */
  complete (contentHash: string): void {
    if (this.evidence.clear(contentHash)) this.onCleared()
  }
}
