/** Tracks the requests that this router has running at each endpoint. When an endpoint crashes, records the contents of these requests as possible causes. */
import { CrashEvidence } from '@buckthorndrift/policy'
import type { TimerService } from '@buckthorndrift/kernel'
import type { CrashReportInput, Member } from '@buckthorndrift/protocol'
import { endpointKey } from './endpointSelector.ts'

/** Maximum number of process deaths remembered. A death is remembered so that several failures caused by it count as one crash. */
const maxRememberedDeaths = 1000
/** Crash number in reports of a process death. It is above all numbers that an endpoint process gives to crashes of its back end, so the two never collide. */
const processDeathCrashNumber = 2 ** 40
/** Interval at which a waiting request checks whether the expected reports have arrived. */
const reportPollMs = 10

/** Crash reports that are expected from endpoint processes. */
interface PendingReports {
  /** Number of crashes that count against the content once the reports have arrived. */
  expectedCrashes: number
  readonly untilMs: number
  arrival: Promise<void>
}

export class CrashTracker {
  readonly evidence = new CrashEvidence()
  readonly #timers: TimerService
  readonly #reportWaitMs: number
  readonly #runningByEndpoint = new Map<string, Map<string, string>>()
  readonly #reportedDeaths = new Set<string>()
  readonly #pendingByContent = new Map<string, PendingReports>()
  /** Called when this router detects the death of an endpoint process; resolves when other routers have been told. */
  onProcessDeath: (report: CrashReportInput) => Promise<void> = async () => {}
  #propagation: Promise<void> = Promise.resolve()
  /** Called when a completed request has cleared its content of earlier crashes. */
  onCleared: () => void = () => {}

  /** `reportWaitMs`: time within which an endpoint process usually reports a crash of its back end. */
  constructor (timers: TimerService, reportWaitMs: number) {
    this.#timers = timers
    this.#reportWaitMs = reportWaitMs
  }

  isSuspect (contentHash: string): boolean {
    return this.evidence.isSuspect(contentHash)
  }

  /** Expects a report after a back end failed while it had a request with this content. The report tells whether the back end crashed. */
  expectReport (contentHash: string): void {
    const existing = this.#pendingByContent.get(contentHash)
    if (existing !== undefined) {
      existing.expectedCrashes += 1
      return
    }
    const pending: PendingReports = {
      expectedCrashes: this.evidence.countCrashes(contentHash) + 1, untilMs: this.#timers.monotonicMs() + this.#reportWaitMs, arrival: Promise.resolve()
    }
    this.#pendingByContent.set(contentHash, pending)
    pending.arrival = this.#waitUntilReported(contentHash, pending).finally(() => { this.#pendingByContent.delete(contentHash) })
  }

  /** Tracks a request at an endpoint until the returned function is called. */
  trackRequest (endpoint: Member, requestId: string, contentHash: string): () => void {
    const key = endpointKey(endpoint)
    const running = this.#runningByEndpoint.get(key) ?? new Map<string, string>()
    this.#runningByEndpoint.set(key, running)
    running.set(requestId, contentHash)
    return () => {
      running.delete(requestId)
      if (running.size === 0 && this.#runningByEndpoint.get(key) === running) this.#runningByEndpoint.delete(key)
    }
  }

  /** Records the death of an endpoint process with the requests that this router had running there. Each incarnation counts once. */
  recordProcessDeath (endpoint: Member): void {
    const key = endpointKey(endpoint)
    const running = this.#runningByEndpoint.get(key)
    if (running === undefined || this.#reportedDeaths.has(key)) return
    this.#reportedDeaths.add(key)
    if (this.#reportedDeaths.size > maxRememberedDeaths) this.#reportedDeaths.delete(this.#reportedDeaths.values().next().value as string)
    const report: CrashReportInput = {
      endpointId: endpoint.id, incarnation: endpoint.incarnation, crash: processDeathCrashNumber, contentHashes: [...new Set(running.values())]
    }
    if (this.recordReport(report)) this.#propagation = this.onProcessDeath(report)
  }

  /** Resolves when the expected reports about the content have arrived or are overdue; `undefined` when none are expected, which is the usual case. */
  pendingReports (contentHash: string): Promise<void> | undefined {
    return this.#pendingByContent.get(contentHash)?.arrival
  }

  /**
   * Resolves when the expected reports about the content have arrived and other
   * routers know of the process deaths that this router has detected. Each of the
   * two waits is limited to the usual time of a report. Call it before a failure is
   * answered: a caller that got its response sooner could send the content again
   * to a router that does not know of the crashes.
   */
  async awaitReports (contentHash: string): Promise<void> {
    await this.pendingReports(contentHash)
    await Promise.race([this.#propagation, this.#wait(this.#reportWaitMs)])
  }

  async #waitUntilReported (contentHash: string, pending: PendingReports): Promise<void> {
    const isPending = (): boolean => this.evidence.countCrashes(contentHash) < pending.expectedCrashes && this.#timers.monotonicMs() < pending.untilMs
    while (isPending()) await this.#wait(reportPollMs)
  }

  #wait (delayMs: number): Promise<void> {
    return new Promise(resolve => { this.#timers.after(delayMs, resolve) })
  }

  /** Records a report; repeated reports of one crash count once. True when it contained new evidence. */
  recordReport (report: CrashReportInput): boolean {
    const crashId = `${report.endpointId}.${report.incarnation}.${report.crash}`
    return this.evidence.record(crashId, report.contentHashes, this.#timers.nowMs())
  }

  /** Records that a request with this content completed, which clears the content of the crashes known so far. */
  recordCompletion (contentHash: string): void {
    if (this.evidence.clear(contentHash)) this.onCleared()
  }
}
