/**
 * Detects requests that crash their endpoints, so that routers stop running them.
 * Each crash is stored as an object in the store, and all routers list these objects.
 */
import { createHash } from 'node:crypto'
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { CrashEvidence } from '@buckthorndrift/policy'
import { InterruptedRuns, type InterruptedRun } from '../shared/interruptedRuns.ts'
import type { EndpointEntry } from '../shared/fleet.ts'
import type { FleetStore } from '../shared/store.ts'

export interface CrashTrackerOptions {
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
}

/** Content of a request. Its hash identifies the request when its caller sends it again. */
export interface CallContent {
  readonly attemptId: string | undefined
  /** Ids of the parts of the prompt that other requests may share; empty for calls without a prompt. */
  readonly sharedParts: readonly string[]
  readonly apiKey: string | undefined
  readonly method: string
  readonly path: string
  readonly body: Buffer | undefined
}

interface PublishedCrash {
  readonly crashId: string
  readonly contentHash: string
}

/** Limit of the crashes that are stored again after a restore of the store; the oldest are forgotten first. */
const maxPublishedCrashes = 200
/** Interval at which the crashes reported by other routers are listed. */
const listIntervalMs = 2000
/** Length of a content hash in hexadecimal digits. */
const hashLength = 24

export class CrashTracker {
  readonly #options: CrashTrackerOptions
  readonly #evidence = new CrashEvidence()
  readonly #interrupted = new InterruptedRuns()
  readonly #knownCrashes = new Set<string>()
  readonly #stopListing: Unsubscribe
  /** Objects that this router has stored, by name. */
  readonly #published = new Map<string, PublishedCrash>()
  readonly #stopRestoreListener: Unsubscribe
  #isListing = false

  constructor (options: CrashTrackerOptions) {
    this.#options = options
    this.#stopRestoreListener = options.store.onRestored(() => { void this.#publishAgain() })
    this.#stopListing = options.timers.every(listIntervalMs, () => { void this.#list() })
  }

  stop (): void {
    this.#stopListing()
    this.#stopRestoreListener()
  }

  /** Whether several endpoints crashed while they were running this request. */
  isSuspect (content: CallContent): boolean {
    return this.#knownCrashes.size > 0 && this.#evidence.isSuspect(hashOf(content))
  }

  /** Records that the connection of a request broke while the endpoint may have been running it. */
  recordInterrupted (endpoint: EndpointEntry, content: CallContent, events: number): void {
    this.#interrupted.add(endpoint.id, { attemptId: content.attemptId ?? '', contentHash: hashOf(content), sharedParts: content.sharedParts, events, atMs: this.#options.timers.monotonicMs() })
  }

  /** Called when an endpoint is down or was replaced by a new incarnation. Reports a crash for each request that this endpoint was running when its connection broke shortly before. */
  recordEndpointDown (endpoint: EndpointEntry): void {
    if (this.#interrupted.isEmpty) return
    const crashId = `${endpoint.id}.${endpoint.startedAtMs ?? 0}`
    const runs = this.#interrupted.take(endpoint.id, this.#options.timers.monotonicMs())
    for (const run of new Map(runs.map(run => [run.contentHash, run])).values()) void this.#publish(crashId, run)
  }

  /** Clears the evidence against a request that completed, since it does not crash endpoints. */
  recordCompleted (content: CallContent): void {
    if (this.#knownCrashes.size > 0) this.#evidence.clear(hashOf(content))
  }

  async #publish (crashId: string, { contentHash, attemptId, sharedParts, events }: InterruptedRun): Promise<void> {
    this.#addEvidence(crashId, contentHash)
    this.#options.log.event('contentCrashedEndpoint', { crashId, attemptId, contentHash, sharedParts: sharedParts.join(' '), events, crashes: this.#evidence.countCrashes(contentHash) })
    // A failed write is not retried. Only this router then has the evidence of this crash. The next crash of the request is stored as a separate object.
    const name = `${contentHash}.${crashId}`
    this.#published.set(name, { crashId, contentHash })
    if (this.#published.size > maxPublishedCrashes) this.#published.delete(this.#published.keys().next().value!)
    await this.#options.store.create('crashes', name, { crashId, contentHash })
  }

  /** Stores the crashes again after the store was restored from a copy that may lack them. */
  async #publishAgain (): Promise<void> {
    for (const [name, crash] of this.#published) await this.#options.store.create('crashes', name, crash)
  }

  #addEvidence (crashId: string, contentHash: string): void {
    const name = `${contentHash}.${crashId}`
    if (this.#knownCrashes.has(name)) return
    this.#knownCrashes.add(name)
    this.#evidence.record(crashId, [contentHash], this.#options.timers.nowMs())
  }

  async #list (): Promise<void> {
    if (this.#isListing) return
    this.#isListing = true
    const result = await this.#options.store.list('crashes', { mayBeStale: true })
    this.#isListing = false
    if (result.isErr()) return
    for (const { value } of result.value.objects) {
      const { crashId, contentHash } = (value ?? {}) as { crashId?: unknown, contentHash?: unknown }
      if (typeof crashId === 'string' && typeof contentHash === 'string') this.#addEvidence(crashId, contentHash)
    }
  }
}

function hashOf ({ apiKey, method, path, body }: CallContent): string {
  const hash = createHash('sha256').update(`${apiKey ?? ''}\n${method} ${path}\n`)
  if (body !== undefined) hash.update(body)
  return hash.digest('hex').slice(0, hashLength)
}
