/** Runs one load under one policy on simulated time. */
import { FleetModel, type FleetOptions, type Place, type RunningRequest } from './fleetModel.ts'
import type { LoadRequest } from './load.ts'

export interface Reserved {
  readonly holder: string
  readonly shard: number
  readonly seq: number
}

export interface BudgetPolicy {
  /** Calls `done` with `undefined` for a refusal. */
  reserve (place: Place, budget: string, tokens: number, done: (reserved: Reserved | undefined) => void): void
  settle (place: Place, request: RunningRequest): void
  /** Unspent tokens that a dead router keeps from the others. */
  strandedTokens (dead: Place): number
}

export interface Faults {
  /** Regions cannot reach each other in this time; the platform stays reachable. */
  readonly partitionMs: readonly [number, number]
  readonly deathMs: number
  /** The registry drops the dead router so long after its death. */
  readonly unregisterMs: number
}

export interface SimulationOptions {
  readonly fleet: FleetOptions
  readonly load: readonly LoadRequest[]
  readonly durationMs: number
  readonly faults?: Faults
  createPolicy (fleet: FleetModel): BudgetPolicy
  /** Router that dies; chosen at the time of death. */
  readonly victim: (fleet: FleetModel) => Place
}

export interface SimulationFigures {
  readonly requests: number
  readonly refused: number
  readonly falselyRefused: number
  readonly falseRefusalShare: number
  readonly overspendTokens: number
  readonly platformWritesPerSecond: number
  readonly platformReadsPerSecond: number
  readonly platformBytesPerSecond: number
  readonly strandedTokens: number
  readonly strandedSeconds: number
}

const strandedSampleMs = 250

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
    for (const request of load) events.after(request.atMs, () => { this.#request(request) })
    if (faults !== undefined) this.#planFaults(faults)
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

  #planFaults ({ partitionMs: [fromMs, toMs], deathMs, unregisterMs }: Faults): void {
    const { events } = this.#fleet
    events.after(fromMs, () => { this.#fleet.isPartitioned = true })
    events.after(toMs, () => { this.#fleet.isPartitioned = false })
    events.after(deathMs, () => {
      const victim = this.#options.victim(this.#fleet)
      this.#fleet.dead.add(victim.id)
      this.stranded.tokens = this.#policy.strandedTokens(victim)
      events.after(unregisterMs, () => { this.#fleet.unregistered.add(victim.id) })
      this.#sampleStranded(victim)
    })
  }

  #sampleStranded (victim: Place): void {
    if (this.#policy.strandedTokens(victim) === 0) return
    this.#fleet.events.after(strandedSampleMs, () => {
      this.stranded.ms += strandedSampleMs
      this.#sampleStranded(victim)
    })
  }

  #request (request: LoadRequest): void {
    const place = this.#fleet.places[request.router]
    // Callers of a dead router are sent to others by the platform's load balancer.
    const at = place === undefined || this.#fleet.dead.has(place.id) ? this.#fleet.places.find(other => !this.#fleet.dead.has(other.id)) : place
    if (at === undefined) return
    this.counts.requests += 1
    this.#policy.reserve(at, request.budget, request.reservedTokens, reserved => {
      if (reserved === undefined) this.#refused(request)
      else this.#start(at, request, reserved)
    })
  }

  #refused (request: LoadRequest): void {
    this.counts.refused += 1
    if (this.#fleet.coverTokens(request.budget) >= request.reservedTokens) this.counts.falselyRefused += 1
  }

  #start (place: Place, request: LoadRequest, reserved: Reserved): void {
    const { budget, reservedTokens, tokens } = request
    const entry = { shard: reserved.shard, budget, seq: reserved.seq, state: 'reserved', tokens: reservedTokens } as const
    const running = { budget, reservedTokens, tokens, entry, holder: reserved.holder, endpointDomain: place.failureDomain, isSettled: false }
    this.#fleet.addOpen(budget, reservedTokens)
    const entries = this.#fleet.entries.get(reserved.holder) ?? new Map()
    entries.set(`${reserved.shard} ${reserved.seq}`, running)
    this.#fleet.entries.set(reserved.holder, entries)
    this.#fleet.events.after(request.durationMs, () => {
      running.isSettled = true
      this.#fleet.end(running)
      if (!this.#fleet.dead.has(place.id)) this.#policy.settle(place, running)
    })
  }
}

export function simulate (options: SimulationOptions): SimulationFigures {
  return new Simulation(options).run()
}
