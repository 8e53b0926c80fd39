/** Requests of this router that are running, by endpoint, and the crash evidence they give. */
import { LRUCache } from 'lru-cache'
import { CrashEvidence } from '@buckthorndrift/policy'
import type { TimerService } from '@buckthorndrift/kernel'
import type { CrashReportInput, Member } from '@buckthorndrift/protocol'
import { entryKey } from './endpointBook.ts'

/** Deaths remembered, so that the failures of each count as one crash. */
const maxDeaths = 1000
/** Number of the crash in reports of a process death, above those that an endpoint process gives to its back end's. */
const processDeath = 2 ** 40

/** Time in which the report of an endpoint process about its back end usually arrives. */
const reportDelayMs = 250
const reportCheckMs = 10
const maxFailures = 5000

export class CrashWatch {
  readonly evidence = new CrashEvidence()
  readonly #timers: TimerService
  readonly #running = new Map<string, Map<string, string>>()
  readonly #deaths = new Set<string>()
  /** Monotonic time in ms of the last failure at a back end, by content. */
  readonly #failures = new LRUCache<string, number>({ max: maxFailures })
  /** Called when this router saw a process die; resolves when other routers know. */
  onDeath: (report: CrashReportInput) => Promise<void> = async () => {}
  #spreading: Promise<void> = Promise.resolve()
  /** Called when a content was cleared. */
  onCleared: () => void = () => {}

  constructor (timers: TimerService) {
    this.#timers = timers
  }

  isSuspect (contentHash: string): boolean {
    return this.evidence.isSuspect(contentHash)
  }

  /** Notes that a back end failed while it had the content; a report may follow that says whether it fell over. */
  noteFailure (contentHash: string): void {
    this.#failures.set(contentHash, this.#timers.monotonicMs())
  }

  /** Time in ms for which a content waits, so that a caller that sends it again is not faster than the report. */
  waitMs (contentHash: string): number {
    const failedMs = this.#failures.get(contentHash)
    return failedMs === undefined ? 0 : Math.max(0, failedMs + reportDelayMs - this.#timers.monotonicMs())
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

  /**
   * Resolves when `deaths` of endpoints under a content are known to the routers,
   * at the latest after the usual time of a report. A caller that is answered
   * sooner could send the content again to a router that does not know of them.
   */
  async awaitReports (contentHash: string, deaths: number): Promise<void> {
    const untilMs = this.#timers.monotonicMs() + reportDelayMs
    while (this.evidence.crashesOf(contentHash) < deaths && this.#timers.monotonicMs() < untilMs) await this.#wait(reportCheckMs)
    await Promise.race([this.#spreading, this.#wait(Math.max(0, untilMs - this.#timers.monotonicMs()))])
  }

  #wait (delayMs: number): Promise<void> {
    return new Promise(resolve => { this.#timers.after(delayMs, resolve) })
  }

  /** Notes a report; several reports of one crash count once. True when there was news. */
  note (report: CrashReportInput): boolean {
    const crashId = `${report.endpointId}.${report.incarnation}.${report.crash}`
    return this.evidence.note(crashId, report.contentHashes, this.#timers.nowMs())
  }

  /** Notes that a content completed. */
  complete (contentHash: string): void {
    this.#failures.delete(contentHash)
    if (this.evidence.clear(contentHash)) this.onCleared()
  }
}
