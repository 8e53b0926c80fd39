/**
 * Simulates endpoint processes, a platform, routers and a network around the
 * real claim logic, on virtual time. The network delays, loses, duplicates and
 * reorders messages.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import {
  ClaimNode, locateClaimShard, type ClaimAnswer, type ClaimLayout, type ClaimProcess, type ClaimRunner, type KeyClaim, type LayoutWrite, type StoredLayout
} from '../index.ts'

export interface SimulationOptions {
  readonly seed: number
  readonly lossShare: number
  readonly duplicationShare: number
  /** Number of shards in the layout. */
  readonly shards: number
  readonly retentionMs: number
}

/** What a router learns from the runner of a claim. `known`: the request has run. `refused`: it will never run there. `lost`: no answer of that incarnation. */
type RunnerOutcome = 'refused' | 'known' | 'lost'

/** One incarnation of a simulated endpoint process. */
class ProcessInstance {
  /** Outcome of each request, by request id. */
  readonly requests = new Map<string, 'ran' | 'refused'>()
  /** Deliveries that wait until the process is no longer paused. */
  readonly backlog: (() => void)[] = []
  isAlive = true
  isPaused = false
  readonly process: ClaimProcess
  node!: ClaimNode
  constructor (process: ClaimProcess) {
    this.process = process
  }
}

const timeoutMs = 200
const maxAttempts = 4

export class ClaimSimulation {
  readonly instances = new Map<string, ProcessInstance>()
  /** Ids of the requests that ran at back ends, by key hash. */
  readonly runs = new Map<string, string[]>()
  /** Broken guarantees and unexpected errors. */
  readonly violations: string[] = []
  readonly counts = { granted: 0, notRun: 0, mayHaveRun: 0, answered: 0, takenOver: 0, lost: 0 }
  readonly #options: SimulationOptions
  readonly #random
  readonly #events: { readonly atMs: number, readonly order: number, readonly run: () => void }[] = []
  readonly #unregisteredIds = new Set<string>()
  /** Ids of the requests whose callers received the verdict `notRun`. */
  readonly #notRunRequestIds = new Set<string>()
  readonly #disconnectedIds = new Set<string>()
  #nowMs = 0
  #order = 0
  #stored: StoredLayout = { version: 0, layout: undefined }
  #isPlatformDown = false
  #nextRequestNumber = 0

  constructor (options: SimulationOptions) {
    this.#options = options
    this.#random = xoroshiro128plus(options.seed)
    for (const id of ['e0', 'e1', 'e2', 'e3']) this.start(id, 0)
  }

