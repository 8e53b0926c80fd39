/**
 * Detects requests that crash their endpoints, so that routers stop running them.
 * Each router stores the evidence of the crashes that it sees, and follows that of all routers.
 */
import { createHash, randomBytes } from 'node:crypto'
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { CrashSuspects, maxEvidenceObjects, planEvidenceRemoval, type EvidenceEntry } from '@buckthorndrift/policy'
import type { EndpointEntry } from '../shared/fleet.ts'
import { InterruptedRuns, type InterruptedRun } from '../shared/interruptedRuns.ts'
import { decodeCrashEvidence, type StoredClearance, type StoredCrash, type StoredCrashEvidence } from '../shared/storedCrashes.ts'
import type { FleetStore, StoredObject } from '../shared/store.ts'

export interface CrashTrackerOptions {
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  readonly random: () => number
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

/** A request is only repeated by its caller, so two crashes are hardly a coincidence. */
const crashesUntilContentSuspect = 2
/** Many requests share a part of a prompt, and some of them run at any crash, so two crashes may be a coincidence. */
const crashesUntilPartSuspect = 3
/** Limit of the objects that are stored again after a restore of the store; the oldest are forgotten first. */
const maxPublished = 200
/** While this router sees crashes, it lists the evidence at this interval, because the connection of the watch may have gone silent. */
const listIntervalMs = 2000
/** Time after a crash during which further ones are expected. */
const crashSeriesMs = 10_000
/** Longest random delay before a clearance is stored. It collects traits, and other routers that store the same clearance first make it needless. */
const maxClearanceDelayMs = 400
/** Longest random delay before needless evidence is removed. Objects that other routers remove first need no call of this one. */
const maxRemovalDelayMs = 5000
/** Length of a content hash in hexadecimal digits. */
const hashLength = 24

export class CrashTracker {
  readonly #options: CrashTrackerOptions
  readonly #contents = new CrashSuspects({ crashesUntilSuspect: crashesUntilContentSuspect })
  readonly #promptParts = new CrashSuspects({ crashesUntilSuspect: crashesUntilPartSuspect })
  readonly #interrupted = new InterruptedRuns()
  /** Stored evidence by object name. */
  readonly #known = new Map<string, { readonly evidence: StoredCrashEvidence, readonly revision: number }>()
  /** Evidence that this router has stored, by object name. */
  readonly #published = new Map<string, StoredCrashEvidence>()
  readonly #soundContents = new Set<string>()
  readonly #soundParts = new Set<string>()
  readonly #subscriptions: readonly Unsubscribe[]
  #isClearanceDue = false
  #isListing = false
  #isRemovalDue = false
  #lastCrashMs = -Infinity

