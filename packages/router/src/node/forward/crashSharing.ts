/** Shares crash evidence between routers: directly in small fleets, and by the document `crashes`. */
import { z } from 'zod'
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import type { Documents, Membership, ObjectStore } from '@buckthorndrift/coordination'
import { createRouterClient, type CrashReportInput } from '@buckthorndrift/protocol'
import type { StoredCrashes } from '@buckthorndrift/policy'
import type { CrashWatch } from './crashTracker.ts'

export interface CrashSharingOptions {
  readonly crashes: CrashWatch
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
/** Routers that are told directly; more learn it from the document, which routers push to each other. */
const maxDirectPeers = 16
/** Delay before the document is written, spread so that one write usually covers what several routers know. */
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

function storedOf (value: unknown): StoredCrashes {
  const parsed = storedSchema.safeParse(value)
  return parsed.success ? parsed.data : { crashes: [] }
}

export class CrashSharing {
  readonly #options: CrashSharingOptions
  readonly #unsubscribe: Unsubscribe
  #cancelWrite: Unsubscribe | undefined

  constructor (options: CrashSharingOptions) {
    this.#options = options
    const { crashes, documents, timers } = options
    crashes.onDeath = report => {
      this.#options.log.event('endpointDied', { endpointId: report.endpointId, running: report.contentHashes.length })
      this.#scheduleWrite(writeDelayMs)
      return this.#tellPeers(report)
    }
    crashes.onCleared = () => { this.#scheduleWrite(writeDelayMs) }
    this.#unsubscribe = documents.subscribe(documentName, document => {
      crashes.evidence.merge(storedOf(document.value), timers.nowMs())
    })
    crashes.evidence.merge(storedOf(documents.get(documentName)?.value), timers.nowMs())
  }

  /** Takes the report of an endpoint process, or of another router. */
  async receive (report: CrashReportInput): Promise<void> {
    if (!this.#options.crashes.note(report)) return
    this.#options.log.event('crashReported', { endpointId: report.endpointId, running: report.contentHashes.length })
    this.#scheduleWrite(writeDelayMs)
    // The endpoint process waits for this answer only to know that its report arrived.
    this.#tellPeers(report).catch(() => {})
  }

  close (): void {
    this.#cancelWrite?.()
    this.#unsubscribe()
  }

  async #tellPeers (report: CrashReportInput): Promise<void> {
    const { membership, fleetSecret, timeoutMs } = this.#options
    const peers = membership.routers({ isReachable: true }).filter(router => router.id !== membership.self.id)
    await Promise.all(peers.slice(0, maxDirectPeers).map(({ controlUrl }) => {
      // A peer that cannot be told learns it from the document.
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

  /** True when the document contains everything that is known here. */
  async #tryWrite (): Promise<boolean> {
    const { crashes, documents, store, timers } = this.#options
    const present = await documents.refresh(documentName)
    if (present.isErr()) return false
    const known = storedOf(present.value?.value)
    crashes.evidence.merge(known, timers.nowMs())
    if (crashes.evidence.isCoveredBy(known)) return true
    const value = crashes.evidence.stored()
    const written = await store.write(documentName, value, present.value?.version ?? 0)
    if (written.isErr()) return false
    documents.learn({ name: documentName, version: written.value, value })
    return true
  }
}
