/**
 * Shares crash evidence between routers, that is which request contents were running when endpoints
 * crashed. Direct calls reach all routers of a small fleet; the document `crashes` reaches the others.
 */
import { z } from 'zod'
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import type { Documents, Membership, ObjectStore } from '@buckthorndrift/coordination'
import { createRouterClient, type CrashReportInput } from '@buckthorndrift/protocol'
import type { StoredCrashes } from '@buckthorndrift/policy'
import type { CrashTracker } from './crashTracker.ts'

export interface CrashEvidenceSyncOptions {
  readonly crashTracker: CrashTracker
  readonly timers: TimerService
  readonly log: Log
  /** Uniform in [0, 1). */
  readonly random: () => number
  readonly membership: Membership
  readonly documents: Documents
  readonly store: ObjectStore
  readonly fleetSecret: string
  readonly timeoutMs: number
}

const documentName = 'crashes'
/** Limit of direct calls per report. Other routers get the evidence from the document, which routers push to each other. */
const maxDirectPeers = 16
/** Mean delay before a router writes the document. The delay has jitter, so that one write usually contains the evidence of several routers. */
const writeDelayMs = 300
const writeRetryMs = 5000

const storedSchema = z.object({
  crashes: z.array(z.object({
    id: z.string(),
    atMs: z.number(),
    contentHashes: z.array(z.string()),
    cleared: z.array(z.string())
  }))
})

function parseStoredCrashes (value: unknown): StoredCrashes {
  const parsed = storedSchema.safeParse(value)
  return parsed.success ? parsed.data : { crashes: [] }
}

export class CrashEvidenceSync {
  readonly #options: CrashEvidenceSyncOptions
  readonly #unsubscribe: Unsubscribe
  #cancelWrite: Unsubscribe | undefined

  constructor (options: CrashEvidenceSyncOptions) {
    this.#options = options
    const { crashTracker, documents, timers } = options
    crashTracker.onProcessDeath = report => {
      this.#options.log.event('endpointDied', { endpointId: report.endpointId, running: report.contentHashes.length })
      this.#scheduleWrite(writeDelayMs)
      return this.#sendToPeers(report)
    }
    crashTracker.onCleared = () => { this.#scheduleWrite(writeDelayMs) }
    this.#unsubscribe = documents.subscribe(documentName, document => {
      crashTracker.evidence.merge(parseStoredCrashes(document.value), timers.nowMs())
    })
    crashTracker.evidence.merge(parseStoredCrashes(documents.get(documentName)?.value), timers.nowMs())
  }

  /** Handles a report from an endpoint process or from another router. */
  async handleReport (report: CrashReportInput): Promise<void> {
    if (!this.#options.crashTracker.recordReport(report)) return
    this.#options.log.event('crashReported', { endpointId: report.endpointId, running: report.contentHashes.length })
    this.#scheduleWrite(writeDelayMs)
    // Not awaited: the response only has to tell the endpoint process that its report has arrived.
    this.#sendToPeers(report).catch(() => {})
  }

  close (): void {
    this.#cancelWrite?.()
    this.#unsubscribe()
  }

  async #sendToPeers (report: CrashReportInput): Promise<void> {
    const { membership, fleetSecret, timeoutMs } = this.#options
    const peers = membership.routers({ isReachable: true }).filter(router => router.id !== membership.self.id)
    await Promise.all(peers.slice(0, maxDirectPeers).map(({ controlUrl }) => {
      // An unreachable peer gets the evidence from the document.
      return createRouterClient({ url: controlUrl, fleetSecret, timeoutMs }).evidence.reportCrash.mutate(report).catch(() => {})
    }))
  }

  #scheduleWrite (delayMs: number): void {
    if (this.#cancelWrite !== undefined) return
    const { timers, random } = this.#options
    this.#cancelWrite = timers.after(delayMs * (0.5 + random()), () => { this.#write() })
  }

  async #write (): Promise<void> {
    const isWritten = await this.#tryWrite().catch(() => false)
    this.#cancelWrite = undefined
    if (!isWritten) this.#scheduleWrite(writeRetryMs)
  }

  /** Writes this router's evidence into the document. True when the document contains all of it. */
  async #tryWrite (): Promise<boolean> {
    const { crashTracker, documents, store, timers } = this.#options
    const current = await documents.refresh(documentName)
    if (current.isErr()) return false
    const stored = parseStoredCrashes(current.value?.value)
    crashTracker.evidence.merge(stored, timers.nowMs())
    if (crashTracker.evidence.isCoveredBy(stored)) return true
    const value = crashTracker.evidence.stored()
    const written = await store.write(documentName, value, current.value?.version ?? 0)
    if (written.isErr()) return false
    documents.learn({ name: documentName, version: written.value, value })
    return true
  }
}
