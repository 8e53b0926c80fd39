/** Bench `routing`: time to the first token and share of refused requests of three policies that choose an endpoint. */
import { createHasher } from '@buckthorndrift/policy'
import type { PolicyName } from './policies.ts'
import { Simulation, scenario, type SimulationResult } from './simulation.ts'

export interface RoutingOptions {
  readonly seed?: number
  /** Simulated duration of each run. */
  readonly durationMs?: number
}

export interface RoutingReport {
  readonly seed: number
  readonly durationMs: number
  readonly scenario: typeof scenario
  readonly results: readonly SimulationResult[]
}

const policies: readonly PolicyName[] = ['roundRobin', 'leastInFlight', 'chosen']
/** Offered load as a share of the capacity without cache hits. */
const loads = [0.5, 0.9, 1.3]

/** Runs each policy at each load in simulated time. */
export async function benchRouting ({ seed = 1, durationMs = 60_000 }: RoutingOptions = {}): Promise<RoutingReport> {
  const hasher = await createHasher()
  const results = loads.flatMap(load => policies.map(policy => new Simulation({ policy, load, seed, durationMs, hasher }).run()))
  return { seed, durationMs, scenario, results }
}