  constructor (options: CrashTrackerOptions) {
    this.#options = options
    this.#subscriptions = [
      options.store.onRestored(() => { void this.#publishAgain() }),
      options.timers.every(listIntervalMs, () => { if (this.isInSeries) void this.#list() })
    ]
  }

  stop (): void {
    for (const unsubscribe of this.#subscriptions) unsubscribe()
  }

  /** Whether an endpoint crashed a short time ago, so that further crashes are expected. */
  get isInSeries (): boolean {
    return this.#nowMs() - this.#lastCrashMs < crashSeriesMs
  }

  /** Why a request is not run; `undefined` if endpoints may run it. */
  suspicionOf (content: CallContent): string | undefined {
    const part = this.#promptParts.findSuspect(content.sharedParts)
    if (part !== undefined) return `endpoints crash when they run a request with part ${part} of its prompt`
    if (!this.#contents.isEmpty && this.#contents.findSuspect([hashOf(content)]) !== undefined) return 'endpoints crash when they run this request'
    return undefined
  }

  /** Records that the connection of a request broke while the endpoint may have been running it. */
  recordInterrupted (endpoint: EndpointEntry, content: CallContent, events: number): void {
    this.#interrupted.add(endpoint.id, { attemptId: content.attemptId ?? '', contentHash: hashOf(content), sharedParts: content.sharedParts, events, atMs: this.#nowMs() })
  }

  /** Called when an endpoint is down or was replaced by a new incarnation. Stores as evidence the requests that this endpoint was running when their connections broke shortly before. */
  recordEndpointDown (endpoint: EndpointEntry): void {
    if (this.#interrupted.isEmpty) return
    const nowMs = this.#nowMs()
    const runs = this.#interrupted.take(endpoint.id, nowMs)
    if (runs.length === 0) return
    this.#lastCrashMs = nowMs
    const crashId = `${endpoint.id}.${endpoint.startedAtMs ?? 0}`
    const crash: StoredCrash = {
      kind: 'crash',
      crashId,
      contents: [...new Set(runs.map(run => run.contentHash))],
      prompts: runs.map(run => run.sharedParts.filter(part => !this.#promptParts.isSound(part, nowMs))).filter(parts => parts.length > 0)
    }
    this.#addCrash(crash, undefined)
    for (const run of runs) this.#logRun(crashId, run)
    void this.#publish(`${crashId}.${randomName()}`, crash)
  }

  /** Records that an endpoint has been sending the response to a request for a while, so that no part of its prompt crashes endpoints. */
  recordProgress ({ sharedParts }: CallContent): void {
    const nowMs = this.#nowMs()
    for (const part of sharedParts) {
      this.#promptParts.recordSoundRun(part, nowMs)
      if (this.#promptParts.needsClearance(part, nowMs)) this.#soundParts.add(part)
    }
    this.#scheduleClearance()
  }

  /** Records that a request completed, so that it does not crash endpoints. */
  recordCompleted (content: CallContent): void {
    if (!this.#contents.isEmpty) {
      const [hash, nowMs] = [hashOf(content), this.#nowMs()]
      if (this.#contents.countCrashes(hash) > 0) {
        this.#contents.recordSoundRun(hash, nowMs)
        this.#soundContents.add(hash)
      }
    }
    this.recordProgress(content)
  }

  /** Applies an object that a router has stored. */
  applyStored ({ name, value, revision }: StoredObject): void {
    const evidence = decodeCrashEvidence(value)
    if (evidence === undefined) return
    this.#known.set(name, { evidence, revision })
    switch (evidence.kind) {
      case 'crash':
        this.#addCrash(evidence, revision)
        return
      case 'clearance':
        for (const content of evidence.contents) this.#contents.recordClearance(content, revision)
        for (const part of evidence.promptParts) this.#promptParts.recordClearance(part, revision)
    }
  }

  /** Applies the removal of an object, by which operators lift a suspicion. */
  applyRemoved (name: string): void {
    const evidence = this.#known.get(name)?.evidence
    this.#known.delete(name)
    this.#published.delete(name)
    switch (evidence?.kind) {
      case undefined:
        return
      case 'crash':
        for (const content of evidence.contents) this.#contents.forgetCrash(content, evidence.crashId)
        for (const part of evidence.prompts.flat()) this.#promptParts.forgetCrash(part, evidence.crashId)
        return
      case 'clearance':
        for (const content of evidence.contents) this.#contents.forgetClearance(content)
        for (const part of evidence.promptParts) this.#promptParts.forgetClearance(part)
    }
  }

  /** Applies the removal of all objects that a full list does not contain. */
  applyListed (names: ReadonlySet<string>): void {
    for (const name of this.#known.keys()) if (!names.has(name)) this.applyRemoved(name)
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #logRun (crashId: string, { attemptId, contentHash, sharedParts, events }: InterruptedRun): void {
    const crashes = Math.max(this.#contents.countCrashes(contentHash), ...sharedParts.map(part => this.#promptParts.countCrashes(part)))
    this.#options.log.event('contentCrashedEndpoint', { crashId, attemptId, contentHash, sharedParts: sharedParts.join(' '), events, crashes })
  }

  #addCrash ({ crashId, contents, prompts }: StoredCrash, revision: number | undefined): void {
    const nowMs = this.#nowMs()
    const parts = [...new Set(prompts.flat())]
    const suspectsBefore = new Set(parts.filter(part => this.#promptParts.isSuspect(part)))
    this.#contents.recordCrash({ crashId, requests: contents.map(content => [content]), revision }, nowMs)
    this.#promptParts.recordCrash({ crashId, requests: prompts, revision }, nowMs)
    for (const part of parts) {
      if (!suspectsBefore.has(part) && this.#promptParts.isSuspect(part)) this.#options.log.event('promptPartSuspected', { part, crashes: this.#promptParts.countCrashes(part) })
      if (this.#promptParts.needsClearance(part, nowMs)) this.#soundParts.add(part)
    }
    this.#scheduleClearance()
  }

  async #publish (name: string, evidence: StoredCrashEvidence): Promise<void> {
    this.#published.set(name, evidence)
    if (this.#published.size > maxPublished) this.#published.delete(this.#published.keys().next().value!)
    // A failed write is not retried. Only this router then has the evidence, and the next crash is stored as a separate object.
    const result = await this.#options.store.create('crashes', name, evidence)
    if (result.isOk()) this.applyStored(result.value)
    this.#scheduleRemoval()
  }

  #scheduleRemoval (): void {
    if (this.#isRemovalDue || this.#known.size <= maxEvidenceObjects) return
    this.#isRemovalDue = true
    this.#options.timers.after(this.#options.random() * maxRemovalDelayMs, () => { void this.#removeNeedless().finally(() => { this.#isRemovalDue = false }) })
  }

  async #removeNeedless (): Promise<void> {
    const names = planEvidenceRemoval([...this.#known].map(([name, { evidence, revision }]) => this.#toEntry(name, revision, evidence)))
    if (names.length === 0) return
    let removed = 0
    for (const name of names) {
      const result = await this.#options.store.remove('crashes', name)
      if (result.isErr() && result.error.kind !== 'notFound') break
      this.applyRemoved(name)
      removed++
    }
    this.#options.log.event('crashEvidenceRemoved', { removed, left: this.#known.size })
  }

  #toEntry (name: string, revision: number, evidence: StoredCrashEvidence): EvidenceEntry {
    const [contents, parts] = [evidence.contents, evidence.kind === 'crash' ? evidence.prompts.flat() : evidence.promptParts]
    return {
      name,
      revision,
      kind: evidence.kind,
      // Contents and parts are separate traits, also if their ids are equal.
      traits: [...contents.map(content => `content ${content}`), ...parts.map(part => `part ${part}`)],
      isSuspected: contents.some(content => this.#contents.isSuspect(content)) || parts.some(part => this.#promptParts.isSuspect(part))
    }
  }

  /** Stores the evidence again after the store was restored from a copy that may lack it. */
  async #publishAgain (): Promise<void> {
    for (const [name, evidence] of this.#published) await this.#options.store.create('crashes', name, evidence)
  }

  #scheduleClearance (): void {
    if (this.#isClearanceDue || this.#soundParts.size + this.#soundContents.size === 0) return
    this.#isClearanceDue = true
    this.#options.timers.after(this.#options.random() * maxClearanceDelayMs, () => {
      this.#isClearanceDue = false
      this.#storeClearance()
    })
  }

  #storeClearance (): void {
    const nowMs = this.#nowMs()
    const clearance: StoredClearance = {
      kind: 'clearance',
      contents: [...this.#soundContents].filter(content => this.#contents.needsClearance(content, nowMs)),
      promptParts: [...this.#soundParts].filter(part => this.#promptParts.needsClearance(part, nowMs))
    }
    this.#soundContents.clear()
    this.#soundParts.clear()
    if (clearance.contents.length + clearance.promptParts.length === 0) return
    this.#options.log.event('crashSuspicionCleared', { contents: clearance.contents.join(' '), promptParts: clearance.promptParts.join(' ') })
    void this.#publish(`clearance.${randomName()}`, clearance)
  }

  async #list (): Promise<void> {
    if (this.#isListing) return
    this.#isListing = true
    const result = await this.#options.store.list('crashes', { mayBeStale: true })
    this.#isListing = false
    if (result.isErr()) return
    for (const object of result.value.objects) if (!this.#known.has(object.name)) this.applyStored(object)
  }
}

function randomName (): string {
  return randomBytes(6).toString('hex')
}

function hashOf ({ apiKey, method, path, body }: CallContent): string {
  const hash = createHash('sha256').update(`${apiKey ?? ''}\n${method} ${path}\n`)
  if (body !== undefined) hash.update(body)
  return hash.digest('hex').slice(0, hashLength)
}
