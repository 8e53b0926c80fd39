/**
 * Keeps requests that crash their endpoints from being run again and again, at
 * any router: confirmed crashes are objects in the store, which all routers list.
 */
import { createHash } from 'node:crypto'
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { CrashEvidence } from '@buckthorndrift/policy'
import { BrokenRuns } from '../shared/brokenRuns.ts'
import type { EndpointEntry } from '../shared/fleet.ts'
import type { FleetStore } from '../shared/store.ts'

export interface CrashWatchOptions {
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
}

/** Content of a request, by which it is recognised when its caller sends it again. */
export interface CallContent {
  readonly apiKey: string | undefined
  readonly method: string
  readonly path: string
  readonly body: Buffer | undefined
}

/** Interval at which the crashes that other routers saw are listed. */
const listIntervalMs = 2000
const hashLength = 24

export class CrashWatch {
  readonly #options: CrashWatchOptions
  readonly #evidence = new CrashEvidence()
  readonly #broken = new BrokenRuns()
  readonly #known = new Set<string>()
  readonly #stopListing: Unsubscribe
  #isListing = false

  constructor (options: CrashWatchOptions) {
    this.#options = options
    this.#stopListing = options.timers.every(listIntervalMs, () => { void this.#list() })
  }

  stop (): void {
    this.#stopListing()
  }

  /** Whether a request has been running at several endpoints when they crashed. */
  isSuspect (content: CallContent): boolean {
    return this.#known.size > 0 && this.#evidence.isSuspect(hashOf(content))
  }

  /** A request's connection broke while the endpoint may have been running it. */
  noteBroken (endpoint: EndpointEntry, content: CallContent): void {
    this.#broken.note(endpoint.id, hashOf(content), this.#options.timers.monotonicMs())
  }

  /** The endpoint refuses connections, or its incarnation is gone. */
  noteDeath (endpoint: EndpointEntry): void {
    if (this.#broken.isEmpty) return
    const crashId = `${endpoint.id}.${endpoint.startedAtMs ?? 0}`
    for (const contentHash of this.#broken.takeDeath(endpoint.id, this.#options.timers.monotonicMs())) void this.#publish(crashId, contentHash)
  }

  /** A request that completes is no cause of crashes. */
  noteCompleted (content: CallContent): void {
    if (this.#known.size > 0) this.#evidence.clear(hashOf(content))
  }

  async #publish (crashId: string, contentHash: string): Promise<void> {
    this.#learn(crashId, contentHash)
    this.#options.log.event('contentCrashedEndpoint', { crashId, contentHash, crashes: this.#evidence.countCrashes(contentHash) })
    // Without an answer the evidence stays with this router; the next crash is another object.
    await this.#options.store.create('crashes', `${contentHash}.${crashId}`, { crashId, contentHash })
  }

  #learn (crashId: string, contentHash: string): void {
    const name = `${contentHash}.${crashId}`
    if (this.#known.has(name)) return
    this.#known.add(name)
    this.#evidence.record(crashId, [contentHash], this.#options.timers.nowMs())
  }

  async #list (): Promise<void> {
    if (this.#isListing) return
    this.#isListing = true
    const answer = await this.#options.store.list('crashes', { mayBeStale: true })
    this.#isListing = false
    if (answer.isErr()) return
    for (const { value } of answer.value.objects) {
      const { crashId, contentHash } = (value ?? {}) as { crashId?: unknown, contentHash?: unknown }
      if (typeof crashId === 'string' && typeof contentHash === 'string') this.#learn(crashId, contentHash)
    }
  }
}

function hashOf ({ apiKey, method, path, body }: CallContent): string {
  const hash = createHash('sha256').update(`${apiKey ?? ''}\n${method} ${path}\n`)
  if (body !== undefined) hash.update(body)
  return hash.digest('hex').slice(0, hashLength)
}
