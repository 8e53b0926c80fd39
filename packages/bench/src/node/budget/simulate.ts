/** Runs one load under one budget policy in simulated time. */
import { FleetModel, type FleetOptions, type RouterNode, type RunningRequest } from './fleetModel.ts'
import type { LoadRequest } from './load.ts'

/** Reservation of tokens in the slice of a holder. */
export interface Reservation {
  readonly holder: string
  readonly shard: number
  readonly seq: number
}

export interface BudgetPolicy {
  /** Reserves tokens at `node`; calls `done` with `undefined` when the request is refused. */
  reserve (node: RouterNode, budget: string, tokens: number, done: (reservation: Reservation | undefined) => void): void
  /** Reports the spend of a request that has ended. */
  settle (node: RouterNode, request: RunningRequest): void
  /** Unspent tokens in slices of a crashed router, which other routers cannot use. */
  strandedTokens (crashed: RouterNode): number
}

export interface Faults {
  /** Start and end of a partition between regions; the platform stays reachable. */
  readonly partitionIntervalMs: readonly [number, number]
  readonly crashAtMs: number
  /** Time from the crash until the registry no longer lists the router. */
  readonly deregistrationDelayMs: number
}

export interface SimulationOptions {
  readonly fleet: FleetOptions
  readonly load: readonly LoadRequest[]
  readonly durationMs: number
  readonly faults?: Faults
  createPolicy (fleet: FleetModel): BudgetPolicy
  /** Called at `crashAtMs`; returns the router that crashes. */
  readonly chooseCrashingRouter: (fleet: FleetModel) => RouterNode
}

export interface SimulationFigures {
  readonly requests: number
  readonly refused: number
  /** Requests refused although the budget had enough unspent and unreserved tokens. */
  readonly falselyRefused: number
  readonly falseRefusalShare: number
  readonly overspendTokens: number
  readonly platformWritesPerSecond: number
  readonly platformReadsPerSecond: number
  readonly platformBytesPerSecond: number
  /** Tokens stranded at the time of the crash. */
  readonly strandedTokens: number
  /** Time from the crash until no tokens are stranded, or until the end of the run. */
  readonly strandedSeconds: number
}

const strandedSampleIntervalMs = 250

class Simulation {
  readonly #options: SimulationOptions
  readonly #fleet: FleetModel
  readonly #policy: BudgetPolicy
  readonly counts = { requests: 0, refused: 0, falselyRefused: 0 }
  stranded = { tokens: 0, ms: 0 }

  constructor (options: SimulationOptions) {
    this.#options = options
    this.#fleet = new FleetModel(options.fleet)
    this.#policy = options.createPolicy(this.#fleet)
  }

  run (): SimulationFigures {
    const { load, durationMs, faults } = this.#options
    const { events } = this.#fleet
    for (const request of load) events.after(request.atMs, () => { this.#handleArrival(request) })
    if (faults !== undefined) this.#scheduleFaults(faults)
    events.runUntil(durationMs)
    const { requests, refused, falselyRefused } = this.counts
    const perSecond = (count: number) => Math.round(count * 10_000 / durationMs) / 10
    return {
      requests,
      refused,
      falselyRefused,
      falseRefusalShare: requests === 0 ? 0 : falselyRefused / requests,
      overspendTokens: this.#fleet.overspendTokens,
      platformWritesPerSecond: perSecond(this.#fleet.writes),
      platformReadsPerSecond: perSecond(this.#fleet.reads),
      platformBytesPerSecond: Math.round(this.#fleet.bytes * 1000 / durationMs),
      strandedTokens: this.stranded.tokens,
      strandedSeconds: this.stranded.ms / 1000
    }
  }

  #scheduleFaults ({ partitionIntervalMs: [fromMs, toMs], crashAtMs, deregistrationDelayMs }: Faults): void {
    const { events } = this.#fleet
    events.after(fromMs, () => { this.#fleet.isPartitioned = true })
    events.after(toMs, () => { this.#fleet.isPartitioned = false })
    events.after(crashAtMs, () => {
      const crashed = this.#options.chooseCrashingRouter(this.#fleet)
      this.#fleet.crashedIds.add(crashed.id)
      this.stranded.tokens = this.#policy.strandedTokens(crashed)
      events.after(deregistrationDelayMs, () => { this.#fleet.deregisteredIds.add(crashed.id) })
      this.#sampleStranded(crashed)
    })
  }

  #sampleStranded (crashed: RouterNode): void {
    if (this.#policy.strandedTokens(crashed) === 0) return
    this.#fleet.events.after(strandedSampleIntervalMs, () => {
      this.stranded.ms += strandedSampleIntervalMs
      this.#sampleStranded(crashed)
    })
  }

  #handleArrival (request: LoadRequest): void {
    const node = this.#fleet.nodes[request.router]
    // The load balancer of the platform sends callers of a crashed router to another one.
    const receiver = node === undefined || this.#fleet.crashedIds.has(node.id) ? this.#fleet.nodes.find(other => !this.#fleet.crashedIds.has(other.id)) : node
    if (receiver === undefined) return
    this.counts.requests += 1
    this.#policy.reserve(receiver, request.budget, request.reservedTokens, reservation => {
      if (reservation === undefined) this.#recordRefusal(request)
      else this.#startRequest(receiver, request, reservation)
    })
  }

  #recordRefusal (request: LoadRequest): void {
    this.counts.refused += 1
    if (this.#fleet.availableTokens(request.budget) >= request.reservedTokens) this.counts.falselyRefused += 1
  }

  #startRequest (node: RouterNode, request: LoadRequest, reservation: Reservation): void {
    const { budget, reservedTokens, tokens } = request
    const entry = { shard: reservation.shard, budget, seq: reservation.seq, state: 'reserved', tokens: reservedTokens } as const
    const running = { budget, reservedTokens, tokens, entry, holder: reservation.holder, endpointDomain: node.failureDomain, isSettled: false }
    this.#fleet.addInFlightTokens(budget, reservedTokens)
    const entries = this.#fleet.requestsByHolder.get(reservation.holder) ?? new Map()
    entries.set(`${reservation.shard} ${reservation.seq}`, running)
    this.#fleet.requestsByHolder.set(reservation.holder, entries)
    this.#fleet.events.after(request.durationMs, () => {
      running.isSettled = true
      this.#fleet.completeRequest(running)
      if (!this.#fleet.crashedIds.has(node.id)) this.#policy.settle(node, running)
    })
  }
}

export function simulate (options: SimulationOptions): SimulationFigures {
  return new Simulation(options).run()
}
