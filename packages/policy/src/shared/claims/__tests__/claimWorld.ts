/**
 * A world around the real claim logic: endpoint processes, a platform, routers
 * and a network with delays, losses, doubled and late messages, on virtual time.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import {
  ClaimNode, locateClaimShard, type ClaimAnswer, type ClaimLayout, type ClaimProcess, type ClaimRunner, type KeyClaim, type LayoutWrite, type StoredLayout
} from '../index.ts'

export interface WorldOptions {
  readonly seed: number
  readonly lossShare: number
  readonly doubledShare: number
  /** Shards of the layout. */
  readonly shards: number
  readonly retentionMs: number
}

type Refusal = 'refused' | 'known' | 'lost'

/** One life of an endpoint process. */
class Life {
  readonly requests = new Map<string, 'ran' | 'refused'>()
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
const attempts = 4

export class World {
  readonly lives = new Map<string, Life>()
  /** Runs at back ends by key. */
  readonly runs = new Map<string, string[]>()
  readonly problems: string[] = []
  readonly counts = { granted: 0, notRun: 0, mayHaveRun: 0, answered: 0, takenOver: 0, lost: 0 }
  readonly #options: WorldOptions
  readonly #random
  readonly #events: { readonly atMs: number, readonly order: number, readonly run: () => void }[] = []
  readonly #unregistered = new Set<string>()
  /** Requests whose callers were told notRun. */
  readonly #refused = new Set<string>()
  readonly #cut = new Set<string>()
  #nowMs = 0
  #order = 0
  #stored: StoredLayout = { version: 0, layout: undefined }
  #isPlatformDown = false
  #requests = 0