  get nowMs (): number { return this.#nowMs }
  get version (): number { return this.#stored.version }
  get layout (): ClaimLayout | undefined { return this.#stored.layout }

  at (atMs: number, run: () => void): void {
    this.#events.push({ atMs: Math.max(atMs, this.#nowMs), order: this.#order++, run })
  }

  /** Runs all events up to `untilMs`. Between two events, pending promises settle. */
  async advance (untilMs: number): Promise<void> {
    for (;;) {
      this.#events.sort((one, other) => other.atMs - one.atMs || other.order - one.order)
      const next = this.#events.at(-1)
      if (next === undefined || next.atMs > untilMs) break
      this.#events.pop()
      this.#nowMs = next.atMs
      next.run()
      await new Promise<void>(resolve => { setImmediate(resolve) })
    }
    this.#nowMs = untilMs
  }

  start (id: string, incarnation: number): void {
    const process: ClaimProcess = { id, incarnation: String(incarnation), url: `http://${id}`, vm: id, failureDomain: id <= 'e1' ? 'a' : 'b' }
    const started = new ProcessInstance(process)
    this.instances.set(id, started)
    this.#unregisteredIds.delete(id)
    const tick = (): void => {
      if (!started.isAlive) return
      this.#deliver(started, () => {
        if (!this.#isPlatformDown && this.#chance(0.8)) started.node.applyLayout(this.#stored)
        started.node.reconcile().catch(error => this.violations.push(String(error)))
      })
      this.at(this.#nowMs + 300, tick)
    }
    started.node = new ClaimNode({
      service: 'desk',
      self: process,
      shards: this.#options.shards,
      retentionMs: this.#options.retentionMs,
      limit: 100,
      ports: {
        nowMs: () => this.#nowMs,
        send: (witness, copy) => this.#call(started, witness, instance => instance.node.replicate(copy)),
        read: () => this.#callPlatform(started, () => this.#stored),
        write: async (layout, expected) => await this.#callPlatform(started, () => this.#write(layout, expected)) ?? { kind: 'unavailable' },
        processes: () => this.#registered(),
        isGone: async gone => this.instances.get(gone.id)?.process.incarnation !== gone.incarnation || !this.instances.get(gone.id)!.isAlive,
        onChange: (kind, shards) => { this.counts[kind] += shards }
      }
    })
    this.at(this.#nowMs, tick)
  }

  crash (id: string): void {
    const instance = this.instances.get(id)!
    if (!instance.isAlive) return
    instance.isAlive = false
    this.#unregisteredIds.add(id)
    this.at(this.#nowMs + 1500, () => { this.start(id, Number(instance.process.incarnation) + 1) })
  }

  pause (id: string, durationMs: number): void {
    const instance = this.instances.get(id)!
    instance.isPaused = true
    this.at(this.#nowMs + durationMs, () => {
      instance.isPaused = false
      for (const run of instance.backlog.splice(0)) this.at(this.#nowMs, () => { this.#deliver(instance, run) })
    })
  }

  /** Cuts the connections of a process to other processes and to routers, and removes it from the registry. */
  disconnect (id: string, durationMs: number): void {
    this.#disconnectedIds.add(id)
    this.#unregisteredIds.add(id)
    this.at(this.#nowMs + durationMs, () => {
      this.#disconnectedIds.delete(id)
      if (this.instances.get(id)!.isAlive) this.#unregisteredIds.delete(id)
    })
  }

  failPlatform (durationMs: number): void {
    this.#isPlatformDown = true
    this.at(this.#nowMs + durationMs, () => { this.#isPlatformDown = false })
  }

  /** Simulates a router that handles one request with a key, until it has a final answer. */
  async request (keyHash: string): Promise<void> {
    let known = this.#stored.layout
    let replaces: string | undefined
    let requestId = `r.1.${this.#nextRequestNumber++}`
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (!this.#isPlatformDown && attempt > 0) known = this.#stored.layout
      const location = known === undefined ? undefined : locateClaimShard(known, keyHash)
      if (location === undefined) continue
      const runner = this.#pickRunner()
      const claim: KeyClaim = { keyHash, contentHash: 'c', requestId, runner, idempotent: false }
      const ask = (process: ClaimRunner): Promise<ClaimAnswer | undefined> => this.#call(undefined, process, instance =>
        instance.node.claim({ service: 'desk', shard: location.shard, epoch: location.epoch, claim, replaces }))
      // `notRun` is compared with the runs before this attempt only, because another router may start an overlapping attempt, which gets its own answer.
      const hasRun = this.runs.has(keyHash)
      let answer = await ask(location.owner)
      if (answer === undefined && location.witness !== undefined) {
        const isTaken = await this.#call(undefined, location.witness, instance => instance.node.takeOver(location.shard, location.epoch))
        if (isTaken !== true) answer = await ask(location.witness)
      }
      if (answer === undefined || answer.kind === 'notOwner') continue
      if (answer.kind === 'unknown') break
      if (answer.kind === 'unavailable') {
        if (answer.isKnownUnclaimed && hasRun) this.violations.push(`answered notRun for a key that had run before: ${keyHash}`)
        if (answer.isKnownUnclaimed) this.#notRunRequestIds.add(requestId)
        this.counts[answer.isKnownUnclaimed ? 'notRun' : 'mayHaveRun'] += 1
        return
      }
      const target = answer.kind === 'held' ? answer.claim : claim
      const isOwn = target.requestId === requestId
      if (isOwn) this.counts.granted += 1
      const outcome = await this.#sendToRunner(target, isOwn)
      if (outcome === 'known') { this.counts.answered += 1; return }
      if (outcome !== 'refused') break
      replaces = target.requestId
      if (isOwn) requestId = `r.1.${this.#nextRequestNumber++}`
    }
    this.counts.mayHaveRun += 1
  }

  /** Sends the router's own request to its runner. Without a reply, or for the request of another router, asks the runner whether it ran; otherwise it never will. */
  async #sendToRunner (claim: KeyClaim, isOwn: boolean): Promise<RunnerOutcome> {
    const handle = (instance: ProcessInstance, mayRun: boolean): RunnerOutcome => {
      if (instance.process.incarnation !== claim.runner.incarnation) return 'lost'
      const state = instance.requests.get(claim.requestId)
      if (state !== undefined) return state === 'ran' ? 'known' : 'refused'
      instance.requests.set(claim.requestId, mayRun ? 'ran' : 'refused')
      if (!mayRun) return 'refused'
      const runs = [...this.runs.get(claim.keyHash) ?? [], claim.requestId]
      this.runs.set(claim.keyHash, runs)
      if (this.#notRunRequestIds.has(claim.requestId)) this.violations.push(`request ${claim.requestId} ran after its caller received the verdict notRun`)
      if (runs.length > 1) this.violations.push(`key ${claim.keyHash} ran ${runs.length} times: ${runs.join(' ')}`)
      return 'known'
    }
    if (isOwn) {
      const sent = await this.#call(undefined, claim.runner, instance => handle(instance, true))
      if (sent !== undefined) return sent
    }
    return await this.#call(undefined, claim.runner, instance => handle(instance, false)) ?? 'lost'
  }

  #pickRunner (): ClaimProcess {
    const registered = this.#registered()
    return registered[this.#int(0, registered.length - 1)] ?? this.instances.get('e0')!.process
  }

  #registered (): readonly ClaimProcess[] {
    return [...this.instances.values()].filter(instance => !this.#unregisteredIds.has(instance.process.id)).map(instance => instance.process)
  }

  /** Calls a process at its address, whichever incarnation runs there. */
  #call<Value> (from: ProcessInstance | undefined, to: ClaimRunner, run: (instance: ProcessInstance) => Value | Promise<Value>): Promise<Value | undefined> {
    return new Promise(resolve => {
      const answer = (value: Value | undefined): void => {
        if (from === undefined) resolve(value)
        else this.#deliver(from, () => { resolve(value) })
      }
      this.at(this.#nowMs + timeoutMs, () => { answer(undefined) })
      for (let copies = this.#chance(this.#options.duplicationShare) ? 2 : 1; copies > 0; copies -= 1) {
        this.#transmit(from, to, () => {
          const instance = this.instances.get(to.id)!
          this.#deliver(instance, () => {
            Promise.resolve(run(instance)).then(value => { this.#transmit(from, to, () => { answer(value) }) }, error => { this.violations.push(String(error)) })
          })
        })
      }
    })
  }

  #transmit (from: ProcessInstance | undefined, to: ClaimRunner, arrive: () => void): void {
    const isCut = this.#disconnectedIds.has(to.id) || (from !== undefined && this.#disconnectedIds.has(from.process.id))
    if (isCut || this.#chance(this.#options.lossShare)) return
    this.at(this.#nowMs + (this.#chance(0.05) ? this.#int(0, 3000) : this.#int(1, 20)), arrive)
  }

  #callPlatform<Value> (instance: ProcessInstance, act: () => Value): Promise<Value | undefined> {
    return new Promise(resolve => {
      this.at(this.#nowMs + this.#int(1, 10), () => {
        const value = this.#isPlatformDown ? undefined : act()
        const isLost = this.#chance(this.#options.lossShare)
        this.at(this.#nowMs + this.#int(1, 10), () => { this.#deliver(instance, () => { resolve(isLost ? undefined : value) }) })
      })
    })
  }

  #write (layout: ClaimLayout, expected: number): LayoutWrite {
    if (this.#stored.version !== expected) return { kind: 'conflict' }
    this.#stored = { version: expected + 1, layout }
    return { kind: 'written', version: expected + 1 }
  }

  #deliver (instance: ProcessInstance, run: () => void): void {
    if (!instance.isAlive || this.instances.get(instance.process.id) !== instance) return
    if (instance.isPaused) instance.backlog.push(run)
    else run()
  }

  #int (from: number, to: number): number { return uniformInt(this.#random, from, to) }
  #chance (share: number): boolean { return this.#int(0, 9999) < share * 10_000 }
}