  constructor (options: WorldOptions) {
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

  /** Runs all events up to `untilMs`; promises settle between two events. */
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

  start (id: string, life: number): void {
    const process: ClaimProcess = { id, incarnation: String(life), url: `http://${id}`, vm: id, failureDomain: id <= 'e1' ? 'a' : 'b' }
    const started = new Life(process)
    this.lives.set(id, started)
    this.#unregistered.delete(id)
    const tend = (): void => {
      if (!started.isAlive) return
      this.#deliver(started, () => {
        if (!this.#isPlatformDown && this.#chance(0.8)) started.node.applyLayout(this.#stored)
        started.node.reconcile().catch(error => this.problems.push(String(error)))
      })
      this.at(this.#nowMs + 300, tend)
    }
    started.node = new ClaimNode({
      service: 'desk',
      self: process,
      shards: this.#options.shards,
      retentionMs: this.#options.retentionMs,
      limit: 100,
      ports: {
        nowMs: () => this.#nowMs,
        send: (witness, copy) => this.#call(started, witness, life => life.node.replicate(copy)),
        read: () => this.#platform(started, () => this.#stored),
        write: async (layout, expected) => await this.#platform(started, () => this.#write(layout, expected)) ?? { kind: 'unavailable' },
        processes: () => this.#registered(),
        isGone: async gone => this.lives.get(gone.id)?.process.incarnation !== gone.incarnation || !this.lives.get(gone.id)!.isAlive,
        onChange: (kind, shards) => { this.counts[kind] += shards }
      }
    })
    this.at(this.#nowMs, tend)
  }

  crash (id: string): void {
    const life = this.lives.get(id)!
    if (!life.isAlive) return
    life.isAlive = false
    this.#unregistered.add(id)
    this.at(this.#nowMs + 1500, () => { this.start(id, Number(life.process.incarnation) + 1) })
  }

  pause (id: string, durationMs: number): void {
    const life = this.lives.get(id)!
    life.isPaused = true
    this.at(this.#nowMs + durationMs, () => {
      life.isPaused = false
      for (const run of life.backlog.splice(0)) this.at(this.#nowMs, () => { this.#deliver(life, run) })
    })
  }

  /** Cuts the connections of a process to other processes and routers, and takes it off the registry. */
  cut (id: string, durationMs: number): void {
    this.#cut.add(id)
    this.#unregistered.add(id)
    this.at(this.#nowMs + durationMs, () => {
      this.#cut.delete(id)
      if (this.lives.get(id)!.isAlive) this.#unregistered.delete(id)
    })
  }

  platformDown (durationMs: number): void {
    this.#isPlatformDown = true
    this.at(this.#nowMs + durationMs, () => { this.#isPlatformDown = false })
  }

  /** A router that handles one request with a key, until it has a final answer. */
  async request (keyHash: string): Promise<void> {
    let known = this.#stored.layout
    let replaces: string | undefined
    let requestId = `r.1.${this.#requests++}`
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      if (!this.#isPlatformDown && attempt > 0) known = this.#stored.layout
      const place = known === undefined ? undefined : locateClaimShard(known, keyHash)
      if (place === undefined) continue
      const runner = this.#pick()
      const claim: KeyClaim = { keyHash, contentHash: 'c', requestId, runner, idempotent: false }
      const ask = (process: ClaimRunner): Promise<ClaimAnswer | undefined> => this.#call(undefined, process, life =>
        life.node.claim({ service: 'desk', shard: place.shard, epoch: place.epoch, claim, replaces }))
      // An attempt of another router that starts later overlaps with this one and has its own answer.
      const hasRun = this.runs.has(keyHash)
      let answer = await ask(place.owner)
      if (answer === undefined && place.witness !== undefined) {
        const isTaken = await this.#call(undefined, place.witness, life => life.node.takeOver(place.shard, place.epoch))
        if (isTaken !== true) answer = await ask(place.witness)
      }
      if (answer === undefined || answer.kind === 'notOwner') continue
      if (answer.kind === 'unknown') break
      if (answer.kind === 'unavailable') {
        if (answer.isKnownUnclaimed && hasRun) this.problems.push(`notRun for a key that ran: ${keyHash}`)
        if (answer.isKnownUnclaimed) this.#refused.add(requestId)
        this.counts[answer.isKnownUnclaimed ? 'notRun' : 'mayHaveRun'] += 1
        return
      }
      const target = answer.kind === 'held' ? answer.claim : claim
      const isOwn = target.requestId === requestId
      if (isOwn) this.counts.granted += 1
      const outcome = await this.#visit(target, isOwn)
      if (outcome === 'known') { this.counts.answered += 1; return }
      if (outcome !== 'refused') break
      replaces = target.requestId
      if (isOwn) requestId = `r.1.${this.#requests++}`
    }
    this.counts.mayHaveRun += 1
  }

  /** Sends the own request to its runner, or attaches to that of another router. */
  async #visit (claim: KeyClaim, isOwn: boolean): Promise<Refusal> {
    const handle = (life: Life, mayRun: boolean): Refusal => {
      if (life.process.incarnation !== claim.runner.incarnation) return 'lost'
      const state = life.requests.get(claim.requestId)
      if (state !== undefined) return state === 'ran' ? 'known' : 'refused'
      life.requests.set(claim.requestId, mayRun ? 'ran' : 'refused')
      if (!mayRun) return 'refused'
      const runs = [...this.runs.get(claim.keyHash) ?? [], claim.requestId]
      this.runs.set(claim.keyHash, runs)
      if (this.#refused.has(claim.requestId)) this.problems.push(`request ${claim.requestId} ran after it was refused as notRun`)
      if (runs.length > 1) this.problems.push(`key ${claim.keyHash} ran ${runs.length} times: ${runs.join(' ')}`)
      return 'known'
    }
    if (isOwn) {
      const sent = await this.#call(undefined, claim.runner, life => handle(life, true))
      if (sent !== undefined) return sent
    }
    return await this.#call(undefined, claim.runner, life => handle(life, false)) ?? 'lost'
  }

  #pick (): ClaimProcess {
    const registered = this.#registered()
    return registered[this.#int(0, registered.length - 1)] ?? this.lives.get('e0')!.process
  }

  #registered (): readonly ClaimProcess[] {
    return [...this.lives.values()].filter(life => !this.#unregistered.has(life.process.id)).map(life => life.process)
  }

  /** A call to a process at its address, whichever life is there. */
  #call<Value> (from: Life | undefined, to: ClaimRunner, run: (life: Life) => Value | Promise<Value>): Promise<Value | undefined> {
    return new Promise(resolve => {
      const answer = (value: Value | undefined): void => {
        if (from === undefined) resolve(value)
        else this.#deliver(from, () => { resolve(value) })
      }
      this.at(this.#nowMs + timeoutMs, () => { answer(undefined) })
      for (let copies = this.#chance(this.#options.doubledShare) ? 2 : 1; copies > 0; copies -= 1) {
        this.#transmit(from, to, () => {
          const life = this.lives.get(to.id)!
          this.#deliver(life, () => {
            Promise.resolve(run(life)).then(value => { this.#transmit(from, to, () => { answer(value) }) }, error => { this.problems.push(String(error)) })
          })
        })
      }
    })
  }

  #transmit (from: Life | undefined, to: ClaimRunner, arrive: () => void): void {
    const isCut = this.#cut.has(to.id) || (from !== undefined && this.#cut.has(from.process.id))
    if (isCut || this.#chance(this.#options.lossShare)) return
    this.at(this.#nowMs + (this.#chance(0.05) ? this.#int(0, 3000) : this.#int(1, 20)), arrive)
  }

  #platform<Value> (life: Life, act: () => Value): Promise<Value | undefined> {
    return new Promise(resolve => {
      this.at(this.#nowMs + this.#int(1, 10), () => {
        const value = this.#isPlatformDown ? undefined : act()
        const isLost = this.#chance(this.#options.lossShare)
        this.at(this.#nowMs + this.#int(1, 10), () => { this.#deliver(life, () => { resolve(isLost ? undefined : value) }) })
      })
    })
  }

  #write (layout: ClaimLayout, expected: number): LayoutWrite {
    if (this.#stored.version !== expected) return { kind: 'conflict' }
    this.#stored = { version: expected + 1, layout }
    return { kind: 'written', version: expected + 1 }
  }

  #deliver (life: Life, run: () => void): void {
    if (!life.isAlive || this.lives.get(life.process.id) !== life) return
    if (life.isPaused) life.backlog.push(run)
    else run()
  }

  #int (from: number, to: number): number { return uniformInt(this.#random, from, to) }
  #chance (share: number): boolean { return this.#int(0, 9999) < share * 10_000 }
}
